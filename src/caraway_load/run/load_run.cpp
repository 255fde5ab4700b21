#include "caraway_load/run/load_run.hpp"

#include "caraway_load/calls/caller_thread.hpp"
#include "caraway_load/run/fault_timeline.hpp"
#include "caraway_load/run/fleet_layout.hpp"

#include "libfleet/fleet.hpp"

#include <QCoreApplication>
#include <QThread>

#include <algorithm>
#include <memory>

namespace caraway_load::run
{

using caraway::base::result;
using clock = caraway::base::time_point::clock;

namespace
{

/// From the threads' start to the first arrival.
constexpr std::chrono::milliseconds lead_time{300};
constexpr unsigned long step_ms = 5;
/// A fleet that has just started still exchanges its members.
constexpr unsigned long settle_ms = 2000;

/// One run against a fleet of its own.
class own_fleet_run
{
public:
    explicit own_fleet_run(const load_run_options& options)
        : options_(options), fleet_(layout_of(options.load, options.policy, options.programs)),
          watch_(fleet_), faults_(fleet_, options.load.faults)
    {
        faults_.set_before_engine_ends([this](std::size_t index) { watch_.collect_engine(index); });
        for (const auto& workspace : options.load.workspaces)
        {
            keys_.push_back(fleet_.workspace_key(workspace.id));
        }
    }

    result<run_log> run()
    {
        BOOST_OUTCOME_TRY(fleet_.start());
        measure_idle();
        start_callers();
        measure();
        drain();
        collect();
        return std::move(log_);
    }

private:
    void measure_idle()
    {
        QThread::msleep(settle_ms);
        log_.routers.idle_from = watch_.sample_routers(0, {});
        QThread::msleep(static_cast<unsigned long>(options_.load.idle_s * 1000));
        log_.routers.idle_to = watch_.sample_routers(options_.load.idle_s, {});
    }

    void start_callers()
    {
        std::vector<calls::target> routers;
        for (std::size_t i = 0; i < options_.load.routers; ++i)
        {
            const auto where = fleet_.router_callers(i);
            routers.push_back({where.host, where.port});
        }
        start_ = clock::now() + lead_time;
        threads_ = start_threads(options_, keys_, routers, start_);
        cpu_before_ = own_cpu_s();
        log_.load_average_from = load_average();
    }

    void measure()
    {
        const double end_s = options_.load.duration_s;
        while (now_s() < end_s)
        {
            if (log_.routers.from.empty() && now_s() >= options_.load.warm_up_s)
            {
                log_.routers.from = watch_.sample_routers(now_s(), faults_.routers_down());
            }
            step();
        }
        log_.routers.to = watch_.sample_routers(now_s(), faults_.routers_down());
        log_.load_average_to = load_average();
        log_.generator_cpu_s = own_cpu_s() - cpu_before_;
    }

    void drain()
    {
        const double until_s = options_.load.duration_s + options_.load.drain_s;
        const auto unfinished = [this]
        {
            return std::any_of(threads_.begin(), threads_.end(),
                               [](const auto& one) { return one->unfinished() > 0; });
        };
        while (now_s() < until_s && unfinished())
        {
            step();
        }
        log_.end_s = now_s();
    }

    void step()
    {
        faults_.advance(now_s());
        if (now_s() >= next_poll_s_)
        {
            watch_.sample_engines(now_s(), faults_.engines_down());
            next_poll_s_ = now_s() + options_.poll_s;
        }
        QCoreApplication::processEvents();
        QThread::msleep(step_ms);
    }

    void collect()
    {
        for (auto& thread : threads_)
        {
            for (auto& call : thread->finish())
            {
                log_.calls.push_back(std::move(call));
            }
        }
        // What was cut off right now must have reached the upstreams' logs.
        QThread::msleep(settle_ms);
        watch_.collect_all(faults_.engines_down());
        log_.engines = watch_.engine_samples();
        log_.upstreams = watch_.logs();
        log_.problems = faults_.problems();
    }

    double now_s() const
    {
        return std::chrono::duration<double>(clock::now() - start_).count();
    }

public:
    using threads = std::vector<std::unique_ptr<calls::caller_thread>>;

    static threads start_threads(const load_run_options& options,
                                 const std::vector<std::string>& keys,
                                 const std::vector<calls::target>& routers,
                                 caraway::base::time_point start)
    {
        const auto arrivals = workload::make_arrivals(options.load);
        std::vector<std::vector<workload::arrival>> parts(
            static_cast<std::size_t>(options.threads));
        for (const auto& one : arrivals)
        {
            parts[one.number % parts.size()].push_back(one);
        }
        threads all;
        for (auto& part : parts)
        {
            all.push_back(std::make_unique<calls::caller_thread>(
                calls::caller_thread_options{
                    .load = options.load, .keys = keys, .routers = routers, .start = start},
                std::move(part)));
            all.back()->start();
        }
        return all;
    }

private:
    const load_run_options& options_;
    fleet::fleet fleet_;
    fleet_watch watch_;
    fault_timeline faults_;
    std::vector<std::string> keys_;
    threads threads_;
    caraway::base::time_point start_;
    double cpu_before_ = 0;
    double next_poll_s_ = 0;
    run_log log_;
};

/// The load on a fleet that somebody else has started; its processes aren't asked for figures.
run_log run_attached(const load_run_options& options)
{
    std::vector<std::string> keys;
    for (const auto& workspace : options.load.workspaces)
    {
        keys.push_back("key-of-workspace-" + workspace.id);
    }
    run_log log;
    log.load_average_from = load_average();
    const auto start = clock::now() + lead_time;
    const double cpu_before = own_cpu_s();
    auto threads = own_fleet_run::start_threads(options, keys, options.attach, start);
    const auto end =
        start + std::chrono::duration_cast<caraway::base::duration>(
                    std::chrono::duration<double>(options.load.duration_s + options.load.drain_s));
    const auto unfinished = [&threads]
    {
        return std::any_of(threads.begin(), threads.end(),
                           [](const auto& one) { return one->unfinished() > 0; });
    };
    while (clock::now() < end && unfinished())
    {
        QThread::msleep(step_ms);
    }
    log.end_s = std::chrono::duration<double>(clock::now() - start).count();
    log.load_average_to = load_average();
    log.generator_cpu_s = own_cpu_s() - cpu_before;
    log.upstreams.complete = false;
    for (auto& thread : threads)
    {
        for (auto& call : thread->finish())
        {
            log.calls.push_back(std::move(call));
        }
    }
    return log;
}

}  // namespace

result<run_log> run_load(const load_run_options& options)
{
    if (!options.attach.empty())
    {
        return run_attached(options);
    }
    return own_fleet_run(options).run();
}

}  // namespace caraway_load::run
