#pragma once

#include "libcaraway/http/memory_budget.hpp"
#include "libcaraway/http/owner_token.hpp"
#include "libcaraway/http/server_connection.hpp"
#include "libcaraway/http/upstream_pool.hpp"
#include "libcaraway/metrics/registry.hpp"
#include "libcaraway/router/ports.hpp"
#include "libcaraway/router/request_metrics.hpp"
#include "libcaraway/router/settings.hpp"
#include "libcaraway/routing/crash_tracker.hpp"
#include "libcaraway/routing/engines/load_tracker.hpp"
#include "libcaraway/routing/engines/slow_start.hpp"
#include "libcaraway/routing/entry/overload_guard.hpp"
#include "libcaraway/routing/entry/workspace_parts.hpp"
#include "libcaraway/routing/origin_lookups.hpp"
#include "libcaraway/routing/peer_table.hpp"
#include "libcaraway/routing/placer.hpp"
#include "libcaraway/routing/retry_budget.hpp"
#include "libcaraway/routing/returns/refused_requests.hpp"
#include "libcaraway/routing/returns/wait_queue.hpp"
#include "libcaraway/routing/route_table.hpp"
#include "libcaraway/routing/served_versions.hpp"
#include "libcaraway/routing/workspace_shares.hpp"
#include "libcaraway/scheduling/upstream_health.hpp"
#include "libcaraway/telemetry/line_log.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <set>

namespace caraway::router
{

class request_session;

/// Slots of the engines that accept requests, and the requests of all routers that occupy them.
struct engine_usage
{
    std::uint64_t slots = 0;
    std::uint64_t running = 0;
    /// Slots that are taken, or without memory or reading time for a further request.
    double taken = 0;

