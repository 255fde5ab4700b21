#pragma once

#include <memory>
#include <utility>

namespace caraway::http
{

/// Prevents asynchronous handlers from running after their owner was destroyed. A handler whose
/// operation has completed may already be queued in the event loop at that point, where it can no
/// longer be cancelled.
class owner_token
{
public:
    /// Wraps `handler` so that it does nothing once the owner of this token is destroyed.
    template <class Handler>
    auto guard(Handler handler) const
    {
        return [owner = std::weak_ptr(owner_),
                handler = std::move(handler)]<class... Arguments>(Arguments&&... arguments) mutable
        {
            if (!owner.expired())
            {
                handler(std::forward<Arguments>(arguments)...);
            }
        };
    }

private:
    std::shared_ptr<const void> owner_ = std::make_shared<char>();
};

}  // namespace caraway::http
