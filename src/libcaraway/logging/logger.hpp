#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/logging/field.hpp"

#include <initializer_list>
#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace caraway::logging
{

/// Severity of a log line, in ascending order.
enum class level
{
    debug,
    info,
    warning,
    error,
};

/// Returns the name of the level as written to the log, such as "warning".
const char* name(level value);
/// Returns the level with the given name, or nullopt if the name is unknown.
std::optional<level> parse_level(std::string_view text);

enum class format
{
    text,  ///< `time level prefix message key=value ...`, values quoted if needed.
    json,  ///< One JSON object per line.
};

/// Upper bound on the length of a line, including its terminator; longer lines are truncated and
/// marked as such.
inline constexpr std::size_t max_line_bytes = 4096;

/// Log settings of the process. `out` and `clock` must stay valid as long as anything logs; if they
/// are null, lines are written to standard error with the time of the system clock.
struct options
{
    level threshold = level::info;
    format style = format::text;
    std::ostream* out = nullptr;
    const base::clock* clock = nullptr;
};

/// Applies the settings to all loggers of this process; may be called repeatedly. Before the first
/// call the defaults of `options` apply. Messages from Qt are logged with the prefix "qt".
void setup(const options& settings);

/// Writes log lines with the fixed prefix of one component. Cheap to copy and thread-safe. A line
/// consists of a short message and typed fields; a line is written completely or not at all.
class logger
{
public:
    explicit logger(std::string prefix);

    void debug(std::string_view message, std::initializer_list<field> fields = {}) const;
    void info(std::string_view message, std::initializer_list<field> fields = {}) const;
    void warning(std::string_view message, std::initializer_list<field> fields = {}) const;
    void error(std::string_view message, std::initializer_list<field> fields = {}) const;

    void write(level severity, std::string_view message, std::span<const field> fields) const;

    /// Whether lines of this severity are written; check before building expensive fields.
    static bool enabled(level severity);

private:
    std::string prefix_;
};

}  // namespace caraway::logging
