// Crashes of upstreams: how they are noticed, and what follows for requests that cause them.
#include "libcaraway/router/core.hpp"

#include "libcaraway/http/connection_check.hpp"
#include "libcaraway/router/request_session.hpp"

namespace caraway::router
{

namespace
{

using std::chrono::milliseconds;

/// A process that ends may close its connections before it stops listening.
constexpr milliseconds crash_check_delay{20};
constexpr milliseconds crash_check_timeout{300};

nlohmann::json to_json(const routing::parts::part_fingerprints& parts)
{
    auto encoded = nlohmann::json::array();
    for (const auto part : parts)
    {
        encoded.push_back(static_cast<std::uint64_t>(part));
    }
    return encoded;
}

attempts::upstream_incarnation incarnation_of(const routing::upstream& upstream)
{
    return {.id = upstream.id, .process_start = upstream.process_start};
}

}  // namespace

void core::record_lost_connection(const routing::upstream& upstream,
                                  attempts::request_fingerprint request,
                                  const routing::parts::part_fingerprints& parts)
{
    process_crash(crashes.record_lost(incarnation_of(upstream), request, parts, now()));
    const auto* listed = directory.find(upstream.id);
    if (listed != nullptr && listed->process_start > upstream.process_start)
    {
        // Another process runs under the id: the one that the request was sent to has ended.
        record_refused_connection(upstream);
        return;
    }
    // Without a check a crash is noticed only when a later request is sent there, if one is.
    if (!parts.empty())
    {
        check_crashed(upstream);
    }
}

void core::record_refused_connection(const routing::upstream& upstream)
{
    process_crash(crashes.record_refused_connection(incarnation_of(upstream), now()));
}

void core::merge_suspected_parts(const std::vector<routing::parts::part_evidence>& received)
{
    crashes.merge(received, now());
    apply_new_causes();
}

void core::check_crashed(const routing::upstream& upstream)
{
    if (!checked_upstreams_.insert(upstream.id).second)
    {
        return;
    }
    const auto on_result = [this, upstream](http::listening result)
    {
        checked_upstreams_.erase(upstream.id);
        if (result == http::listening::no)
        {
            record_refused_connection(upstream);
        }
        else if (result == http::listening::yes)
        {
            crashes.record_reachable(incarnation_of(upstream));
        }
    };
    timers.after(
        crash_check_delay, [this, address = upstream.address, on_result]
        { http::check_listening(loop, address, crash_check_timeout, owner_.guard(on_result)); });
}

void core::process_crash(const std::optional<attempts::upstream_crash>& crash)
{
    if (!crash)
    {
        return;
    }
    log.line("upstream_crash", {{"upstream", crash->upstream.id.str()},
                                {"born", crash->upstream.process_start.count()},
                                {"requests", crash->in_flight.size()}});
    apply_new_causes();
}

void core::apply_new_causes()
{
    bool any_new = false;
    for (const auto& cause : crashes.parts().causes())
    {
        if (crashes.parts().is_refused(cause, now()) && known_causes_.insert(cause.parts).second)
        {
            any_new = true;
            log.line("parts_refused",
                     {{"parts", to_json(cause.parts)}, {"crashes", cause.crashes}});
        }
    }
    if (crashes.parts().causes().empty())
    {
        known_causes_.clear();
    }
    if (!any_new)
    {
        return;
    }
    for (const auto& session : waiting_sessions())
    {
        if (session)
        {
            session->refuse_if_crashing();
        }
    }
}

}  // namespace caraway::router
