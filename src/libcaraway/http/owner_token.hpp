#pragma once

#include <memory>

namespace caraway::http
{

/// Tells handlers whether the object that began what they wait for is still there: one whose wait
/// is over may stand in the event loop's queue already when its owner goes, and then can't be
/// cancelled.
class owner_token
{
public:
    std::weak_ptr<const void> watch() const
    {
        return owner_;
    }

private:
    std::shared_ptr<const void> owner_ = std::make_shared<char>();
};

}  // namespace caraway::http
