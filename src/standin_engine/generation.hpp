#pragma once

#include "libstandin/exchange.hpp"

#include "standin_engine/answer_text.hpp"
#include "standin_engine/generation_request.hpp"

#include <chrono>
#include <memory>
#include <optional>

namespace standin_engine
{

/// How an answer is to be broken off.
struct cut
{
    int after_tokens = -1;  ///< -1: after the last token, in place of the end.
    bool clean = false;
};

/// One request in the engine: waiting for a slot or running in one.
class generation
{
public:
    /// Milliseconds of the engine's work; stands still while the engine stalls.
    using work_time = std::chrono::duration<double, std::milli>;

    generation(std::shared_ptr<standin::exchange> call, generation_request request, QByteArray id);

    /// Takes a slot: the answer begins, its first token is due at `first_token`.
    void start(work_time first_token, std::optional<cut> break_off);
    /// Writes the tokens due by now and returns how many those were.
    int advance(work_time now, work_time token_time);
    /// All is written, or broken off.
    bool over() const;
    /// Over, and nothing was left out.
    bool whole() const;

    const generation_request& request() const;
    standin::exchange& call() const;

private:
    int due(work_time now, work_time token_time) const;
    void complete();
    void break_off_now();

    std::shared_ptr<standin::exchange> call_;
    generation_request request_;
    answer_text text_;
    work_time first_token_{};
    std::optional<cut> cut_;
    int next_token_ = 0;
    bool over_ = false;
};

}  // namespace standin_engine
