// How a request is counted when it arrives, and whether this router's processor has room for it.
#include "libcaraway/router/request_session.hpp"

#include "libcaraway/http/server_connection.hpp"

#include <algorithm>

namespace caraway::router
{

void request_session::count_arrival()
{
    core_.retries.record_request(service_->id, core_.now());
    if (!service_->engine)
    {
        return;
    }
    // Resubmitted requests count as demand again, so that more rejections lead to stricter limits
    // beyond shares. Without them engines accepted a fifth more than they could answer on time
    // (worth 0.02 lower on three deployments, n 54).
    is_resubmission_ = core_.refused_requests.contains(mark(), core_.now());
    core_.shares.record_demand(workspace_id_, share_tokens(), core_.now());
}

routing::entry::stream_effort request_session::effort() const
{
    if (!service_->engine)
    {
        return {};
    }
    const auto output = static_cast<double>(expected_output_tokens());
    return {.tokens = metadata_.prompt_tokens + output,
            .events = output / std::max(1U, service_->engine->tokens_per_event)};
}

bool request_session::admit()
{
    const auto asked = effort();
    core_.parts.record_asked(workspace_id_, asked.work());
    // Connections wait in the backlog: the caller may have closed this one already, with the close
    // still unread behind the request. Such a request must not reach an upstream.
    if (request_->caller_disconnected())
    {
        request_->abort();
        finish("caller_left", 0, "before_sending");
        return false;
    }
    if (!service_->engine)
    {
        core_.parts.record_admitted(workspace_id_, asked.work());
        return true;
    }
    if (!core_.overload.admits(asked, core_.parts.standing(workspace_id_), core_.active_streams,
                               core_.parts.streams_within(), core_.random_unit()))
    {
        ++core_.overload_rejections;
        reject(router_busy);
        return false;
    }
    may_begin_ =
        core_.shares.admits(workspace_id_, is_resubmission_, core_.random_unit(), core_.now());
    core_.parts.record_admitted(workspace_id_, asked.work());
    core_.parts.record_started(workspace_id_);
    ++core_.active_streams;
    admitted_ = true;
    return true;
}

}  // namespace caraway::router