    /// Part of the engines that is taken; 0 without any.
    double occupancy() const
    {
        return slots == 0 ? 0 : taken / static_cast<double>(slots);
    }
    /// Part of the slots that is free though tokens are refused; 0 while none are.
    double idle_while_refusing(double refused_tokens) const
    {
        if (slots == 0 || refused_tokens == 0)
        {
            return 0;
        }
        return std::max(0.0, 1 - static_cast<double>(running) / static_cast<double>(slots));
    }
};

/// Below this remaining time a request is not sent: no upstream could answer before its deadline.
inline constexpr std::chrono::milliseconds min_time_left{25};

inline std::chrono::milliseconds to_milliseconds(base::duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

/// State shared by all requests of a router: routing state, connections, timers, metrics, log. Not
/// thread-safe: used on the event loop's thread only.
class core
{
public:
    core(boost::asio::io_context& event_loop, const base::clock& process_clock,
         settings process_options, caller_protocol protocol_of_callers,
         telemetry::line_log& process_log);

    /// Applies the configuration if its version is greater than the current one. An older or equal
    /// version is ignored, so that a copy that arrives late never reverts the configuration.
    /// `source` names the store or the peer that sent it. Returns whether it was applied.
    bool adopt(routing::configuration configuration, std::string_view source);
    /// Null until the first configuration is applied.
    std::shared_ptr<const routing::route_table> table() const
    {
        return table_;
    }
    /// 0 until the first configuration is applied.
    base::config_version version() const;

    /// An operator drained an availability zone (its upstreams get no new requests) or ended the
    /// drain. Returns false if the zone is unknown or the update changes nothing.
    bool apply_zone_update(const routing::zone_update& update, std::string_view source);
    /// The upstream stays cold for the remaining time; 0: it is warm. `because` goes to the log.
    void record_cold(const routing::upstream& upstream, std::chrono::milliseconds remaining,
                     std::string_view because);
    /// Marks upstreams as warm whose warm-up has ended.
    void expire_warmups();
    /// Recomputes the capacity that workspaces share: the configured one, less drained zones.
    void set_share_capacity();

    void handle(const std::shared_ptr<http::exchange>& request);
    /// Sends queued requests that find an upstream with room. To be called whenever capacity may
    /// have become free.
    void dispatch_waiting();
    /// Ends all requests that wait or are in flight, as the process ends.
    void end_requests();
    /// Rejects requests whose time in the wait queue has expired.
    void expire_waiting();

    routing::returns::wait_id enqueue(const std::shared_ptr<request_session>& session,
                                      const routing::returns::waiting_request& request);
    void dequeue(routing::returns::wait_id id);

    void record_attempt_result(const base::upstream_id& id, const base::service_id& service,
                               scheduling::attempt_result result);
    /// The connection to an upstream was lost before the answer was complete. `parts` are those of
    /// the request's prompt, if its answer had at most begun.
    void record_lost_connection(const routing::upstream& upstream,
                                attempts::request_fingerprint request,
                                const routing::parts::part_fingerprints& parts);
    /// Nobody listens at the upstream's address.
    void record_refused_connection(const routing::upstream& upstream);
    /// An upstream answered a request with a rest: it wants nothing from this router for `rest`.
    void record_rest(const base::upstream_id& id, std::chrono::milliseconds rest);
    /// An upstream announced in an answer that it is shutting down.
    void record_leaving(const base::upstream_id& id);
    /// A new process runs under the upstream's id. `process_start` is its start time since the Unix
    /// epoch by the upstream's clock.
    void record_restart(const base::upstream_id& id, std::chrono::milliseconds process_start);
    /// Adds what a peer knows of parts of prompts that crash upstreams.
    void merge_suspected_parts(const std::vector<routing::parts::part_evidence>& received);
    /// Refuses waiting requests if further parts of prompts are known to crash upstreams.
    void apply_new_causes();
    /// Adds a request to those in flight at the upstream, or removes it.
    void track_in_flight(const base::upstream_id& id, request_session& session);
    void untrack_in_flight(const base::upstream_id& id, request_session& session);
    /// Sums over the engines of all services.
    router::engine_usage engine_usage() const;
    /// Uniform in [0, 1).
    double random_unit();
    /// Processes datagrams of peers that are still unread in the socket, if the state known from
    /// peers may be stale. Returns false if it is stale nevertheless, until the next digest.
    std::function<bool()> receive_peer_updates = []
    {
        return true;
    };
    /// The time since the store, or a peer that polls it, last confirmed the known upstreams.
    std::function<base::duration()> upstreams_age = []
    {
        return base::duration::zero();
    };

    /// Records the origin of a stream that began here, until its caller can't resume it any more.
    std::function<void(const base::request_id& first_attempt, const routing::stream_origin&,
                       base::time_point expires)>
        record_origin = [](const auto&, const auto&, auto) {
        };
    /// Calls back once the store has confirmed what is known of upstreams and, over `period`, of
    /// the versions that they had, by answers to calls that began later; with false if it doesn't
    /// answer soon.
    std::function<void(base::duration period, std::function<void(bool)>)> confirm_versions =
        [](auto, const auto& done)
    {
        done(false);
    };
    /// Finds the origin of a stream in the platform's store.
    std::function<void(const base::request_id& first_attempt, routing::origin_lookups::callback)>
        find_stored_origin = [](const auto&, const auto& done)
    {
        done(std::nullopt);
    };
    /// Finds the origin of a stream, here or at other routers.
    std::function<void(const base::request_id& first_attempt, routing::origin_lookups::callback)>
        find_origin = [](const auto&, const auto& done)
    {
        done(std::nullopt);
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
    /// What is held for callers, at all addresses.
    std::shared_ptr<http::memory_budget> memory;
    metrics::registry metrics;
    router::request_metrics request_metrics{metrics};
    routing::upstream_directory directory;
    routing::served_versions served_versions;
    routing::engines::slow_start slow_start;
    routing::engines::load_tracker load_tracker;
    routing::workspace_shares shares;
    routing::returns::wait_queue wait_queue;
    routing::retry_budget retries;
    routing::crash_tracker crashes;
    routing::returns::refused_requests refused_requests;
    routing::entry::overload_guard overload;
    routing::entry::workspace_parts parts;
    /// Requests to engines in flight: they take most of a router's CPU time.
    std::size_t active_streams = 0;
    routing::placer placer;
    routing::engines::engine_view engines;
    scheduling::scheduler_options health_options;
    scheduling::upstream_health health;
    /// Total since the process started, as are the next two counts.
    std::uint64_t requests_received = 0;
    /// Writes of streamed events to callers.
    std::uint64_t chunks_relayed = 0;
    /// Requests rejected because the router's CPU is overloaded.
    std::uint64_t overload_rejections = 0;
    /// Requests sent to upstreams during a rest that they had asked for.
    std::uint64_t requests_during_rest = 0;
    /// Requests not sent, as their upstreams left after the placement.
    std::uint64_t requests_withheld = 0;
    /// Set on SIGTERM or SIGINT: new requests are rejected from this time on.
    std::optional<base::time_point> reject_from;

private:
    /// At an engine of the service, for requests beyond their workspace's share.
    std::chrono::milliseconds longest_contended_wait(const base::service_id& service) const;
    /// Those that wait for a place now; ending one changes the queue.
    std::vector<std::shared_ptr<request_session>> waiting_sessions() const;
    void process_crash(const std::optional<attempts::upstream_crash>& crash);
    /// Finds out whether the upstream has crashed, unless that is being done.
    void check_crashed(const routing::upstream& upstream);

    std::shared_ptr<const routing::route_table> table_;
    std::map<routing::returns::wait_id, std::weak_ptr<request_session>> waiting_;
    std::map<base::upstream_id, std::map<request_session*, std::weak_ptr<request_session>>>
        in_flight_;
    /// Upstreams of which it is being checked whether they have crashed.
    std::set<base::upstream_id> checked_upstreams_;
    std::set<routing::parts::part_fingerprints> known_causes_;
    http::owner_token owner_;
    std::mt19937_64 random_;
    bool dispatching_ = false;
};

}  // namespace caraway::router
