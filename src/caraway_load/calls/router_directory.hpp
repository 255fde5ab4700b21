#pragma once

#include "caraway_load/calls/connection_pool.hpp"

#include "libcaraway/base/clock.hpp"

#include <QTimer>

#include <cstdint>
#include <functional>
#include <vector>

namespace caraway_load::calls
{

/// Which router callers use: the one that they are near, until it fails. Then they ask another one
/// for addresses, use those for as long as the answer may be kept, and then try the near one again.
class router_directory
{
public:
    using resolved = std::function<void(std::uint32_t router)>;

    router_directory(std::vector<target> routers, connection_pool& connections);

    /// Calls back, at once or once addresses are known, with the router to use.
    void resolve(std::uint32_t home, resolved callback);
    /// That router refused or broke a connection, or said that it is stopping.
    void failed(std::uint32_t home, std::uint32_t router);
    const target& address(std::uint32_t router) const;

private:
    struct choice
    {
        std::uint32_t current = 0;
        bool known = true;
        bool asking = false;
        /// Until when `current` is used though it isn't the near one.
        caraway::base::time_point until{};
        std::uint32_t next_asked = 0;
        std::uint32_t asks = 0;
        std::vector<resolved> waiting;
    };

    void ask(std::uint32_t home);
    void ask_router(std::uint32_t home, std::uint32_t router);
    void take_answer(std::uint32_t home, std::uint32_t asked, const QByteArray& body);
    void ask_later(std::uint32_t home);
    void settle(std::uint32_t home, std::uint32_t router, std::chrono::milliseconds keep);
    std::uint32_t index_of(const target& where) const;

    std::vector<target> routers_;
    connection_pool& connections_;
    std::vector<choice> choices_;
    /// Owns the timers.
    QObject timers_;
};

}  // namespace caraway_load::calls
