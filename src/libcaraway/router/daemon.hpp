#pragma once

#include "libcaraway/http/listener.hpp"
#include "libcaraway/router/caller_door.hpp"
#include "libcaraway/router/origin_exchange.hpp"
#include "libcaraway/router/origin_store.hpp"
#include "libcaraway/router/peer_link.hpp"
#include "libcaraway/router/table_sync.hpp"
#include "libcaraway/router/version_sync.hpp"

#include <boost/asio/signal_set.hpp>

#include <set>

namespace caraway::router
{

/// The router process: listeners, the platform's tables, peers, and graceful shutdown.
class daemon
{
public:
    daemon(boost::asio::io_context& loop, const base::clock& clock, settings options,
           caller_protocol protocol, platform_port platform, telemetry::line_log& log,
           settings_source read_settings = nullptr);

    /// Opens all listening addresses. Error: an address is in use, or isn't an address of this VM.
    base::result<void> start();
    /// Starts a graceful shutdown: the router leaves the directory, requests in flight are
    /// completed up to the configured grace, then the event loop is stopped.
    void stop();
    /// Reads the settings again and applies what changed. `because` goes to the log.
    void reload(std::string_view because);

    /// The settings in force. After `start` the addresses hold the actual ports.
    const settings& options() const
    {
        return core_.options;
    }
    /// Accepts callers: there are a configuration and upstreams, and no shutdown is in progress.
    bool ready() const;
    /// The graceful shutdown is complete.
    bool ended() const
    {
        return ended_;
    }

    /// State of the router for operators, served at the control address under /state.
    nlohmann::ordered_json state();

private:
    /// Totals since the process started.
    struct work_counters
    {
        std::uint64_t requests = 0;
        /// Of these, rejected because the CPU is overloaded.
        std::uint64_t rejected = 0;
        std::uint64_t chunks = 0;
        std::uint64_t digests = 0;
        /// Times that the listener refused new connections until the next tick.
        std::uint64_t accept_pauses = 0;
        routing::entry::door_counts door;
        std::uint64_t lines_dropped = 0;
    };

    void open_tables(const platform_port& platform);
    void open_listeners();
    void watch_signals();

    void tick();
    void check_tick_delay(base::time_point now);
    /// Updates the request rate, and logs work and workspace shares. Once a second.
    void report_second(base::time_point now);
    void log_shares(base::time_point now);
    work_counters total_work() const;
    void log_work(const work_counters& before, const work_counters& after) const;
    /// Accepts new connections again on listeners that refused them since the last tick.
    void resume_listening();
    /// Closes connections that hold memory and don't go on, if anything found no room since the
    /// last tick.
    void relieve_memory();
    /// Logs the limits on memory that were met since the last call.
    void log_memory();
    void request_missing_tables(base::time_point now);
    /// The control address of a peer to request tables from; empty if nothing is missing.
    std::optional<routing::endpoint> peer_to_ask(base::time_point now);
    /// Starts or stops polling the store, depending on whether other routers of the zone poll it.
    void choose_table_source(base::time_point now);
    void choose_configuration_source(bool asks_store);
    /// Whether the settings list this router as a seed: a router that others request tables from
    /// when they start.
    bool is_seed() const;
    routing::table_state tables() const;
    /// Notifies the zone's routers at once when the upstream table has changed; `mark` is the hash
    /// of its content.
    void announce_changes(std::uint64_t mark);
    void sync_routers_table(base::time_point now);
    void write_own_row(base::time_point now);
    /// Reads the table of routers from the store.
    void read_routers(base::time_point now);
    /// Requests the known routers from a peer that polls the store.
    void request_routers_from_peer(base::time_point now);
    /// Schedules the next read, with an interval that doubles from read to read up to a maximum.
    void schedule_routers_read(base::time_point now);
    void progress_stop(base::time_point now);
    /// Divides fleet-wide limits (retries, store calls, idle connections) by the number of routers.
    void update_limits_per_router();

