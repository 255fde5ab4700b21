#pragma once

#include "libcaraway/metrics/registry.hpp"

#include <cstdint>
#include <string>

namespace caraway::metrics
{

/// Returns the name of a series in the Prometheus text format, name{label="value",...}, with
/// escaped label values.
std::string series_name(const std::string& metric, const labels& series_labels);

/// Appends the HELP and TYPE lines of a metric.
void append_header(std::string& out, const description& metric, const char* type);

void append_sample(std::string& out, const std::string& series, std::uint64_t value);
void append_sample(std::string& out, const std::string& series, double value);

/// Appends all buckets, the sum and the count of one histogram.
void append_histogram(std::string& out, const std::string& metric, const labels& series_labels,
                      const histogram& values);

}  // namespace caraway::metrics
