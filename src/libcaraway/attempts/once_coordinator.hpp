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

/// Write the row if it is absent, with rev 1.
struct insert_row
{
    row_key key;
    std::string body;
    friend bool operator==(const insert_row&, const insert_row&) = default;
};

/// Write the row if its rev is still this one; its rev becomes one more.
struct replace_row
{
    row_key key;
    std::uint64_t expected_rev = 0;
    std::string body;
    friend bool operator==(const replace_row&, const replace_row&) = default;
};

/// Read the row, consistently.
struct read_row
{
    row_key key;
    friend bool operator==(const read_row&, const read_row&) = default;
};

/// Our claim is known to be in the table: send the request.
struct proceed
{
    friend bool operator==(const proceed&, const proceed&) = default;
};

/// Give the caller the recorded answer.
struct replay
{
    std::uint16_t status = 0;
    std::string content_type{};
    std::string body{};
    friend bool operator==(const replay&, const replay&) = default;
};

/// Give the caller this error; nothing is sent.
struct refuse
{
    caller_error error;
    friend bool operator==(const refuse&, const refuse&) = default;
};

/// Nothing is left to do for this call.
struct settled
{
    friend bool operator==(const settled&, const settled&) = default;
};

/// What to do next. After a store action, its reply comes in; the rest end their phase.
using once_step = std::variant<insert_row, replace_row, read_row, proceed, replay, refuse, settled>;

/// How a conditional write ended.
enum class write_reply
{
    ok,
    conflict,        ///< The condition failed.
    unavailable,     ///< Provably had no effect.
    unknown_effect,  ///< No reply; it may have taken effect, or may yet.
};

/// A row as it was read.
struct stored_row
{
    std::uint64_t rev = 0;
    std::string body{};
};

/// How a read ended.
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

/// What is known of the holder of a record.
enum class holder_state
{
    running,   ///< That life is alive, as far as we know.
    gone,      ///< That life has ended, or nothing is known of it.
    not_sent,  ///< It is this life, and it has given the call up without sending it.
};

struct once_options
{
    /// Calls of the store for a claim before the caller is told to come back.
    std::uint32_t max_claim_calls = 6;
    /// Calls of the store to record an end; afterwards the record stays as it is.
    std::uint32_t max_record_calls = 20;
    /// Before the second try to record an end; doubles up to the longest.
    std::chrono::milliseconds initial_backoff{100};
    std::chrono::milliseconds max_backoff{30000};
    /// Answers up to this size are kept and given again.
    std::size_t max_stored_body = 4096;
    /// A started record older than this counts as unknown though its holder lives.
    std::chrono::milliseconds in_progress_limit{180000};
    std::chrono::milliseconds retry_after{2000};
};

/// One keyed call.
struct once_call
{
    attempt_id claimant{};  ///< With count 0: the request, whatever its attempts.
    row_key key{};
    config::sha256_hex fingerprint{};
    std::int64_t now_ms = 0;  ///< Wall clock, see once_record::started_at_ms.
};

/// An upstream's whole answer, to be recorded.
struct once_answer
{
    std::uint16_t status = 0;
    std::string content_type{};
    std::string body{};
};

/// At most once for one call with a caller's Idempotency-Key. Drives the store by actions and
/// replies; `proceed` comes only after our own claim is known to be in the table.
///
/// Why this holds: the row is only ever inserted once and never deleted, its rev rises with each
/// write, and every write is conditional, so exactly one claimant can own a rev. A claim passes to
/// another only out of `released`, which the holder writes after it has given up sending.
class once_coordinator
{
public:
    using holder_lookup = std::function<holder_state(const attempt_id&)>;

    once_coordinator(once_options options, once_call call, holder_lookup holder);

    once_step start();
    once_step on_write(write_reply reply);
    once_step on_read(const read_reply& reply);

    /// After `proceed`: the upstream's whole answer.
    once_step finish(const once_answer& answer);
    /// After `proceed`: not_run lets go of the claim, unknown is recorded as such.
    once_step finish_without_answer(outcome result);
    /// The caller's deadline passed, or it went away. True before `proceed`, which then never
    /// comes: the caller can be told not_run at once, and a store action that is out still gets
    /// its reply. False once `proceed` was given: then only the attempts' own end counts.
    [[nodiscard]] bool abandon();

    /// How long to wait before carrying out the store action last given; 0 but for retries of a
    /// record.
    std::chrono::milliseconds backoff() const;

    /// Whether `proceed` was given and no end reported.
    bool may_send() const
    {
        return phase_ == phase::sending;
    }

private:
    enum class phase
    {
        idle,
        claiming,   ///< An insert or take-over is out, or a read after one.
        sending,    ///< The claim is ours.
        recording,  ///< The end is being written.
        closed,
    };

    once_step claim_on_write(write_reply reply);
    once_step claim_on_read(const read_reply& reply);
    once_step record_on_write(write_reply reply);
    once_step record_on_read(const read_reply& reply);

    once_step insert();
    once_step read();
    once_step take_over(std::uint64_t rev);
    once_step own_claim(std::uint64_t rev);
    once_step judge(const stored_row& row);
    once_step judge_started(const once_record& record, std::uint64_t rev);
    once_step begin_record();
    once_step record_again(once_step step);
    once_step end_with(once_step last);
    once_step store_out();
    bool claim_call_left();

    once_options options_;
    once_call call_;
    holder_lookup holder_;
    phase phase_ = phase::idle;
    bool abandoned_ = false;
    bool proceeded_ = false;
    std::uint32_t store_calls_ = 0;
    /// The rev that the claim has, or gets from the write that is out.
    std::uint64_t rev_ = 0;
    once_record record_;
};

}  // namespace caraway::attempts
