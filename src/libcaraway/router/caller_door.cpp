#include "libcaraway/router/caller_door.hpp"

#include <algorithm>
#include <charconv>

namespace caraway::router
{

namespace
{

using std::chrono::milliseconds;

/// Callers wait for as much of the time that they have left as they honour.
constexpr double honoured_part = 1.0 / 3;
/// The refused ones come back spread over this part of it, up to its end.
constexpr double spread = 0.7;

std::optional<milliseconds> parse_milliseconds(std::string_view text)
{
    std::int64_t value = 0;
    const auto* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, value);
    const bool valid = error == std::errc{} && end == last && !text.empty() && value >= 0;
    return valid ? std::optional(milliseconds(value)) : std::nullopt;
}

}  // namespace

caller_door::caller_door(core& shared) : core_(shared), policy_(shared.overload, shared.parts) {}

http::door caller_door::hooks()
{
    return {.is_narrow = [this] { return is_narrow(); },
            .accepts_more = [this] { return policy_.accepts_more(); },
            .refusal = [this](std::string_view first_bytes) { return refusal(first_bytes); },
            .on_refused = [this] { policy_.record_refusal(); },
            .on_left = [this] { policy_.record_left(); },
            .on_closed = [this] { on_closed(); },
            .on_opened =
                [this]
            {
                closed_since_.reset();
            }};
}

void caller_door::advance(base::duration elapsed)
{
    policy_.advance(elapsed);
    const auto closed = std::min(elapsed, take_closed_time());
    for (const auto& [workspace, count] : unseen_.advance(elapsed - closed, closed))
    {
        core_.shares.record_unread(workspace, core_.now(), count);
    }
}

void caller_door::on_closed()
{
    policy_.record_closed();
    closed_since_ = core_.now();
}

base::duration caller_door::take_closed_time()
{
    const auto now = core_.now();
    const auto since = closed_since_.value_or(now);
    if (closed_since_)
    {
        closed_since_ = now;
    }
    return now - since;
}

bool caller_door::admits_more()
{
    return is_narrow() || core_.overload.record_connection(core_.active_streams);
}

bool caller_door::is_narrow() const
{
    return policy_.is_narrow() && !core_.protocol.key_field.empty();
}

std::optional<std::string> caller_door::refusal(std::string_view first_bytes)
{
    const auto head = http::raw_head::find(first_bytes);
    if (!head)
    {
        policy_.record_undecided(core_.active_streams);
        return std::nullopt;
    }
    if (refuses(head->field(core_.protocol.key_field)))
    {
        return refusal_text(*head);
    }
    policy_.record_undecided(core_.active_streams);
    return std::nullopt;
}

bool caller_door::refuses(std::string_view key)
{
    const auto table = core_.table();
    if (!table || key.empty())
    {
        return refuses(base::workspace_id{});
    }
    if (const auto* workspace = table->find_workspace(key))
    {
        return refuses(workspace->id);
    }
    // Requests with an unknown key end before they are counted as a workspace's.
    const base::workspace_id unknown;
    if (refuses(unknown))
    {
        return true;
    }
    const auto work = routing::entry::stream_effort{}.work();
    core_.parts.record_asked(unknown, work);
    core_.parts.record_admitted(unknown, work);
    return false;
}

bool caller_door::refuses(const base::workspace_id& id)
{
    unseen_.record_seen(id);
    if (policy_.decide(id, core_.active_streams) == routing::entry::door_verdict::accepted)
    {
        return false;
    }
    core_.parts.record_unread(id);
    core_.shares.record_unread(id, core_.now());
    return true;
}

std::string caller_door::refusal_text(const http::raw_head& head)
{
    constexpr milliseconds default_patience{1000};
    const auto patience =
        parse_milliseconds(head.field(core_.protocol.timeout_field)).value_or(default_patience);
    // An hour bounds what a caller may claim.
    const std::chrono::duration<double> longest(
        std::min<milliseconds>(patience, std::chrono::hours(1)) * honoured_part);
    const auto delay = longest * (1 - spread * core_.random_unit());
    return "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + std::to_string(delay.count()) +
           "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
}

}  // namespace caraway::router
