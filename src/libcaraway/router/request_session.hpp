#pragma once

#include "libcaraway/http/event_splitter.hpp"
#include "libcaraway/router/core.hpp"
#include "libcaraway/routing/admission.hpp"
#include "libcaraway/routing/attempt_policy.hpp"

namespace caraway::router
{

/// One request from its arrival to its end: understood, given a place, sent, answered. Keeps itself
/// alive through what it waits for.
class request_session : public std::enable_shared_from_this<request_session>
{
public:
    request_session(core& shared, std::shared_ptr<http::exchange> request);

    void start();
    /// Sends it if some upstream has a place now.
    bool try_place();
    void on_waited_too_long();
    /// The upstream that it is at is another process than before, for so long by its own clock.
    void on_upstream_restarted(base::duration alive_for);

private:
    /// An attempt at one upstream.
    struct attempt
    {
        routing::placement place;
        std::shared_ptr<http::client_connection> connection;
        base::time_point sent{};
        std::optional<http::response_head> head;
        answer_metadata facts;
        std::string body;
        http::event_splitter events;
        bool streams = false;
        bool prompt_read = false;
        base::time_point last_sign{};
        http::timer_queue::handle silence_timer;
    };

    bool find_route();
    bool find_workspace();
    void count_arrival();
    /// Counts it among those under way; or refuses it, as this router can't carry one more.
    bool enter();
    void look_for_place();

    void send(routing::placement place);
    http::call_events events_of(const std::shared_ptr<attempt>& of);
    void on_head(attempt& of, const http::response_head& head);
    void on_body(attempt& of, std::string_view part);
    void on_end(attempt& of);
    void on_failed(attempt& of, http::call_failure why);
    void relay_events(attempt& of);
    void watch_silence(attempt& of);
    void on_silence_timer();
    /// Without a sign of life for so long an upstream is taken for dead.
    std::chrono::milliseconds longest_silence() const;
    void begin_answer(const attempt& of);
    void note_pause();

    void attempt_ended(routing::attempt_end how);
    void release_attempt();
    void give_back_share(routing::attempt_end how);
    std::optional<routing::placement> find_place();
    void deliver(const attempt& of);
    void refuse(std::string_view reason);
    /// Why no upstream was found; `usual` if nothing special kept it from one.
    std::string_view reason_of_no_place(std::string_view usual) const;
    /// Ends it for want of an upstream, by what is known of earlier attempts.
    void no_place(std::string_view reason);
    /// A final answer of the router's own.
    void answer(http::status code, std::string_view reason,
                std::optional<std::chrono::milliseconds> come_back = std::nullopt);
    void break_off(std::string_view reason);
    void end(std::string_view outcome, unsigned status, std::string_view reason);
    void log_end(std::string_view outcome, unsigned status, std::string_view reason);
    void on_deadline();
    void on_gone();

    http::response_head head_for_caller(const http::response_head& from) const;
    bool is_idempotent() const;
    /// By which it is known again when its caller sends it once more, at whichever router.
    attempts::request_fingerprint fingerprint();
    /// Upstreams crashed under it, at this router or others, so that no more may run it.
    bool crashes_upstreams();
    /// By which it is known again at whichever router, and cheap enough for each request.
    routing::request_mark mark() const;
    routing::standing standing() const;
    double tokens() const;
    std::uint32_t expected_output() const;
    std::chrono::milliseconds time_left() const;

    core& core_;
    std::shared_ptr<http::exchange> request_;
    std::shared_ptr<const routing::route_table> table_;
    routing::request_facts facts_;
    const routing::route* route_ = nullptr;
    const routing::service* service_ = nullptr;
    const routing::workspace* workspace_ = nullptr;
    base::workspace_id account_;
    base::time_point deadline_{};
    http::timer_queue::handle deadline_timer_;
    std::optional<routing::ticket> ticket_;
    std::shared_ptr<attempt> attempt_;
    std::vector<base::upstream_id> tried_;
    std::uint32_t sent_ = 0;
    std::uint32_t unreachable_ = 0;
    bool may_have_run_ = false;
    /// No place was found, and an upstream with room was passed over as it is cold.
    bool cold_passed_over_ = false;
    /// Refused before, and sent once more by its caller.
    bool returned_ = false;
    bool counted_ = false;
    bool admitted_ = false;
    bool begun_ = false;
    bool ended_ = false;
    /// Hashed when it is first asked for, as few requests need it.
    std::optional<attempts::request_fingerprint> fingerprint_;
    std::optional<std::uint64_t> last_event_;
    base::time_point first_piece_{};
    base::time_point last_piece_{};
    /// Between two pieces, as they left for the caller.
    base::duration longest_pause_{};
    /// What was believed of the upstream that it was sent to last.
    std::optional<routing::placement> sent_by_;
    base::time_point sent_at_{};
};

}  // namespace caraway::router
