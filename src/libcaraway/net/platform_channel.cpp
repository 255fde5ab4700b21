#include "libcaraway/net/platform_channel.hpp"

#include "libcaraway/net/platform_call.hpp"

#include <QMetaObject>
#include <QTimer>

#include <utility>

namespace caraway::net
{

namespace
{

using base::errc;
using base::make_error;

std::chrono::milliseconds to_ms(base::duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

/// Whatever answers, if only to refuse, shows a service that is well; 5xx does not.
bool shows_life(const platform_reply& reply)
{
    constexpr int server_error = 500;
    return reply.what == platform_reply::kind::too_large ||
           (reply.what == platform_reply::kind::answered && reply.status < server_error);
}

}  // namespace

platform_channel::platform_channel(platform_channel_options options,
                                   const platform_transport::options& target,
                                   platform_request probe, std::function<double()> random,
                                   concluded_handler concluded)
    : options_(options), probe_(std::move(probe)), random_(std::move(random)),
      concluded_(std::move(concluded)), transport_(target), breaker_(options.breaker)
{
}

void platform_channel::submit(const call_ptr& call)
{
    if (breaker_.open())
    {
        refuse(call, "the platform does not answer; waiting for a probe to succeed");
        return;
    }
    if (in_flight_ < options_.max_in_flight)
    {
        dispatch(call);
        return;
    }
    if (waiting_.size() >= options_.max_waiting)
    {
        refuse(call, "too many operations wait for the platform");
        return;
    }
    waiting_.push_back(call);
}

void platform_channel::dispatch(const call_ptr& call)
{
    ++in_flight_;
    ++call->attempts;
    transport_.send(call->request,
                    [this, call](const platform_reply& reply) { on_reply(call, reply); });
}

void platform_channel::dispatch_waiting()
{
    while (!waiting_.empty() && in_flight_ < options_.max_in_flight)
    {
        const call_ptr next = waiting_.front();
        waiting_.pop_front();
        dispatch(next);
    }
}

void platform_channel::on_reply(const call_ptr& call, const platform_reply& reply)
{
    --in_flight_;
    judge(reply);
    dispatch_waiting();
    call->take(reply);
    if (!retry(call))
    {
        concluded_(*call);
    }
}

bool platform_channel::retry(const call_ptr& call)
{
    const auto error = call->error();
    const bool may_pass = error == errc::unavailable || error == errc::timeout;
    if (!may_pass || call->request.write || call->attempts >= options_.read_attempts ||
        breaker_.open())
    {
        return false;
    }
    const base::duration pause =
        jittered_pause(call->attempts - 1, options_.first_pause, options_.longest_pause, random_());
    QTimer::singleShot(to_ms(pause), this, [this, call] { submit(call); });
    return true;
}

void platform_channel::refuse(const call_ptr& call, std::string why)
{
    call->fail(make_error(errc::unavailable, std::move(why)));
    QMetaObject::invokeMethod(
        this, [this, call] { concluded_(*call); }, Qt::QueuedConnection);
}

void platform_channel::judge(const platform_reply& reply)
{
    if (shows_life(reply))
    {
        breaker_.succeeded();
        return;
    }
    if (const auto pause = breaker_.failed(random_()))
    {
        for (const call_ptr& call : std::exchange(waiting_, {}))
        {
            refuse(call, "the platform does not answer");
        }
        if (!probing_)
        {
            schedule_probe(*pause);
        }
    }
}

void platform_channel::schedule_probe(base::duration pause)
{
    probing_ = true;
    QTimer::singleShot(to_ms(pause), this, [this] { probe(); });
}

// A read of our own, so that no caller's write is spent on finding out.
void platform_channel::probe()
{
    probing_ = breaker_.open();
    if (!probing_)
    {
        return;
    }
    transport_.send(probe_,
                    [this](const platform_reply& reply)
                    {
                        probing_ = false;
                        if (shows_life(reply))
                        {
                            breaker_.succeeded();
                        }
                        else if (const auto pause = breaker_.probe_failed(random_()))
                        {
                            schedule_probe(*pause);
                        }
                    });
}

}  // namespace caraway::net
