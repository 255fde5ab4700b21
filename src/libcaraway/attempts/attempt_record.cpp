#include "libcaraway/attempts/attempt_record.hpp"

#include <algorithm>
#include <exception>
#include <utility>

namespace caraway::attempts
{

attempt_end classify_answer(std::uint16_t status,
                            const std::vector<std::uint16_t>& not_started_statuses)
{
    const bool not_started = std::find(not_started_statuses.begin(), not_started_statuses.end(),
                                       status) != not_started_statuses.end();
    return {.kind = not_started ? end_kind::not_started : end_kind::answered, .status = status};
}

outcome classify(const attempt_end& end, std::uint64_t bytes_sent_to_caller)
{
    switch (end.kind)
    {
    case end_kind::answered:
        return outcome::done;
    case end_kind::refused:
    case end_kind::not_sent:
    case end_kind::not_started:
        return bytes_sent_to_caller == 0 ? outcome::not_run : outcome::unknown;
    case end_kind::lost:
    case end_kind::timed_out:
    case end_kind::cancelled:
        return outcome::unknown;
    }
    return outcome::unknown;
}

attempt_record::attempt_record(base::node_ref router, base::request_number request)
    : router_(std::move(router)), request_(request)
{
}

attempt_id attempt_record::begin(base::upstream_id upstream)
{
    if (!attempts_.empty() && !attempts_.back().end)
    {
        std::terminate();  // Two concurrent attempts could both run the call.
    }
    attempt_id id{.router = router_,
                  .request = request_,
                  .count = static_cast<std::uint32_t>(attempts_.size() + 1)};
    attempts_.push_back({.id = id, .upstream = std::move(upstream), .end = std::nullopt});
    return id;
}

bool attempt_record::is_running(const attempt_id& id) const
{
    return !attempts_.empty() && attempts_.back().id == id && !attempts_.back().end;
}

bool attempt_record::end(const attempt_id& id, const attempt_end& reason,
                         std::uint64_t bytes_sent_to_caller)
{
    if (!is_running(id))
    {
        return false;
    }
    attempts_.back().end = reason;
    const auto result = classify(reason, bytes_sent_to_caller);
    done_ = result == outcome::done;
    may_have_run_ = may_have_run_ || result != outcome::not_run;
    return true;
}

outcome attempt_record::overall_outcome() const
{
    if (!attempts_.empty() && !attempts_.back().end)
    {
        return outcome::unknown;
    }
    if (done_)
    {
        return outcome::done;
    }
    return may_have_run_ ? outcome::unknown : outcome::not_run;
}

std::optional<base::upstream_id> attempt_record::last_upstream() const
{
    if (attempts_.empty())
    {
        return std::nullopt;
    }
    return attempts_.back().upstream;
}

}  // namespace caraway::attempts
