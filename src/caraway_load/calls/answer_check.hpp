#pragma once

#include "caraway_load/workload/arrivals.hpp"

#include <QByteArray>

#include <cstdint>

namespace caraway_load::calls
{

/// What is wrong with an answer that claims to be whole.
enum class answer_fault
{
    none,
    mixed_up,  ///< It answers another request, or in another order.
    cut,       ///< Tokens are missing, yet it ended as whole answers do.
    doubled,   ///< A token came twice, or more came than were asked for.
};

const char* name(answer_fault fault);

/// Holds one answer against the text that the stand-ins must give: token `i` of the answer to a
/// prompt is "t<i>-<first eight digits of the prompt's SHA-256> ", see
/// src/standin_engine/answer_text.hpp; a plain service gives the SHA-256 of the body it got.
class answer_check
{
public:
    /// `body` is what was sent; for a model, `prompt` is what the engine makes of the messages.
    static answer_check of_model(const QByteArray& prompt, std::uint32_t tokens, bool streamed);
    static answer_check of_plain(const QByteArray& body);

    /// Takes a part of the answer in; the number of tokens that came with it.
    std::uint32_t take(const QByteArray& part);
    /// The answer has ended as whole answers do.
    answer_fault end();
    std::uint32_t tokens() const;

private:
    answer_check() = default;
    void take_event(const QByteArray& event);
    answer_fault check_body() const;
    QByteArray token(std::uint32_t index) const;

    bool streamed_ = false;
    bool plain_ = false;
    std::uint32_t expected_ = 0;
    QByteArray digest_;
    QByteArray rest_;
    std::uint32_t tokens_ = 0;
    bool end_mark_ = false;
    answer_fault fault_ = answer_fault::none;
};

}  // namespace caraway_load::calls
