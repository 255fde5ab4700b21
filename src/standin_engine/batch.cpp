#include "standin_engine/batch.hpp"

#include <QLatin1String>

#include <unistd.h>

#include <algorithm>
#include <cmath>

namespace standin_engine
{

namespace
{

constexpr int crash_code = 3;
constexpr double tokens_per_prefill_unit = 1000;
/// A cached prefix halves the prefill.
constexpr double cached_share = 0.5;

}  // namespace

batch::batch(const engine_options& options, const caraway::base::clock& clock,
             engine_faults& faults)
    : options_(options), clock_(clock), faults_(faults),
      meter_(clock, std::chrono::milliseconds(options.report_lag_ms)),
      cache_(static_cast<std::size_t>(options.prefix_cache_size)), last_step_(clock.now())
{
    timer_.setTimerType(Qt::PreciseTimer);
    timer_.setInterval(std::max(1, static_cast<int>(std::floor(options.token_ms))));
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { step(); });
}

void batch::submit(std::shared_ptr<generation> work)
{
    log_.add(work->request().request_id, {.received = 1});
    work->call().set_on_abandoned([this, address = work.get()] { cancel(address); });
    waiting_.push_back(std::move(work));
    settle();
}

load_meter& batch::meter()
{
    return meter_;
}

request_log& batch::log()
{
    return log_;
}

const prefix_cache& batch::cache() const
{
    return cache_;
}

void batch::step()
{
    const auto now = clock_.now();
    const generation::work_time passed = now - std::exchange(last_step_, now);
    if (faults_.stall)
    {
        return;
    }
    work_time_ += passed;
    const generation::work_time token_time(options_.token_ms);
    for (const auto& work : running_)
    {
        const int tokens = work->advance(work_time_, token_time);
        log_.add(work->request().request_id, {.finished = work->whole() ? 1 : 0, .tokens = tokens});
    }
    std::erase_if(running_, [](const auto& work) { return work->over(); });
    settle();
}

/// Work that waits gets the free slots; the timer runs while anything does.
void batch::settle()
{
    fill_slots();
    update_load();
    if (running_.empty())
    {
        timer_.stop();
    }
    else if (!timer_.isActive())
    {
        last_step_ = clock_.now();
        timer_.start();
    }
}

void batch::fill_slots()
{
    while (!waiting_.empty() && running_.size() < static_cast<std::size_t>(options_.slots))
    {
        running_.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
        start(*running_.back());
    }
}

void batch::start(generation& work)
{
    const auto& request = work.request();
    if (!faults_.crash_on.isEmpty() && request.prompt.contains(faults_.crash_on.toUtf8()))
    {
        ::_exit(crash_code);
    }
    log_.add(request.request_id, {.started = 1});
    // What has passed since the last step isn't work of this one.
    const generation::work_time unstepped = running_.size() > 1 && !faults_.stall
                                                ? clock_.now() - last_step_
                                                : caraway::base::duration::zero();
    work.start(work_time_ + unstepped + prefill_time(request), next_cut());
}

void batch::cancel(const generation* work)
{
    const auto same = [work](const auto& one)
    {
        return one.get() == work;
    };
    log_.add(work->request().request_id, {.cancelled = 1});
    std::erase_if(running_, same);
    std::erase_if(waiting_, same);
    settle();
}

generation::work_time batch::prefill_time(const generation_request& request)
{
    const double share = cache_.touch(request.prompt) ? cached_share : 1.0;
    const int tokens = request.prompt_tokens() + request.resume_from;
    return generation::work_time(share * options_.prefill_ms_per_1k_tokens * tokens /
                                 tokens_per_prefill_unit);
}

std::optional<cut> batch::next_cut()
{
    const bool wanted = faults_.cut_after_tokens >= 0 || faults_.cut_clean;
    if (!wanted || !standin::strikes(faults_.cut_count))
    {
        return std::nullopt;
    }
    return cut{.after_tokens = faults_.cut_after_tokens, .clean = faults_.cut_clean};
}

void batch::update_load()
{
    meter_.set({.running = static_cast<int>(running_.size()),
                .waiting = static_cast<int>(waiting_.size())});
}

}  // namespace standin_engine
