#pragma once

#include "libcaraway/base/clock.hpp"
#include "libstandin/control_fields.hpp"
#include "libstandin/exchange.hpp"

#include "standin_platform/rate_limit.hpp"

#include <QJsonObject>
#include <QMap>
#include <QObject>

#include <functional>
#include <memory>

namespace standin_platform
{

/// Why a service answers without doing what was asked.
enum class refusal
{
    outage,
    failure,
    throttled,
};

/// What a call asks of a service.
struct access
{
    const char* operation = "";
    int reads = 0;
    int writes = 0;
};

/// Stands before one of the platform's services: makes it fail as its switches say, and counts.
class service_gate
{
public:
    using call_ptr = std::shared_ptr<standin::exchange>;
    using refusal_format = std::function<standin::answer(refusal)>;

    service_gate(const caraway::base::clock& clock, refusal_format format);

    /// Does `work` and answers what it returns, unless a switch says otherwise.
    void pass(const call_ptr& call, const access& what, std::function<standin::answer()> work);

    standin::control_fields& switches();
    /// Operations done by name, items read and written, and calls refused.
    QJsonObject counters() const;

private:
    void work_and_answer(const call_ptr& call, const access& what,
                         const std::function<standin::answer()>& work);
    bool over_limit(const access& what);
    void refuse(standin::exchange& call, refusal why);
    void after(int milliseconds, std::function<void()> call);

    struct switch_values
    {
        bool outage = false;           ///< 503 at once, nothing done.
        bool hang = false;             ///< Accepted, nothing done, never answered.
        int delay_ms = 0;              ///< Done and answered that much later.
        int answer_delay_ms = 0;       ///< Done at once, answered that much later.
        int lose_replies = 0;          ///< Next N writes are done, the connection closed.
        int fail_next = 0;             ///< Next N calls get 500, nothing done.
        double writes_per_second = 0;  ///< Above it writes are throttled; 0: no limit.
        double reads_per_second = 0;
    };
    switch_values values_;
    standin::control_fields switches_;
    refusal_format format_;
    rate_limit write_limit_;
    rate_limit read_limit_;
    QMap<QString, int> counters_;
    QObject timers_;  ///< Ends what is delayed with the service.
};

}  // namespace standin_platform
