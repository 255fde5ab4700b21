#pragma once

#include "standin_engine/generation_request.hpp"

#include <QByteArray>

namespace standin_engine
{

/// Length of the answer to a prompt that asks for none: 20 to 200 tokens, the same each time.
int default_length(const QByteArray& prompt);

/// The answer to one request. Each token names its place and its prompt, so that a test sees
/// whether an answer is whole, in order and the asker's own. Any engine gives the same.
class answer_text
{
public:
    explicit answer_text(const generation_request& request, QByteArray id);

    QByteArray token(int index) const;
    /// Tokens from `first` on, before `end`.
    QByteArray tokens(int first, int end) const;

    /// Server-sent events of a streamed answer.
    QByteArray first_event() const;
    QByteArray token_event(int index) const;
    QByteArray last_event(const generation_request& request) const;
    QByteArray usage_event(const generation_request& request) const;
    static QByteArray done_event();

    /// Body of an answer that isn't streamed.
    QByteArray whole_body(const generation_request& request) const;

private:
    QByteArray event(const QByteArray& choice) const;

    endpoint kind_;
    QByteArray suffix_;    ///< What follows the place in each token.
    QByteArray preamble_;  ///< Start of each event, up to the choices.
    QByteArray id_;
    QByteArray model_;
};

}  // namespace standin_engine
