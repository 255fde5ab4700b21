#pragma once

#include "carawayd/traffic/event_stream.hpp"
#include "libcaraway/attempts/caller_error.hpp"
#include "libcaraway/attempts/once_coordinator.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/net/http_message.hpp"

#include <QByteArray>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace caraway::net
{
class http_exchange;
}

namespace carawayd::traffic
{

/// Passes one request's answer from its upstream, or upstreams in turn, to its caller. Event
/// streams go on event by event as they come; anything else is held until it is whole, so that a
/// cut answer can be tried elsewhere and never looks complete. An answer too large to hold goes on
/// as it comes.
class answer_relay
{
public:
    answer_relay(std::shared_ptr<caraway::net::http_exchange> exchange,
                 caraway::base::request_id request);

    /// Before each attempt; forgets what the one before left incomplete.
    void begin_attempt();
    void take_head(int status, std::vector<caraway::net::http_header> headers);
    /// Gives back how many tokens came whole.
    std::uint32_t take_data(const QByteArray& bytes);

    /// Whether this attempt's answer is whole, given that its framing ended properly.
    bool whole() const;
    /// Ends the answer towards the caller; only when whole().
    void deliver();
    /// Gives the caller an error instead; only while nothing was passed on.
    void refuse(const caraway::attempts::caller_error& error);
    /// Gives the caller an answer recorded earlier under the same key.
    void replay(const caraway::attempts::replay& recorded);
    /// Breaks the caller's connection off, so that the part it has can't look complete.
    void break_off();

    int status() const;
    /// Bytes of the answer that the caller was sent.
    std::uint64_t bytes_passed_on() const;
    /// Tokens of a stream that were passed on; nothing where the answer is no event stream.
    std::optional<std::uint64_t> tokens_passed_on() const;
    /// The whole answer, as it is recorded for a repeat.
    caraway::attempts::once_answer recorded() const;
    const QByteArray& body() const;

private:
    bool is_event_stream() const;
    void begin_stream();
    std::vector<caraway::net::http_header> caller_headers() const;

    std::shared_ptr<caraway::net::http_exchange> exchange_;
    caraway::base::request_id request_;
    int status_ = 0;
    std::vector<caraway::net::http_header> headers_;
    QByteArray body_;
    event_stream events_;
    bool streaming_ = false;
    /// Outlives the head of the attempt that began it, since another attempt may go on with it.
    bool passing_events_ = false;
    std::uint64_t passed_on_ = 0;
};

}  // namespace carawayd::traffic
