#pragma once

#include "libcaraway/attempts/attempt_id.hpp"
#include "libcaraway/attempts/outcome.hpp"
#include "libcaraway/base/ids.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace caraway::attempts
{

/// What ended an attempt.
enum class end_kind
{
    answered,     ///< The whole answer came, with its status; its framing ended properly.
    refused,      ///< The upstream refused the connection.
    not_sent,     ///< It failed before the first byte of the request was handed to the system.
    not_started,  ///< The upstream's answer says, by its service's setting, that it did not start.
    lost,         ///< Something was sent; reset, closed or cut short without a whole answer.
    timed_out,    ///< Something was sent; a time limit passed without a whole answer.
    cancelled,    ///< Something was sent; the caller went away and the attempt was cancelled.
};

/// How one attempt ended.
struct attempt_end
{
    end_kind kind = end_kind::lost;
    std::uint16_t status = 0;  ///< HTTP status for answered and not_started, else 0.

    friend bool operator==(const attempt_end&, const attempt_end&) = default;
};

/// The end of an attempt that got a whole answer: not_started when the status is among those by
/// which the service says that it has not begun the call (service::not_started_statuses).
attempt_end classify_answer(std::uint16_t status,
                            const std::vector<std::uint16_t>& not_started_statuses);

/// What one attempt's end says of the request. Once bytes of an answer went to the caller,
/// something ran, so that it is never not_run.
outcome classify(const attempt_end& end, std::uint64_t bytes_sent_to_caller);

/// One attempt of a request.
struct attempt
{
    attempt_id id{};
    base::upstream_id upstream{};
    std::optional<attempt_end> end{};  ///< Nothing while it runs.
};

/// The attempts of one request at one router, at most one running at a time.
class attempt_record
{
public:
    attempt_record(base::node_ref router, base::request_number request);

    /// Begins the next attempt. The one before must have ended.
    attempt_id begin(base::upstream_id upstream);

    /// Whether this is the running attempt. What arrives for any other id is dropped: it is late.
    bool is_running(const attempt_id& id) const;

    /// Notes the end of the running attempt; false, and nothing noted, when `id` isn't running.
    bool end(const attempt_id& id, const attempt_end& how, std::uint64_t bytes_sent_to_caller);

    /// Of all attempts together: done when the last one is; not_run only if each one was (or none
    /// was made); else unknown. A refused retry doesn't make up for a lost first attempt.
    outcome overall_outcome() const;

    const std::vector<attempt>& attempts() const
    {
        return attempts_;
    }
    /// Nothing before the first attempt.
    std::optional<base::upstream_id> last_upstream() const;
    const base::node_ref& router() const
    {
        return router_;
    }
    base::request_number request() const
    {
        return request_;
    }

private:
    base::node_ref router_;
    base::request_number request_;
    std::vector<attempt> attempts_;
    bool maybe_run_ = false;
    bool done_ = false;
};

}  // namespace caraway::attempts
