#pragma once

#include "libcaraway/attempts/caller_error.hpp"
#include "libcaraway/attempts/once_record.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace caraway::attempts
{

/// Insert the row with rev 1, provided that it is absent.
struct insert_row
{
    row_key key;
    std::string body;
    friend bool operator==(const insert_row&, const insert_row&) = default;
};

/// Replace the row, provided that its rev equals `expected_rev`; increments the rev.
struct replace_row
{
    row_key key;
    std::uint64_t expected_rev = 0;
    std::string body;
    friend bool operator==(const replace_row&, const replace_row&) = default;
};

/// Read the row with strong consistency.
struct read_row
{
    row_key key;
    friend bool operator==(const read_row&, const read_row&) = default;
};

/// Send the request: this call's claim is known to be in the table.
struct proceed
{
    friend bool operator==(const proceed&, const proceed&) = default;
};

/// Send the recorded answer to the caller.
struct replay
{
    std::uint16_t status = 0;
    std::string content_type{};
    std::string body{};
    friend bool operator==(const replay&, const replay&) = default;
};

/// Send this error to the caller; nothing is sent to an upstream.
struct refuse
{
    caller_error error;
    friend bool operator==(const refuse&, const refuse&) = default;
};

/// The call needs no further action.
struct settled
{
    friend bool operator==(const settled&, const settled&) = default;
};

/// The next step. insert_row, replace_row and read_row are store actions, to be followed by
/// on_write() or on_read(); the other steps end the current phase.
using once_step = std::variant<insert_row, replace_row, read_row, proceed, replay, refuse, settled>;

/// Result of a conditional write.
enum class write_reply
{
    ok,
    conflict,        ///< The condition failed.
    unavailable,     ///< Provably without effect.
    unknown_effect,  ///< No reply; the write may have taken effect or may do so later.
};

/// A row read from the table.
struct stored_row
{
    std::uint64_t rev = 0;
    std::string body{};
};

/// Result of a read.
enum class read_status
{
    found,
    absent,
    unavailable,
};

struct read_reply
{
    read_status status = read_status::unavailable;
    stored_row row{};
};

/// What is known about the holder of a record.
enum class holder_state
{
    running,   ///< The holder's incarnation is believed to be alive.
    gone,      ///< The holder's incarnation has ended or is unknown.
    not_sent,  ///< This incarnation is the holder and abandoned the call without sending it.
};

struct once_options
{
    /// Maximum number of store calls per claim; beyond it, the caller gets store_unavailable.
    std::uint32_t max_claim_calls = 6;
    /// Maximum number of store calls to record an end; beyond it, the record stays unchanged.
    std::uint32_t max_record_calls = 20;
    /// Delay before the second try to record an end; doubles with each try, up to max_backoff.
    std::chrono::milliseconds initial_backoff{100};
    std::chrono::milliseconds max_backoff{30000};
    /// Answer bodies up to this size, in bytes, are stored and replayed.
    std::size_t max_stored_body = 4096;
    /// A started record older than this is reported as unknown even if its holder is alive.
    std::chrono::milliseconds in_progress_limit{180000};
    std::chrono::milliseconds retry_after{2000};
};

/// One call with an idempotency key.
struct once_call
{
    attempt_id claimant{};  ///< With count 0: the request as a whole, not one attempt.
    row_key key{};
    config::sha256_hex fingerprint{};
    std::int64_t now_ms = 0;  ///< Wall clock, see once_record::started_at_ms.
};

/// A complete answer of an upstream, to be recorded.
struct once_answer
{
    std::uint16_t status = 0;
    std::string content_type{};
    std::string body{};
};

/// Runs a call with an Idempotency-Key at most once. Returns store actions as steps and takes their
/// replies; returns `proceed` only after this call's claim is known to be in the table.
///
/// Why this holds: the row is inserted only once and never deleted, its rev increases with each
/// write, and every write is conditional, so exactly one claimant can own a rev. A claim passes to
/// another claimant only if the holder will never send the call: the record is `released`, or the
/// holder is this router and holder_state::not_sent.
class once_coordinator
{
public:
    using holder_lookup = std::function<holder_state(const attempt_id&)>;

    once_coordinator(once_options options, once_call call, holder_lookup holder);

    once_step start();
    once_step on_write(write_reply reply);
    once_step on_read(const read_reply& reply);

    /// After `proceed`: records the complete answer of the upstream.
    once_step finish(const once_answer& answer);
    /// After `proceed`: not_run releases the claim, any other outcome is recorded as unknown.
    once_step finish_without_answer(outcome result);
    /// Abandons the call because the deadline passed or the caller disconnected. Returns true
    /// before `proceed`, which is then never returned: the caller can get not_run at once, while a
    /// pending store action still expects its reply. Returns false after `proceed`: the outcome
    /// then depends on the end of the attempts only.
    [[nodiscard]] bool abandon();

    /// Delay before the last returned store action is to be carried out; 0 except when recording an
    /// end is retried.
    std::chrono::milliseconds backoff() const;

    /// Whether `proceed` was returned and no end has been reported yet.
    bool may_send() const
    {
        return phase_ == phase::sending;
    }

private:
    enum class phase
    {
        idle,
        claiming,   ///< An insert, a take-over or a read after one of these is pending.
        sending,    ///< This call owns the claim.
        recording,  ///< The end is being recorded.
        closed,
    };

    once_step claim_on_write(write_reply reply);
    once_step claim_on_read(const read_reply& reply);
    once_step record_on_write(write_reply reply);
    once_step record_on_read(const read_reply& reply);

    once_step insert();
    once_step read();
    once_step take_over(std::uint64_t rev);
    once_step start_sending(std::uint64_t rev);
    once_step evaluate_row(const stored_row& row);
    once_step evaluate_started(const once_record& record, std::uint64_t rev);
    once_step begin_record();
    once_step retry_record(once_step step);
    once_step close_with(once_step last);
    once_step refuse_store_unavailable();
    bool take_claim_call();

    once_options options_;
    once_call call_;
    holder_lookup holder_;
    phase phase_ = phase::idle;
    bool abandoned_ = false;
    bool proceeded_ = false;
    std::uint32_t store_calls_ = 0;
    /// The rev of the claim, or the one that the pending write will give it.
    std::uint64_t rev_ = 0;
    once_record record_;
};

}  // namespace caraway::attempts
