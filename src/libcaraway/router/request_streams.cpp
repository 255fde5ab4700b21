// Streams that are resumed: which service and software version an upstream must have to go on.
#include "libcaraway/router/request_session.hpp"

#include <algorithm>

namespace caraway::router
{

namespace
{

using std::chrono::milliseconds;

/// How long a caller's last attempt to resume may take to arrive after its deadline.
constexpr std::chrono::seconds arrival_slack{2};
/// Longest time for which a stream's origin is kept; protects arithmetic on times.
constexpr std::chrono::hours max_stream_time{1};

}  // namespace

bool request_session::resumes_stream() const
{
    return route_->streaming && (metadata_.resumed_attempt || metadata_.resume_after);
}

void request_session::find_stream_origin()
{
    if (!metadata_.resumed_attempt)
    {
        find_sole_origin();
        return;
    }
    const auto on_answer = [this](const auto& origin)
    {
        if (origin)
        {
            on_stream_origin(origin, "told");
            return;
        }
        find_sole_origin();
    };
    core_.find_origin(*metadata_.resumed_attempt, unless_ended(on_answer));
}

void request_session::find_sole_origin()
{
    const auto on_answer = [this](bool is_confirmed)
    {
        const auto origin = is_confirmed ? sole_origin() : std::nullopt;
        if (origin)
        {
            on_stream_origin(origin, "only_version");
            return;
        }
        find_stored_origin();
    };
    core_.confirm_versions(routing::resumable_period(*route_, core_.options.leaving_notice),
                           unless_ended(on_answer));
}

void request_session::find_stored_origin()
{
    if (!metadata_.resumed_attempt)
    {
        on_stream_origin(std::nullopt, "");
        return;
    }
    core_.find_stored_origin(*metadata_.resumed_attempt,
                             unless_ended([this](const auto& origin)
                                          { on_stream_origin(origin, origin ? "stored" : ""); }));
}

void request_session::on_stream_origin(const std::optional<routing::stream_origin>& origin,
                                       std::string_view source)
{
    origin_source_ = source;
    const auto has_service = [&](const auto& each)
    {
        return each.service == origin->service;
    };
    const bool is_served =
        origin && std::any_of(route_->services.begin(), route_->services.end(), has_service);
    if (!is_served)
    {
        answer(http::status::service_unavailable,
               origin ? "stream_of_other_service" : "stream_unknown",
               routing::retry_after(*route_, 0, core_.random_unit()));
        return;
    }
    stream_software_ = origin->software;
    if (find_service(origin->service))
    {
        accept();
    }
}

std::optional<routing::stream_origin> request_session::sole_origin() const
{
    if (route_->services.size() != 1)
    {
        return std::nullopt;
    }
    const auto& service = route_->services.front().service;
    const auto software = core_.served_versions.sole(
        service, routing::resumable_period(*route_, core_.options.leaving_notice), core_.now());
    if (!software)
    {
        return std::nullopt;
    }
    return routing::stream_origin{.service = service, .software = *software};
}

void request_session::record_stream_origin(const attempt& first)
{
    if (!stream_software_)
    {
        // After a restart under the upstream's id it isn't known which process got the request.
        const auto& placed_at = first.placement.target;
        const auto* entry = core_.directory.find(placed_at.id);
        const bool is_known = entry == nullptr || entry->software == placed_at.software;
        stream_software_ = is_known ? placed_at.software : base::software_version();
    }
    if (stream_software_->empty())
    {
        return;
    }
    const auto patience =
        std::min<milliseconds>(metadata_.caller_timeout.value_or(route_->timeout), max_stream_time);
    core_.record_origin(metadata_.resumed_attempt.value_or(metadata_.id),
                        {.service = service_->id, .software = *stream_software_},
                        request_->arrived() + patience + arrival_slack);
}

routing::admission_terms request_session::admission() const
{
    return routing::admit(*route_, stream_software_ ? routing::share_status() : share_status(), {});
}

bool request_session::has_upstream_for_stream() const
{
    if (!stream_software_)
    {
        return true;
    }
    const auto& usable = core_.directory.usable(service_->id);
    return std::any_of(usable.begin(), usable.end(),
                       [&](const auto* upstream)
                       { return upstream->software == *stream_software_; });
}

}  // namespace caraway::router
