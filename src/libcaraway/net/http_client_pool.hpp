#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/net/http_lanes.hpp"

#include <QNetworkAccessManager>

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>

namespace caraway::net
{

/// A QNetworkAccessManager and the lanes on it. It is deleted from the event loop after the last
/// call that uses it, as that call may still be inside of it.
struct http_manager : public QObject
{
    QNetworkAccessManager qt;
    http_lanes lanes;
};

/// What the calls of one client share. The calls hold it too, so it outlives a client that goes
/// first.
class http_client_pool
{
public:
    /// The manager for a new call, made in the thread that makes calls. A manager remembers lanes
    /// that are spent, at 15 to 42 KB each, for two minutes and can't be told to forget them. So
    /// after a number of them another takes its place. Each has a thread of its own for as long as
    /// it has calls.
    std::shared_ptr<http_manager> manager();

    std::size_t calls = 0;

    /// Notes that the upstream answered, or accepted a connection.
    void note_alive(const std::string& host_and_port, base::time_point now);
    /// Whether it did so just now.
    bool is_alive(const std::string& host_and_port, base::time_point now) const;

private:
    std::shared_ptr<http_manager> manager_;
    std::unordered_map<std::string, base::time_point> last_alive_;
};

}  // namespace caraway::net
