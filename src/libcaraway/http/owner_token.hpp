#pragma once

#include <memory>
#include <utility>

namespace caraway::http
{

/// Keeps handlers from running once the object that began what they wait for is gone: one whose
/// wait is over may stand in the event loop's queue already when its owner goes, and then can't be
/// cancelled.
class owner_token
{
public:
    /// The handler, which does nothing once the owner is gone.
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