    /// Rows of the configuration table. With `listing_revision` they are the whole table as of that
    /// revision.
    void apply_operator_rows(const std::vector<row>& rows,
                             std::optional<std::uint64_t> listing_revision);
    /// The zone that the row drains, or empty if the row is of another kind or invalid.
    std::optional<base::zone_id> drained_zone_of(const row& operator_row);
    void apply_configuration(const std::string& text, std::string_view source);
    /// `source` names the store or the peer that sent the rows. With `listing_revision` they are
    /// the whole table as of that revision.
    void apply_upstreams(const std::vector<row>& rows,
                         std::optional<std::uint64_t> listing_revision, std::string_view source);
    /// Returns whether the upstream is new, or started or ended draining.
    bool apply_upstream(const row& upstream_row);
    void log_upstreams(const std::vector<const row*>& changes, std::string_view source);
    void log_removed(const base::upstream_id& id, std::string_view source, std::uint64_t revision,
                     std::string_view outcome);
    /// Records how long the upstream stays cold: as its entry says, or for the service's warm-up
    /// time if it has just appeared.
    void record_warmup(const routing::upstream& entry, bool appeared);
    void update_warmups(base::time_point now);
    /// Keeps track of the software versions that serve, and of the services with several.
    void record_versions(base::time_point now);
    /// Keeps the record of that in the store, for all routers of the zone.
    void keep_version_record(base::time_point now);
    void connect_stream_origins();
    std::set<base::service_id> services_of_several_versions(base::time_point now) const;
    /// Whether this router writes to the store for those of its zone that don't poll it.
    bool is_zone_writer() const;
    /// Whether this router is the one to keep the stream's origin in the store; `teller` is null if
    /// the stream began here.
    bool is_stored_here(const routing::known_stream& stream, const routing::endpoint* teller) const;
    /// Where a router that doesn't poll the store has its streams' origins written.
    std::optional<routing::endpoint> zone_writer() const;
    /// Drops upstreams whose removal was delayed during an outage of the store, once no update can
    /// restore them.
    void drop_expired_upstreams(base::time_point now);
    void record_store_lost();
    void record_store_recovered();
    /// Removes the upstream whose table entry can't be decoded.
    void discard_unreadable(const row& upstream_row, const base::error& error);
    void apply_router_rows(const std::vector<row>& rows);
    /// Returns whether the router's upstreams now equal those of the copy.
    bool apply_copy(const table_copy& copy);
    table_copy make_copy(base::config_version peer_version) const;
    /// The changes since a position, and the known routers if requested. Empty if the changes since
    /// that position are no longer known.
    std::optional<table_copy> make_partial_copy(base::config_version peer_version,
                                                const copy_position& since,
                                                bool with_routers) const;
    std::vector<routing::peer> known_routers() const;
    table_copy make_copy_header(base::config_version peer_version) const;
    /// The whole copy as text; cached for a short time.
    const std::string& encoded_copy(base::config_version peer_version);
    /// The router's name, zone and addresses.
    routing::digest identity() const;
    /// The identity, readiness, capacity and request rate.
    routing::digest presence() const;
    routing::digest make_digest();
    row own_row() const;
    routing::peer self() const;

    bool is_stopping() const
    {
        return stopping_since_.has_value();
    }
    bool has_tables() const;

    void answer_readiness(const std::shared_ptr<http::exchange>& request);
    void answer_directory(const std::shared_ptr<http::exchange>& request);
    void answer_control(const std::shared_ptr<http::exchange>& request);
    void answer_metrics(const std::shared_ptr<http::exchange>& request);
    std::string metrics_text();

    core core_;
    caller_door door_{core_};
    platform_port platform_;
    settings_source read_settings_;
    /// The last error of reading the settings, which is logged only once.
    std::string last_settings_error_;
    std::uint64_t incarnation_;
    base::time_point started_{};
    /// A full list of upstreams was received: an upstream that appears later has just started.
    bool upstreams_listed_ = false;
    std::uint64_t last_digest_number_ = 0;
    routing::peer_table peers_;
    routing::table_relay relay_;
    /// Hash of the upstream table at the last announcement to the routers of this zone.
    std::uint64_t announced_mark_ = 0;
    peer_link link_;
    origin_exchange origins_;
    version_sync versions_;
    origin_store stored_origins_;
    /// Services whose streams' origins are kept in the store.
    std::set<base::service_id> stored_services_;
    boost::asio::signal_set signals_;
    http::owner_token owner_;

    std::unique_ptr<table_sync> configurations_;
    std::unique_ptr<table_sync> upstreams_;
    std::string configuration_text_;
    /// An encoded copy of the tables for peers, and what it was made from.
    struct cached_copy
    {
        std::string text;
        base::config_version version{};
        std::uint64_t mark = 0;
        base::time_point made{};
    };
    /// For peers that have the current configuration version, and for those that don't.
    cached_copy copy_without_configuration_;
    cached_copy copy_with_configuration_;
    std::map<std::string, row> upstream_rows_;
    /// Keys of invalid entries that were logged: they are written each second, and logged once.
    std::set<std::string> unreadable_keys_;

    std::unique_ptr<http::listener> callers_;
    std::unique_ptr<http::listener> readiness_;
    std::unique_ptr<http::listener> directory_;
    std::unique_ptr<http::listener> control_;
    std::unique_ptr<http::listener> metrics_;

    std::optional<base::time_point> stopping_since_;
    base::time_point last_tick_{};
    base::time_point next_sweep_{};
    base::time_point next_reload_{};
    base::time_point next_table_request_{};
    base::time_point next_own_row_{};
    base::time_point next_routers_read_{};
    std::chrono::milliseconds routers_read_interval_{};
    std::size_t next_seed_ = 0;
    base::time_point next_report_{};
    base::time_point next_prefill_records_{};
    work_counters last_work_;
    http::memory_counts last_memory_counts_;
    std::chrono::milliseconds max_tick_delay_{};
    double request_rate_ = 0;
    bool own_row_written_ = false;
    bool store_call_pending_ = false;
    bool ended_ = false;
};

}  // namespace caraway::router
