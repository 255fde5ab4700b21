#pragma once

#include "libcaraway/http/server_connection.hpp"
#include "libcaraway/http/upstream_pool.hpp"
#include "libcaraway/metrics/registry.hpp"
#include "libcaraway/router/ports.hpp"
#include "libcaraway/router/settings.hpp"
#include "libcaraway/routing/crash_watch.hpp"
#include "libcaraway/routing/load_board.hpp"
#include "libcaraway/routing/overload_guard.hpp"
#include "libcaraway/routing/peer_table.hpp"
#include "libcaraway/routing/placer.hpp"
#include "libcaraway/routing/refused_requests.hpp"
#include "libcaraway/routing/retry_ledger.hpp"
#include "libcaraway/routing/route_table.hpp"
#include "libcaraway/routing/slow_start.hpp"
#include "libcaraway/routing/waiting_line.hpp"
#include "libcaraway/routing/workspace_shares.hpp"
#include "libcaraway/scheduling/upstream_health.hpp"
#include "libcaraway/telemetry/line_log.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <random>

namespace caraway::router
{

class request_session;

/// With less time left no upstream can do anything for a caller.
inline constexpr std::chrono::milliseconds min_time_left{25};

inline std::chrono::milliseconds to_milliseconds(base::duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

/// What requests share: the decisions' state, the connections, the log. One thread only.
class core
{
public:
    core(boost::asio::io_context& event_loop, const base::clock& process_clock,
         settings process_options, caller_protocol callers, telemetry::line_log& lines);

    /// Puts a newer configuration in force; an older one, or the same, changes nothing: what a
    /// router has once done it doesn't undo, however late another copy arrives.
    bool adopt(routing::configuration accepted, std::string_view from);
    std::shared_ptr<const routing::route_table> table() const
    {
        return table_;
    }
    base::config_version version() const;

    /// An operator said that an availability zone gets no new requests, or that it does again.
    /// Whether that is news.
    bool apply_zone_update(const routing::zone_statement& what, std::string_view from);
    /// It is cold for so long, as somebody says; 0: it isn't.
    void record_cold(const routing::upstream& which, std::chrono::milliseconds left,
                     std::string_view because);
    /// Those that were cold and aren't any more.
    void expire_warmups();
    /// Shares are of what may be used.
    void set_share_capacity();

    void handle(const std::shared_ptr<http::exchange>& request);
    /// Gives places to those that wait; called when something may have become free.
    void dispatch_waiting();
    /// Refuses those that have waited for too long.
    void expire_waiting();

    routing::ticket enqueue(const std::shared_ptr<request_session>& session,
                            const routing::waiting_request& request);
    void dequeue(routing::ticket id);

    void record_attempt_result(const base::upstream_id& id, const base::service_id& service,
                               scheduling::attempt_result result);
    /// A connection to an upstream ended before the whole answer came, or wasn't made at all.
    void record_lost_connection(const base::upstream_id& id, attempts::request_fingerprint request);
    void record_unreachable(const base::upstream_id& id);
    /// Another process runs under the upstream's id, since `born` by its clock.
    void record_restart(const base::upstream_id& id, std::chrono::milliseconds born);
    /// A request is at the upstream, or no longer.
    void track_in_flight(const base::upstream_id& id, request_session& session);
    void untrack_in_flight(const base::upstream_id& id, request_session& session);
    /// Uniform in [0, 1).
    double random_unit();
    /// Takes in what peers have sent and the loop hasn't come to yet, if that may be old.
    std::function<void()> receive_peer_updates = [] {
    };

    base::time_point now() const
    {
        return clock.now();
    }

    boost::asio::io_context& loop;
    const base::clock& clock;
    settings options;
    caller_protocol protocol;
    telemetry::line_log& log;
    http::timer_queue timers;
    http::upstream_pool pool;
    metrics::registry metrics;
    routing::upstream_directory directory;
    routing::slow_start slow_start;
    routing::load_board load_tracker;
    routing::workspace_shares shares;
    routing::waiting_line wait_queue;
    routing::retry_ledger retries;
    routing::crash_watch crashes;
    routing::refused_requests refused_requests;
    routing::overload_guard overload;
    /// Requests for engines under way: what a router's processor is spent on.
    std::size_t active_streams = 0;
    routing::placer placer;
    routing::reading_pace prefill_pace;
    scheduling::scheduler_options health_options;
    scheduling::upstream_health health;
    /// Requests that came in, ever.
    std::uint64_t requests_received = 0;
    /// Pieces of answers passed on, and requests refused as the processor is at its limit, ever.
    std::uint64_t chunks_relayed = 0;
    std::uint64_t overload_rejections = 0;
    /// SIGTERM came; new requests are refused from then on.
    std::optional<base::time_point> reject_from;

private:
    void log_crash(const std::optional<attempts::upstream_crash>& crash);

    std::shared_ptr<const routing::route_table> table_;
    std::map<routing::ticket, std::weak_ptr<request_session>> waiting_;
    std::map<base::upstream_id, std::map<request_session*, std::weak_ptr<request_session>>>
        at_upstreams_;
    std::mt19937_64 random_;
    bool pumping_ = false;
};

}  // namespace caraway::router
