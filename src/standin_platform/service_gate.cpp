#include "standin_platform/service_gate.hpp"

#include "libstandin/call_faults.hpp"

#include <QTimer>

namespace standin_platform
{

service_gate::service_gate(const caraway::base::clock& clock, refusal_format format)
    : format_(std::move(format)), write_limit_(clock), read_limit_(clock)
{
    switches_.add("outage", &values_.outage)
        .add("hang", &values_.hang)
        .add("delay_ms", &values_.delay_ms)
        .add("answer_delay_ms", &values_.answer_delay_ms)
        .add("lose_replies", &values_.lose_replies)
        .add("fail_next", &values_.fail_next)
        .add("writes_per_second", &values_.writes_per_second)
        .add("reads_per_second", &values_.reads_per_second);
}

void service_gate::pass(const call_ptr& call, const access& what,
                        std::function<standin::answer()> work)
{
    if (values_.outage)
    {
        refuse(*call, refusal::outage);
        return;
    }
    if (values_.hang)
    {
        ++counters_[QStringLiteral("hung")];
        return;
    }
    if (standin::strikes(values_.fail_next))
    {
        refuse(*call, refusal::failure);
        return;
    }
    if (over_limit(what))
    {
        refuse(*call, refusal::throttled);
        return;
    }
    after(values_.delay_ms,
          [this, call, what, work = std::move(work)] { work_and_answer(call, what, work); });
}

standin::control_fields& service_gate::switches()
{
    return switches_;
}

QJsonObject service_gate::counters() const
{
    QJsonObject all;
    for (auto one = counters_.begin(); one != counters_.end(); ++one)
    {
        all[one.key()] = one.value();
    }
    return all;
}

// The caller may have gone by now: what was accepted is done all the same.
void service_gate::work_and_answer(const call_ptr& call, const access& what,
                                   const std::function<standin::answer()>& work)
{
    ++counters_[QString::fromLatin1(what.operation)];
    counters_[QStringLiteral("reads")] += what.reads;
    counters_[QStringLiteral("writes")] += what.writes;
    const standin::answer result = work();
    if (what.writes > 0 && standin::strikes(values_.lose_replies))
    {
        ++counters_[QStringLiteral("lost_replies")];
        call->close();
        return;
    }
    after(values_.answer_delay_ms, [call, result] { call->respond(result); });
}

bool service_gate::over_limit(const access& what)
{
    return !write_limit_.take(what.writes, values_.writes_per_second) ||
           !read_limit_.take(what.reads, values_.reads_per_second);
}

void service_gate::refuse(standin::exchange& call, refusal why)
{
    ++counters_[why == refusal::throttled ? QStringLiteral("throttled") : QStringLiteral("failed")];
    call.respond(format_(why));
}

void service_gate::after(int milliseconds, std::function<void()> call)
{
    if (milliseconds <= 0)
    {
        call();
        return;
    }
    QTimer::singleShot(std::chrono::milliseconds(milliseconds), &timers_, std::move(call));
}

}  // namespace standin_platform
