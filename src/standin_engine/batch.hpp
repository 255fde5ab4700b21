#pragma once

#include "libcaraway/base/clock.hpp"

#include "standin_engine/engine_faults.hpp"
#include "standin_engine/generation.hpp"
#include "standin_engine/load_meter.hpp"
#include "standin_engine/options.hpp"
#include "standin_engine/prefix_cache.hpp"
#include "standin_engine/request_log.hpp"

#include <QTimer>

#include <deque>
#include <memory>
#include <vector>

namespace standin_engine
{

/// The slots of an engine and what waits for them, in the order of arrival. One timer moves all
/// that runs a step on; how far is read off the clock, so that late timers cost no tokens.
class batch
{
public:
    batch(const engine_options& options, const caraway::base::clock& clock, engine_faults& faults);

    void submit(std::shared_ptr<generation> work);

    load_meter& meter();
    request_log& log();
    const prefix_cache& cache() const;

private:
    void step();
    void fill_slots();
    void start(generation& work);
    void cancel(const generation* work);
    void settle();
    generation::work_time prefill_time(const generation_request& request);
    std::optional<cut> next_cut();
    void update_load();

    engine_options options_;
    const caraway::base::clock& clock_;
    engine_faults& faults_;
    load_meter meter_;
    request_log log_;
    prefix_cache cache_;
    QTimer timer_;
    generation::work_time work_time_{};  ///< Time that the engine has worked, stalls left out.
    caraway::base::time_point last_step_;
    std::vector<std::shared_ptr<generation>> running_;
    std::deque<std::shared_ptr<generation>> waiting_;
};

}  // namespace standin_engine
