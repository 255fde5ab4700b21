#pragma once

#include "caraway_load/calls/connection_pool.hpp"

#include "libcaraway/base/clock.hpp"

#include <QByteArray>
#include <QThread>

#include <cstdint>
#include <memory>
#include <vector>

namespace caraway_load::calls
{

/// The same request over and over, by some callers side by side, to one place.
struct closed_loop_options
{
    target where;
    QByteArray request;
    std::uint32_t callers = 1;
    std::chrono::milliseconds length{2000};
};

struct closed_loop_result
{
    /// Of answers with status 200, from sending to the end.
    std::vector<double> answer_s;
    /// From sending to the first part of the answer.
    std::vector<double> first_byte_s;
    std::uint32_t failed = 0;
    double seconds = 0;
};

/// Runs it on a thread of its own and waits for its end.
closed_loop_result run_closed_loop(const closed_loop_options& options);

}  // namespace caraway_load::calls
