// What a request's attempts tell about crashes of upstreams, and the refusal of requests that cause
// them.
#include "libcaraway/router/request_session.hpp"

#include "libcaraway/http/server_connection.hpp"
#include "libcaraway/scheduling/stable_hash.hpp"

namespace caraway::router
{

namespace
{

using routing::attempt_outcome;
using routing::next_step;

/// An upstream that is still there for this long after an answer began didn't crash as it began it.
constexpr std::chrono::milliseconds time_to_prove_sound{400};

}  // namespace

bool request_session::refuse_if_crashing()
{
    const auto until = ended_ ? std::nullopt : refused_until();
    if (!until)
    {
        return false;
    }
    const auto keep = shared_from_this();
    constexpr std::string_view reason = "crashes_upstreams";
    if (answer_begun_ || may_have_run_)
    {
        fail_unplaced(reason);
        return true;
    }
    answer(http::status::service_unavailable, reason, to_milliseconds(*until - core_.now()));
    return true;
}

std::optional<base::time_point> request_session::refused_until()
{
    const auto now = core_.now();
    const auto& crashes = core_.crashes;
    if (!crashes.parts().causes().empty())
    {
        if (const auto until = crashes.parts().refused_until(part_fingerprints(), now))
        {
            return until;
        }
    }
    if (crashes.has_suspects() && crashes.refuses(fingerprint(), now))
    {
        return now + crashes.refusal_duration();
    }
    return std::nullopt;
}

attempts::request_fingerprint request_session::fingerprint()
{
    if (fingerprint_)
    {
        return *fingerprint_;
    }
    const auto body = scheduling::stable_hash(request_->body());
    const auto content = std::string(request_->head().method_string()) + ' ' +
                         std::string(request_->head().target()) + ' ' + std::to_string(body);
    fingerprint_ = attempts::fingerprint_of(workspace_id_, service_->id, content);
    return *fingerprint_;
}

const routing::parts::part_fingerprints& request_session::part_fingerprints()
{
    if (!part_fingerprints_)
    {
        part_fingerprints_ = routing::parts::shared_parts(metadata_.parts);
    }
    return *part_fingerprints_;
}

/// A connection to a process that is gone may stay silent forever, so the attempt is failed here.
/// Clocks of VMs differ and jump: an attempt that was sent at about the time when the new process
/// started is left to its connection, and so is one that received data recently.
void request_session::on_upstream_restarted(base::duration uptime)
{
    constexpr std::chrono::seconds clock_tolerance{1};
    const auto now = core_.now();
    const bool sent_before_restart = attempt_ && now - attempt_->sent_at > uptime + clock_tolerance;
    if (ended_ || !sent_before_restart || now - attempt_->last_activity < clock_tolerance)
    {
        return;
    }
    const auto keep = shared_from_this();
    const auto current = attempt_;
    on_failed(*current,
              current->head ? http::call_failure::truncated_answer : http::call_failure::no_answer);
}

bool request_session::is_whole(const attempt& ended)
{
    if (!ended.is_stream)
    {
        return true;
    }
    const bool has_events = ended.answer_begun.has_value();
    return !ended.events.has_partial_event() &&
           (has_events || !http::ends_with_connection(*ended.head));
}

void request_session::record_lost_connection(const attempt& lost)
{
    const bool at_beginning =
        !lost.answer_begun || core_.now() - *lost.answer_begun < time_to_prove_sound;
    const bool counts_parts = at_beginning && service_->engine;
    core_.record_lost_connection(lost.placement.target, fingerprint(),
                                 counts_parts ? part_fingerprints()
                                              : routing::parts::part_fingerprints{});
}

void request_session::record_sound_answer(const attempt& current, bool complete)
{
    const bool is_success = current.head->result_int() < 300;
    if (core_.crashes.parts().empty() || !service_->engine || !is_success || !current.answer_begun)
    {
        return;
    }
    // The end of a connection completes an answer without a length, whether its upstream meant to
    // close it or has crashed.
    const bool surely_complete = complete && !http::ends_with_connection(*current.head);
    if (surely_complete || core_.now() - *current.answer_begun >= time_to_prove_sound)
    {
        core_.crashes.record_sound(part_fingerprints(), *current.answer_begun);
    }
}

void request_session::log_attempt(const attempt& last, attempt_outcome outcome, next_step step)
{
    nlohmann::ordered_json line{{"request", metadata_.id.str()},
                                {"upstream", last.placement.target.id.str()},
                                {"software", last.placement.target.software.str()},
                                {"end", routing::name(outcome)},
                                {"status", last.head ? last.head->result_int() : 0},
                                {"took_ms", to_milliseconds(core_.now() - last.sent_at).count()},
                                {"rest_left_ms", last.rest_left.count()},
                                {"next", routing::name(step)}};
    const bool may_have_run =
        outcome == attempt_outcome::unknown || outcome == attempt_outcome::truncated;
    if (may_have_run && service_->engine)
    {
        line["connection_lost"] = last.connection_lost;
        line["has_events"] = last.prefilled;
        line["parts"] = shared_parts();
    }
    core_.log.request_line("attempt", line);
}

std::vector<std::string> request_session::shared_parts() const
{
    std::vector<std::string> ids;
    for (std::size_t index = 0; index + 1 < metadata_.parts.size(); ++index)
    {
        ids.push_back(metadata_.parts[index].id);
    }
    return ids;
}

}  // namespace caraway::router
