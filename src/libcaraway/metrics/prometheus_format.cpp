#include "libcaraway/metrics/prometheus_format.hpp"

#include <array>
#include <charconv>
#include <cmath>
#include <string_view>

namespace caraway::metrics
{

namespace
{

/// Escapes a label value or a help text; quotes are escaped in label values only.
std::string escaped(std::string_view text, bool with_quotes)
{
    std::string out;
    for (const char c : text)
    {
        if (c == '\n')
        {
            out += "\\n";
            continue;
        }
        if (c == '\\' || (with_quotes && c == '"'))
        {
            out += '\\';
        }
        out += c;
    }
    return out;
}

std::string number(double value)
{
    if (std::isnan(value))
    {
        return "NaN";
    }
    if (std::isinf(value))
    {
        return value > 0 ? "+Inf" : "-Inf";
    }
    std::array<char, 32> buffer{};
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return error == std::errc{} ? std::string(buffer.data(), end) : std::string("NaN");
}

/// Formats a bucket bound with six digits: bounds are computed with logarithms, and full precision
/// would show 0.1 as 0.0999999999.
std::string bound(double value)
{
    if (std::isinf(value))
    {
        return number(value);
    }
    std::array<char, 32> buffer{};
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value,
                                            std::chars_format::general, 6);
    return error == std::errc{} ? std::string(buffer.data(), end) : std::string("NaN");
}

}  // namespace

std::string series_name(const std::string& metric, const labels& series_labels)
{
    if (series_labels.empty())
    {
        return metric;
    }
    std::string out = metric + '{';
    const char* separator = "";
    for (const label& item : series_labels)
    {
        out += separator + item.name + "=\"" + escaped(item.value, true) + '"';
        separator = ",";
    }
    return out + '}';
}

void append_header(std::string& out, const description& metric, const char* type)
{
    out += "# HELP " + metric.name + ' ' + escaped(metric.help, false) + '\n';
    out += "# TYPE " + metric.name + ' ' + type + '\n';
}

void append_sample(std::string& out, const std::string& series, std::uint64_t value)
{
    out += series + ' ' + std::to_string(value) + '\n';
}

void append_sample(std::string& out, const std::string& series, double value)
{
    out += series + ' ' + number(value) + '\n';
}

void append_histogram(std::string& out, const std::string& metric, const labels& series_labels,
                      const histogram& values)
{
    const auto buckets = values.buckets();
    for (const auto& item : buckets)
    {
        labels with_bound = series_labels;
        with_bound.push_back({.name = "le", .value = bound(item.upper)});
        append_sample(out, series_name(metric + "_bucket", with_bound), item.cumulative);
    }
    append_sample(out, series_name(metric + "_sum", series_labels), values.sum());
    append_sample(out, series_name(metric + "_count", series_labels), buckets.back().cumulative);
}

}  // namespace caraway::metrics
