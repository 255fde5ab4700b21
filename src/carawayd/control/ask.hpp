#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/error.hpp"

#include <QMetaObject>
#include <QObject>

#include <chrono>
#include <functional>
#include <future>
#include <memory>

namespace carawayd::control
{

/// Runs a question on the thread of `where` and waits for its answer, which may come later from
/// there. Never call it on that thread. Errors: unknown_effect when the answer doesn't come before
/// the deadline; it is then dropped when it comes.
template <class T>
caraway::base::result<T>
ask(QObject* where, const caraway::base::clock& clock, caraway::base::time_point deadline,
    std::function<void(std::function<void(caraway::base::result<T>)>)> question)
{
    auto promise = std::make_shared<std::promise<caraway::base::result<T>>>();
    auto answer = promise->get_future();
    QMetaObject::invokeMethod(
        where,
        [question = std::move(question), promise] {
            question([promise](caraway::base::result<T> value)
                     { promise->set_value(std::move(value)); });
        },
        Qt::QueuedConnection);
    if (answer.wait_for(deadline - clock.now()) != std::future_status::ready)
    {
        return caraway::base::make_error(caraway::base::errc::unknown_effect,
                                         "The router did not answer in time.");
    }
    return answer.get();
}

}  // namespace carawayd::control
