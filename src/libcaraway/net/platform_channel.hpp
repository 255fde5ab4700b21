#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/net/platform_breaker.hpp"
#include "libcaraway/net/platform_transport.hpp"

#include <QObject>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace caraway::net
{

class platform_call;

struct platform_channel_options
{
    /// Attempts of a read in all; a write is sent once.
    std::uint32_t read_attempts = 3;
    std::chrono::milliseconds first_pause{50};  ///< Between attempts; doubles, jittered.
    std::chrono::milliseconds longest_pause{1000};
    breaker_options breaker{};
    /// QNetworkAccessManager has six connections to a host and queues further requests unseen, with
    /// their timeouts running. So no more than these are given to it, the rest wait here.
    std::uint32_t max_in_flight = 6;
    std::uint32_t max_waiting = 256;  ///< Beyond these an operation is refused as unavailable.
};

/// The way to one of the platform's services: bounded queue, retries of reads, circuit breaker.
/// One for each service, so that one that hangs holds up no other.
class platform_channel : public QObject
{
public:
    using call_ptr = std::shared_ptr<platform_call>;
    using concluded_handler = std::function<void(platform_call&)>;

    /// `probe` is a read that finds out whether the service is well again; `concluded` gets each
    /// call whose result is final, never within submit().
    platform_channel(platform_channel_options options, const platform_transport::options& target,
                     platform_request probe, std::function<double()> random,
                     concluded_handler concluded);

    void submit(const call_ptr& call);

    /// Whether the circuit breaker lets operations through.
    bool reachable() const
    {
        return !breaker_.open();
    }
    std::size_t in_flight() const
    {
        return in_flight_;
    }
    std::size_t waiting() const
    {
        return waiting_.size();
    }

private:
    void dispatch(const call_ptr& call);
    void dispatch_waiting();
    void on_reply(const call_ptr& call, const platform_reply& reply);
    bool retry(const call_ptr& call);
    void refuse(const call_ptr& call, std::string why);

    void judge(const platform_reply& reply);
    void schedule_probe(base::duration pause);
    void probe();

    platform_channel_options options_;
    platform_request probe_;
    std::function<double()> random_;
    concluded_handler concluded_;
    platform_transport transport_;
    platform_breaker breaker_;
    std::deque<call_ptr> waiting_;
    std::size_t in_flight_ = 0;
    /// A probe is under way or scheduled. One chain of probes at a time, also when a late answer
    /// closes the breaker for a moment in between.
    bool probing_ = false;
};

}  // namespace caraway::net
