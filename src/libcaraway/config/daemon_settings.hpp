#pragma once

#include "libcaraway/base/ids.hpp"
#include "libcaraway/config/bootstrap.hpp"
#include "libcaraway/config/problem.hpp"

#include <QByteArray>
#include <QJsonObject>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace caraway::config
{

/// Ports that the daemon listens on; 0 selects any free port.
struct port_settings
{
    std::uint16_t callers = 8080;
    std::uint16_t admin = 8081;
    std::uint16_t peers = 7946;  ///< UDP.
};

/// Address of the platform's table service, object store and VM list, which share one port.
struct platform_settings
{
    std::string host = "127.0.0.1";
    std::uint16_t port = 8000;
    std::string bucket = "caraway";
    std::string table = "caraway";
    std::chrono::milliseconds timeout{2000};
};

/// Limits on callers' connections and requests.
struct http_limits
{
    std::uint32_t header_bytes = 16 << 10;
    std::uint32_t body_bytes = 8 << 20;
    std::uint32_t connections = 4096;
    /// Pipelined requests per connection.
    std::uint32_t pipelined = 8;
    /// From the first byte of a request to the end of its header.
    std::chrono::milliseconds header_timeout{10000};
    /// Longest pause between two reads of a request's body.
    std::chrono::milliseconds body_timeout{30000};
    /// How long a persistent connection may stay open without a request.
    std::chrono::milliseconds idle_timeout{75000};
    /// From sending a request to an upstream to the first byte of its answer.
    std::chrono::milliseconds first_byte_timeout{60000};
    /// Longest pause between two reads of an upstream's answer.
    std::chrono::milliseconds progress_timeout{30000};
};

struct scheduling_settings
{
    /// Number of owners that a router registers its demand with.
    std::uint32_t owners_asked = 16;
    /// Requests sent to an upstream beyond its slots.
    std::uint32_t headroom = 1;
    /// How long changes are batched before a report, and the interval at which a report is repeated
    /// without changes.
    std::chrono::milliseconds report_delay{3};
    std::chrono::milliseconds report_refresh{500};
};

enum class log_level
{
    debug,
    info,
    warning,
    error,
};

const char* name(log_level level);

enum class log_format
{
    text,
    json,
};

struct log_settings
{
    log_level level = log_level::info;
    log_format format = log_format::text;
};

struct drain_settings
{
    /// How long callers may use an address that they have resolved.
    std::chrono::milliseconds address_lifetime{10000};
    /// Time limit for requests in flight once the daemon drains.
    std::chrono::milliseconds limit{600000};
};

/// Address of a peer through which the other peers are discovered.
struct seed_address
{
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const seed_address&, const seed_address&) = default;
};

/// The key with which peers authenticate each other: inline in the settings, or the path of a file
/// that contains it. Exactly one of the two is set.
struct fleet_key_settings
{
    std::string key;
    std::string file;
};

/// Settings of one process, read once at startup.
struct daemon_settings
{
    base::node_id node;
    std::string address;
    base::zone_id zone;
    base::region_id region;
    port_settings ports;
    std::uint32_t traffic_threads = 2;
    platform_settings platform;
    fleet_key_settings fleet_key;
    bootstrap_options bootstrap;
    std::vector<seed_address> seeds;
    http_limits http;
    scheduling_settings scheduling;
    log_settings log;
    drain_settings drain;
};

/// `--set /ports/callers=8090`: replaces or adds the value at a JSON pointer before validation.
/// Text that isn't JSON is taken as a string, so that plain words need no quotes.
struct setting_override
{
    std::string pointer;
    QByteArray value;
};

/// Splits "pointer=value"; empty when there is no '=' or the pointer doesn't begin with '/'.
std::optional<setting_override> parse_override(const std::string& text);

/// Result of reading a settings file; `settings` is set exactly when there is no problem.
struct settings_report
{
    std::optional<daemon_settings> settings;
    problems found;
    /// The settings as read, with overrides applied and secrets redacted.
    QJsonObject redacted;
};

/// Parses and validates a settings file. Unknown members are refused; omitted ones get their
/// defaults.
settings_report read_settings(const std::string& file, const QByteArray& bytes,
                              const std::vector<setting_override>& overrides = {});

/// All effective settings, including defaults, with secrets redacted; for logs and dumps.
QJsonObject redacted(const daemon_settings& settings);

}  // namespace caraway::config
