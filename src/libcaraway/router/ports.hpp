#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/http/message.hpp"
#include "libcaraway/routing/configuration.hpp"
#include "libcaraway/routing/upstream_directory.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// The router process: connects sockets, timers and the routing decisions, on a single thread.
namespace caraway::router
{

/// Options for a request that is forwarded to an upstream.
struct forward_options
{
    /// The only instance that may run the request: another process may have taken over its address.
    base::upstream_id instance;
    /// Until the request's deadline.
    std::chrono::milliseconds time_left{};
    std::optional<base::workspace_id> workspace;
    /// Another upstream, from which the chosen one first fetches the cached prefix of the prompt.
    std::optional<routing::endpoint> fetch_from;
    /// The stream continues after the event with this id. If not set, the value in the caller's own
    /// request applies.
    std::optional<std::uint64_t> resume_after;
};

/// What the head of an upstream's response says about the attempt.
struct answer_metadata
{
    /// The request that the response belongs to, if the head names one.
    std::optional<base::request_id> request;
    /// The head proves that the upstream itself answered, and not something in between, and names
    /// the request.
    bool verified = false;
    /// The upstream guarantees that it did not run the request.
    bool not_run = false;
    /// Another instance now has the address; the request was not run.
    bool other_instance = false;
    /// The upstream refuses and wants no requests from this router for this time.
    std::optional<std::chrono::milliseconds> requested_rest;
    /// The upstream is shutting down.
    bool leaving = false;
};

/// Translates between callers' requests, the router's types and the protocol of upstreams.
struct caller_protocol
{
    /// Error: the message that goes to the caller with status 400.
    std::function<base::result<routing::request_metadata>(const http::request_head&)> parse_request;
    /// Returns the HTTP message for an upstream, up to its body of this many bytes.
    std::function<std::string(const http::request_head&, std::size_t body_bytes,
                              const forward_options&)>
        forward;
    std::function<answer_metadata(const http::answer_head&)> parse_answer;
    /// Whether the header field with this name is passed from an upstream's response to the caller.
    std::function<bool(std::string_view)> passes_to_caller;
    /// The header fields with a workspace's key, and with the milliseconds that the caller will
    /// wait. Empty: requests are never refused by the first bytes of their connection.
    std::string key_field;
    std::string timeout_field;
};

/// The requests that the router answers itself: the platform's readiness check, and callers that
/// look up which routers to connect to.
struct entry_protocol
{
    std::string readiness_path;
    std::string directory_path;
    /// The query parameter that names the caller's availability zone.
    std::string zone_field;
    /// Returns the directory's JSON body: the addresses to connect to, and how long they are valid.
    std::function<std::string(const std::vector<routing::endpoint>&, std::chrono::seconds)> answer;
};

/// A row of a table in the platform's store.
struct row
{
    std::string key;
    std::string value;
    bool removed = false;
    /// The store's revision in which the row was last written.
    std::uint64_t revision = 0;
};

struct rows_answer
{
    std::vector<row> rows;
    /// The store's revision up to which `rows` is current.
    std::uint64_t revision = 0;
    /// The store no longer keeps all changes since the requested revision; read the whole table.
    bool history_gone = false;
    /// The store's steady clock, if the answer names it.
    std::optional<std::chrono::milliseconds> store_time;
};

using rows_callback = std::function<void(base::result<rows_answer>)>;

/// Access to one table of the platform's store. Each table has its own connection.
struct table_port
{
    /// Reads a consistent snapshot of all rows.
    std::function<void(rows_callback)> read_all;
    /// Long poll: reads the rows that changed after a revision. The store answers as soon as there
    /// is a change, at the latest after `hold`.
    std::function<void(std::uint64_t after, std::chrono::milliseconds hold, rows_callback)> follow;
    /// Writes a single row.
    std::function<void(const row&, std::function<void(base::result<void>)>)> write;
};

/// The platform's tables, and the decoders for their rows.
struct platform_port
{
    entry_protocol entry;
    table_port configurations;
    table_port upstreams;
    table_port routers;
    /// The table of upstreams again, for calls beside those that follow it: to confirm what is
    /// known of it, and for its changes since an earlier revision.
    table_port upstream_checks;
    table_port upstream_changes;
    /// The routers' record of the versions that have served, in a single row.
    table_port version_records;
    /// Origins of streams: for reading, and for writing beside that.
    table_port origins;
    table_port origin_writes;
    /// Sends all further calls to this address of the store.
    std::function<void(const routing::endpoint&)> set_store_address;
    /// Key of the row that holds the accepted configuration.
    std::string configuration_key;
    std::function<base::result<routing::configuration>(const std::string&)> decode_configuration;
    std::function<base::result<routing::upstream>(const row&)> decode_upstream;
    /// The availability zone that is drained by this row of the configuration table. Empty if the
    /// row is of another kind; an error if it can't be decoded.
    std::function<std::optional<base::result<base::zone_id>>(const row&)> decode_drained_zone;
};

}  // namespace caraway::router
