#pragma once

#include "libcaraway/http/event_splitter.hpp"
#include "libcaraway/router/core.hpp"
#include "libcaraway/routing/admission.hpp"
#include "libcaraway/routing/attempt_policy.hpp"

namespace caraway::router
{

/// Reason of a refusal for lack of processor time.
inline constexpr std::string_view router_busy = "router_busy";

/// One request from its arrival to its end: parsed, placed at an upstream, sent, answered. The
/// pending callbacks (connection, caller's exchange) keep the session alive.
class request_session : public std::enable_shared_from_this<request_session>
{
public:
    request_session(core& shared, std::shared_ptr<http::exchange> request);

    void start();
    /// Sends the request if an upstream has room now. Returns true if the request no longer needs
    /// to wait.
    bool try_place();
    void on_wait_expired();
    /// Refuses the request if it is known to crash upstreams. Returns whether it is.
    bool refuse_if_crashing();
    /// Ends the request as the process ends: it gets the answer that is true by now.
    void end_with_process();
    /// A new process, with this uptime by its own clock, replaced the upstream that the request was
    /// sent to.
    void on_upstream_restarted(base::duration uptime);

private:
    /// One attempt to have the request answered by an upstream.
    struct attempt
    {
        routing::placement placement;
        std::shared_ptr<http::client_connection> connection;
        base::time_point sent_at{};
        /// Time left when the request was sent of a rest that the upstream had asked for.
        std::chrono::milliseconds rest_left{};
        std::optional<http::answer_head> head;
        answer_metadata metadata;
        std::string body;
        http::event_splitter events;
        /// Counts what is kept of the answer.
        http::memory_hold held;
        /// Memory that the answer's head takes, and its body if its length is known.
        std::size_t expected_bytes = 0;
        /// The answer isn't read on, for lack of room or as the caller doesn't read.
        bool held_back = false;
        /// The response is an event stream that is relayed event by event.
        bool is_stream = false;
        /// The first event arrived: the upstream has processed the prompt.
        bool prefilled = false;
        /// The connection ended before the answer was complete.
        bool connection_lost = false;
        /// When the answer began: with a stream's first whole event, else with its head.
        std::optional<base::time_point> answer_begun;
        /// Events that arrived, when the last one did, and the longest time between two of them.
        std::uint32_t events_arrived = 0;
        base::time_point last_event{};
        base::duration longest_pause{};
        /// Start of the silence: when events last arrived, or else when the request was sent.
        base::time_point last_activity{};
        http::timer_queue::handle silence_timer;
    };

    bool find_route();
    bool find_workspace();
    /// Whether the caller goes on with a stream that an earlier attempt began.
    bool resumes_stream() const;
    /// Asks for the stream's origin: routers first; then, as none knows it, which origins it can
    /// have; then the store.
    void find_stream_origin();
    /// The action, to be called back with a value; does nothing once the session has ended.
    template <class Action>
    auto unless_ended(Action action)
    {
        return [weak = weak_from_this(), action](const auto& value)
        {
            const auto self = weak.lock();
            if (self && !self->ended_)
            {
                action(value);
            }
        };
    }
    void find_sole_origin();
    void find_stored_origin();
    /// Goes on with the stream, or refuses it if its origin isn't known. `source` is for the log.
    void on_stream_origin(const std::optional<routing::stream_origin>& origin,
                          std::string_view source);
    /// The only origin that the stream can have; empty if there are several or it isn't known.
    std::optional<routing::stream_origin> sole_origin() const;
    /// Binds the stream to the version that sends its first event, and lets other routers know.
    void record_stream_origin(const attempt& first);
    /// Whether an upstream is usable that can go on with the stream, if one has begun.
    bool has_upstream_for_stream() const;
    /// The terms of the workspace; those within its share for a stream that has begun, as it was
    /// let in then and only a part of the upstreams can go on with it.
    routing::admission_terms admission() const;
    bool find_service(const base::service_id& name);
    /// The request is complete and may be served.
    void accept();
    void count_arrival();
    /// Counts the request as an active stream. Returns false if the session has ended: the router
    /// is overloaded, or the caller has left.
    bool admit();
    /// What the request asks of this router's processor.
    routing::entry::stream_effort effort() const;
    void place_or_enqueue();

    void send(routing::placement placement);
    http::call_events call_handlers(const std::shared_ptr<attempt>& current);
    /// A connection was opened for the request. Returns whether its upstream still takes it.
    bool on_opened(attempt& current);
    void on_head(attempt& current, const http::answer_head& head);
    /// Whether more of the answer may be read.
    bool may_read(attempt& current);
    bool has_room_for(attempt& current);
    void on_body(attempt& current, std::string_view part);
    void on_end(attempt& current);
    void on_failed(attempt& current, http::call_failure failure);
    void relay_events(attempt& current);
    void start_silence_timer(attempt& current);
    void on_silence_timer();
    /// An upstream that sends nothing for this time is taken for dead.
    std::chrono::milliseconds silence_timeout() const;
    void begin_answer(const attempt& current);
    static void record_arrival(attempt& current);
    void record_event_gap();

