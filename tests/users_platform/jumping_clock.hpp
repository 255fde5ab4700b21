#pragma once

#include "libcaraway/base/clock.hpp"

namespace users_platform_tests
{

/// The machine's clock, ahead by a time that the event loop's timers don't know of: as on a VM that
/// stood still, they fire late.
class jumping_clock final : public caraway::base::clock
{
public:
    caraway::base::time_point now() const override
    {
        return machine_.now() + ahead;
    }
    std::chrono::system_clock::time_point wall_time() const override
    {
        return machine_.wall_time();
    }

    caraway::base::duration ahead{};

private:
    caraway::base::machine_clock machine_;
};

}  // namespace users_platform_tests
