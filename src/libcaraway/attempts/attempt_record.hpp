#pragma once

#include "libcaraway/attempts/attempt_id.hpp"
#include "libcaraway/attempts/outcome.hpp"
#include "libcaraway/base/ids.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace caraway::attempts
{

/// Why an attempt ended.
enum class end_kind
{
    answered,     ///< A complete answer was received, with correct framing.
    refused,      ///< The upstream refused the connection.
    not_sent,     ///< Failed before any byte of the request was passed to the operating system.
    not_started,  ///< The status is one that the service has set to mean the call did not start.
    lost,         ///< Partly or fully sent; the connection ended before a complete answer.
    timed_out,    ///< Partly or fully sent; a time limit passed before a complete answer.
    cancelled,    ///< Partly or fully sent; cancelled because the caller disconnected.
};

/// How one attempt ended.
struct attempt_end
{
    end_kind kind = end_kind::lost;
    std::uint16_t status = 0;  ///< HTTP status if answered or not_started, else 0.

    friend bool operator==(const attempt_end&, const attempt_end&) = default;
};

/// Classifies a complete answer by its HTTP status: not_started if the status is one that the
/// service has set to mean the call did not start (service::not_started_statuses), else answered.
attempt_end classify_answer(std::uint16_t status,
                            const std::vector<std::uint16_t>& not_started_statuses);

/// Derives the outcome of a request from the end of one attempt. Never not_run once bytes of an
/// answer have been sent to the caller, since the call must have run then.
outcome classify(const attempt_end& end, std::uint64_t bytes_sent_to_caller);

/// An attempt and, once it has ended, its end.
struct attempt
{
    attempt_id id{};
    base::upstream_id upstream{};
    std::optional<attempt_end> end{};  ///< Empty while the attempt runs.
};

/// The attempts made by one router for one request. At most one attempt runs at a time.
class attempt_record
{
public:
    attempt_record(base::node_ref router, base::request_number request);

    /// Begins the next attempt. The previous attempt must have ended, otherwise the process is
    /// terminated.
    attempt_id begin(base::upstream_id upstream);

    /// Whether `id` is the running attempt. Results for any other id are stale and are dropped.
    bool is_running(const attempt_id& id) const;

    /// Records the end of the running attempt. Returns false and records nothing if `id` is not the
    /// running attempt.
    bool end(const attempt_id& id, const attempt_end& reason, std::uint64_t bytes_sent_to_caller);

    /// The outcome of all attempts together: done if the last attempt is done, not_run if every
    /// attempt is not_run or there was none, else unknown. A refused retry does not undo a lost
    /// first attempt, which may have run.
    outcome overall_outcome() const;

    const std::vector<attempt>& attempts() const
    {
        return attempts_;
    }
    /// The upstream of the last attempt; nullopt before the first attempt.
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
    bool may_have_run_ = false;
    bool done_ = false;
};

}  // namespace caraway::attempts
