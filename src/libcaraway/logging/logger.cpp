#include "libcaraway/logging/logger.hpp"

#include "libcaraway/logging/easylogging_library.hpp"
#include "libcaraway/logging/line_format.hpp"

#include <QtGlobal>

#include <atomic>
#include <iostream>
#include <mutex>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace caraway::logging
{

namespace
{

constexpr const char* sink_name = "caraway";

/// Destination and format of log lines, shared by all loggers of the process.
struct output
{
    std::mutex mutex;
    std::atomic<level> threshold = options{}.threshold;
    format style = options{}.style;
    std::ostream* out = &std::cerr;
    const base::clock* clock = nullptr;
};

output& shared_output()
{
    // Never destroyed, since destructors of other static objects may log at process exit.
    static output* const instance = new output;
    return *instance;
}

/// Writes the rendered lines to the stream. The library's default sink would add its own layout to
/// the lines.
class stream_sink : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData* data) override
    {
        output& shared = shared_output();
        const std::scoped_lock lock(shared.mutex);
        // A single write, so that processes sharing the stream don't interleave parts of their
        // lines.
        *shared.out << data->logMessage()->message() + '\n' << std::flush;
    }
};

void install_sink()
{
    static std::once_flag installed;
    std::call_once(
        installed,
        []
        {
            el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
                "DefaultLogDispatchCallback");
            el::Helpers::installLogDispatchCallback<stream_sink>(sink_name);
        });
}

el::Level library_level(level severity)
{
    switch (severity)
    {
    case level::debug:
        return el::Level::Debug;
    case level::info:
        return el::Level::Info;
    case level::warning:
        return el::Level::Warning;
    case level::error:
        return el::Level::Error;
    }
    return el::Level::Error;
}

level level_of(QtMsgType type)
{
    switch (type)
    {
    case QtDebugMsg:
        return level::debug;
    case QtInfoMsg:
        return level::info;
    case QtWarningMsg:
        return level::warning;
    case QtCriticalMsg:
    case QtFatalMsg:
        return level::error;
    }
    return level::error;
}

void write_qt_message(QtMsgType type, const QMessageLogContext& context, const QString& text)
{
    static const logger log("qt");
    const field category("category", context.category == nullptr ? "" : context.category);
    log.write(level_of(type), text.toStdString(), std::span(&category, 1));
}

std::string render(level severity, std::string_view prefix, std::string_view message,
                   std::span<const field> fields)
{
    output& shared = shared_output();
    const std::scoped_lock lock(shared.mutex);
    const line content{.time = shared.clock == nullptr ? std::chrono::system_clock::now()
                                                       : shared.clock->wall_time(),
                       .severity = severity,
                       .prefix = prefix,
                       .message = message,
                       .fields = fields};
    return shared.style == format::json ? json_line(content) : text_line(content);
}

}  // namespace

const char* name(level value)
{
    switch (value)
    {
    case level::debug:
        return "debug";
    case level::info:
        return "info";
    case level::warning:
        return "warning";
    case level::error:
        return "error";
    }
    return "error";
}

std::optional<level> parse_level(std::string_view text)
{
    for (const level candidate : {level::debug, level::info, level::warning, level::error})
    {
        if (text == name(candidate))
        {
            return candidate;
        }
    }
    return std::nullopt;
}

void setup(const options& settings)
{
    install_sink();
    output& shared = shared_output();
    {
        const std::scoped_lock lock(shared.mutex);
        shared.threshold = settings.threshold;
        shared.style = settings.style;
        shared.out = settings.out == nullptr ? &std::cerr : settings.out;
        shared.clock = settings.clock;
    }
    qInstallMessageHandler(write_qt_message);
}

logger::logger(std::string prefix) : prefix_(std::move(prefix)) {}

void logger::debug(std::string_view message, std::initializer_list<field> fields) const
{
    write(level::debug, message, fields);
}

void logger::info(std::string_view message, std::initializer_list<field> fields) const
{
    write(level::info, message, fields);
}

void logger::warning(std::string_view message, std::initializer_list<field> fields) const
{
    write(level::warning, message, fields);
}

void logger::error(std::string_view message, std::initializer_list<field> fields) const
{
    write(level::error, message, fields);
}

void logger::write(level severity, std::string_view message, std::span<const field> fields) const
{
    if (!enabled(severity))
    {
        return;
    }
    install_sink();
    // Registers the prefix as a logger of the library on first use.
    el::Loggers::getLogger(prefix_);
    el::base::Writer(library_level(severity), "", 0, "").construct(1, prefix_.c_str())
        << render(severity, prefix_, message, fields);
}

bool logger::enabled(level severity)
{
    return severity >= shared_output().threshold.load(std::memory_order_relaxed);
}

}  // namespace caraway::logging
