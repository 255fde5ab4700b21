#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/http/message.hpp"
#include "libcaraway/routing/configuration.hpp"
#include "libcaraway/routing/upstream_directory.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// A router as a process: sockets, timers and the decisions wired together, on one thread.
namespace caraway::router
{

/// How a request is sent on.
struct forward_options
{
    /// The only instance that may run it.
    base::upstream_id instance;
    std::chrono::milliseconds time_left{};
    std::optional<base::workspace_id> workspace;
    /// The upstream first takes from there what that one has read of the prompt.
    std::optional<routing::endpoint> fetch_from;
    /// A stream goes on behind this event; else the caller's own word stands.
    std::optional<std::uint64_t> resume_after;
};

/// What an upstream's head says.
struct answer_metadata
{
    std::optional<base::request_id> request;
    /// Proven to be an upstream's own answer.
    bool verified = false;
    /// The upstream vouches that it did not run the request.
    bool not_run = false;
    /// Another instance has the address; not run.
    bool other_instance = false;
};

/// How callers' requests are understood and upstreams spoken to.
struct caller_protocol
{
    std::function<base::result<routing::request_facts>(const http::request_head&)> parse_request;
    /// The whole message for an upstream.
    std::function<std::string(const http::request_head&, const std::string& body,
                              const forward_options&)>
        forward;
    std::function<answer_metadata(const http::response_head&)> parse_answer;
    /// Whether a field of an upstream's head goes to the caller.
    std::function<bool(std::string_view)> passes_to_caller;
};

/// What the platform and callers ask besides requests: whether the router takes callers, and where
/// to connect.
struct entry_protocol
{
    std::string readiness_path;
    std::string directory_path;
    /// The query's field that names the caller's availability zone.
    std::string zone_field;
    /// The answer's body (JSON): where to connect, and for how long to keep that.
    std::function<std::string(const std::vector<routing::endpoint>&, std::chrono::seconds)> answer;
};

/// One row of a table in the platform's store.
struct row
{
    std::string key;
    std::string value;
    bool removed = false;
    /// The store's revision in which this was written.
    std::uint64_t revision = 0;
};

struct rows_answer
{
    std::vector<row> rows;
    std::uint64_t revision = 0;
    /// Changes between the revision asked from and now are no longer known.
    bool history_gone = false;
};

using rows_callback = std::function<void(base::result<rows_answer>)>;

/// A table of the platform's store; each follower has its own, with a connection of its own.
struct table_port
{
    /// All rows of a table, as of one moment.
    std::function<void(rows_callback)> read_all;
    /// What changed after a revision; held until there is something, at most so long.
    std::function<void(std::uint64_t after, std::chrono::milliseconds hold, rows_callback)> follow;
    /// Writes one row.
    std::function<void(const row&, std::function<void(base::result<void>)>)> write;
};

/// The platform's tables, and what their rows mean.
struct platform_port
{
    entry_protocol entry;
    table_port configurations;
    table_port upstreams;
    table_port routers;
    /// The store has moved; calls from now on go there.
    std::function<void(const routing::endpoint&)> set_store_address;
    /// The key of the row that holds the accepted configuration.
    std::string configuration_key;
    std::function<base::result<routing::configuration>(const std::string&)> decode_configuration;
    std::function<base::result<routing::upstream>(const row&)> decode_upstream;
    /// The availability zone that a row beside the configuration drains; nothing: it is about
    /// something else.
    std::function<std::optional<base::result<base::zone_id>>(const row&)> decode_drained_zone;
};

}  // namespace caraway::router