    /// Whether nothing is missing of the answer, as far as its end shows.
    static bool is_whole(const attempt& ended);
    void record_lost_connection(const attempt& lost);
    /// The answer goes on, or is complete: the upstream didn't crash as it began.
    void record_sound_answer(const attempt& current, bool complete);
    void on_attempt_ended(routing::attempt_outcome outcome);
    routing::attempt_summary summary_of(const attempt& ended,
                                        routing::attempt_outcome outcome) const;
    void log_attempt(const attempt& last, routing::attempt_outcome outcome,
                     routing::next_step step);
    /// Ids of the prompt's parts that other requests may have as well.
    std::vector<std::string> shared_parts() const;
    void release_attempt();
    void refund_share(routing::attempt_outcome outcome);
    std::optional<routing::placement> find_placement();
    std::optional<routing::placement> find_placement(const routing::admission_terms& terms);
    /// Whether an upstream would take the request on the terms of a workspace within its share.
    bool has_place_within_share();
    void deliver(attempt& current);
    void reject(std::string_view reason);
    /// Why no upstream was found; `default_reason` if there is no more specific reason.
    std::string_view unplaced_reason(std::string_view default_reason) const;
    /// Time until the first of the service's upstreams may get requests again, if all of them have
    /// asked for a rest; else 0.
    std::chrono::milliseconds rest_of_all_upstreams() const;
    /// Ends the request because no upstream is available. The answer depends on whether an earlier
    /// attempt may have run.
    void fail_unplaced(std::string_view reason);
    /// Sends a final answer made by the router itself. `retry_after` is sent as Retry-After.
    void answer(http::status code, std::string_view reason,
                std::optional<std::chrono::milliseconds> retry_after = std::nullopt);
    void abort_answer(std::string_view reason);
    void finish(std::string_view outcome, unsigned status, std::string_view reason);
    void count_placement(const routing::placement& placed);
    void log_end(std::string_view outcome, unsigned status, std::string_view reason);
    void on_deadline();
    void on_caller_left();

    http::response_head head_for_caller(const http::answer_head& upstream_head) const;
    bool is_idempotent() const;
    /// Identifies the request, body included, when its caller sends it again to any router.
    attempts::request_fingerprint fingerprint();
    /// The prompt's parts that other requests may have as well.
    const routing::parts::part_fingerprints& part_fingerprints();
    /// Until when the request is refused, as upstreams crashed while they ran it or others with the
    /// same parts, sent by this router or others; empty if it may run.
    std::optional<base::time_point> refused_until();
    /// Identifies the request at any router without hashing the body: cheap enough for each
    /// request.
    routing::returns::request_fingerprint mark() const;
    routing::share_status share_status() const;
    /// Tokens charged to the workspace's share: prompt, and twice the expected output.
    double share_tokens() const;
    std::uint32_t expected_output_tokens() const;
    bool is_past_deadline() const;
    std::chrono::milliseconds time_left() const;

    core& core_;
    std::shared_ptr<http::exchange> request_;
    std::shared_ptr<const routing::route_table> table_;
    routing::request_metadata metadata_;
    const routing::route* route_ = nullptr;
    const routing::service* service_ = nullptr;
    const routing::workspace* workspace_ = nullptr;
    base::workspace_id workspace_id_;
    base::time_point deadline_{};
    http::timer_queue::handle deadline_timer_;
    std::optional<routing::returns::wait_id> wait_id_;
    std::shared_ptr<attempt> attempt_;
    std::vector<base::upstream_id> tried_;
    /// Attempts that reached an upstream, and those of which nothing was sent.
    std::uint32_t attempts_sent_ = 0;
    std::uint32_t unsent_attempts_ = 0;
    bool may_have_run_ = false;
    /// No upstream was found, and one with room was skipped because it is cold.
    bool skipped_cold_upstream_ = false;
    /// The request was rejected before, and its caller sent it again.
    bool is_resubmission_ = false;
    bool counted_as_served_ = false;
    bool admitted_ = false;
    /// See workspace_shares::admits.
    bool may_begin_ = true;
    bool answer_begun_ = false;
    bool ended_ = false;
    /// Computed on first use, as few requests need it.
    std::optional<attempts::request_fingerprint> fingerprint_;
    std::optional<routing::parts::part_fingerprints> part_fingerprints_;
    std::optional<std::uint64_t> last_event_id_;
    /// Version that sent the first event of the stream, which no other may continue. Empty before
    /// that event; an empty version if it isn't known.
    std::optional<base::software_version> stream_software_;
    /// How that is known of a stream that an earlier attempt began; empty if it isn't.
    std::string_view origin_source_;
    base::time_point first_event_time_{};
    base::time_point last_event_time_{};
    /// Longest time between two writes of events to the caller.
    base::duration longest_gap_{};
    /// Placement of the last attempt, with the load that was assumed for the upstream.
    std::optional<routing::placement> last_placement_;
    base::time_point last_sent_at_{};
    /// From there until the request was written: the time to open a connection.
    base::duration last_connect_time_{};
    /// Age of the known upstreams when the request was written.
    base::duration last_upstreams_age_{};
};

}  // namespace caraway::router
