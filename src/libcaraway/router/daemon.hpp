#pragma once

#include "libcaraway/http/listener.hpp"
#include "libcaraway/router/peer_link.hpp"
#include "libcaraway/router/table_sync.hpp"

#include <boost/asio/signal_set.hpp>

#include <set>

namespace caraway::router
{

/// The whole router: listeners, the platform's tables, peers, and the way to a planned stop.
class daemon
{
public:
    daemon(boost::asio::io_context& loop, const base::clock& clock, settings options,
           caller_protocol protocol, platform_port platform, telemetry::line_log& log,
           settings_source reread = nullptr);

    /// Opens all addresses. Errors: one is taken or isn't this machine's.
    base::result<void> start();
    /// A planned stop: callers are led away, what is in flight ends, then the loop.
    void stop();
    /// Takes over what changed in the settings since they were last read.
    void reload(std::string_view because);

    /// Where it listens, once started.
    const settings& options() const
    {
        return core_.options;
    }
    /// Takes callers: it has a configuration and upstreams, and doesn't stop.
    bool ready() const;
    /// A planned stop has come to its end.
    bool ended() const
    {
        return ended_;
    }

    /// What it knows and does, for people.
    nlohmann::ordered_json state();

private:
    /// What the process had done, ever.
    struct work_done
    {
        std::uint64_t requests = 0;
        /// Of these, refused as the processor is at its limit.
        std::uint64_t refused = 0;
        std::uint64_t pieces = 0;
        std::uint64_t digests = 0;
        /// Times that new connections were refused for the rest of a tick.
        std::uint64_t refusals = 0;
        std::uint64_t lines_dropped = 0;
    };

    void open_tables(const platform_port& platform);
    void open_listeners();
    void watch_signals();

    void tick();
    void notice_lateness(base::time_point now);
    /// Rates, and the lines that tell each second what they and shares are.
    void report_second(base::time_point now);
    void log_shares(base::time_point now);
    work_done work() const;
    void log_work(const work_done& before, const work_done& now) const;
    /// After connections were refused for the rest of a tick.
    void resume_listening();
    void request_missing_tables(base::time_point now);
    /// Whom to ask for what they know, as things are; nobody if nothing is missing.
    std::optional<routing::endpoint> peer_to_ask(base::time_point now);
    /// Starts or ends asking the store, as the zone's other routers stand.
    void choose_table_source(base::time_point now);
    void choose_configuration_source(bool asks_store);
    /// The settings of all routers name it: others ask it first when they start.
    bool is_seed() const;
    routing::table_state tables() const;
    /// Tells the zone at once of what the store changed: the copy's mark is another.
    void announce_changes(std::uint64_t mark);
    void sync_routers_table(base::time_point now);
    void write_own_row(base::time_point now);
    /// Learn of other routers: from the store, or from a peer that asks it.
    void read_routers(base::time_point now);
    void request_routers_from_peer(base::time_point now);
    void schedule_routers_read(base::time_point now);
    void progress_stop(base::time_point now);
    void update_limits_per_router();

    /// Rows of the table with the configuration; all of them if `whole_at`.
    void apply_operator_rows(const std::vector<row>& rows,
                             std::optional<std::uint64_t> listing_revision);
    /// The drained zone that the row tells of, if it does.
    std::optional<base::zone_id> drained_zone_of(const row& operator_row);
    void apply_configuration(const std::string& text, std::string_view source);
    /// `from` names the store or the peer that told them. A whole listing is current up to
    /// `whole_at`.
    void apply_upstreams(const std::vector<row>& rows,
                         std::optional<std::uint64_t> listing_revision, std::string_view source);
    /// Whether it is one that wasn't known, or that leaves now.
    bool apply_upstream(const row& upstream_row);
    void log_upstreams(const std::vector<const row*>& changes, std::string_view source);
    void log_removed(const base::upstream_id& id, std::string_view source, std::uint64_t revision,
                     std::string_view outcome);
    /// How long it stays cold, by its entry or as it has just appeared.
    void record_warmup(const routing::upstream& entry, bool appeared);
    void update_warmups(base::time_point now);
    /// Drops upstreams whose removal waited until nothing could bring them back.
    void drop_expired_upstreams(base::time_point now);
    /// An entry that doesn't tell of an upstream that may be used.
    void discard_unreadable(const row& upstream_row, const base::error& error);
    void apply_router_rows(const std::vector<row>& rows);
    /// Whether this router's upstreams are those that the copy tells of now.
    bool apply_copy(const table_copy& copy);
    table_copy make_copy(base::config_version peer_version) const;
    /// What changed since then, and the routers known if they are wanted; nothing: that isn't known
    /// any more.
    std::optional<table_copy> make_partial_copy(base::config_version peer_version,
                                                const copy_position& since,
                                                bool with_routers) const;
    std::vector<routing::peer> known_routers() const;
    table_copy make_copy_header(base::config_version peer_version) const;
    /// The same as text.
    const std::string& encoded_copy(base::config_version peer_version);
    /// Who this router is and where it is reached; then whether and how it takes callers.
    routing::digest identity() const;
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
    platform_port platform_;
    settings_source reread_;
    /// The last complaint about them, which isn't repeated at each reading.
    std::string settings_fault_;
    std::uint64_t incarnation_;
    base::time_point started_{};
    /// All upstreams were told of once; one that appears later has just started.
    bool upstreams_listed_ = false;
    std::uint64_t last_digest_number_ = 0;
    routing::peer_table peers_;
    routing::table_relay relay_;
    /// Of what was told to the routers of this zone last.
    std::uint64_t announced_mark_ = 0;
    peer_link link_;
    boost::asio::signal_set signals_;
    http::owner_token owner_;

    std::unique_ptr<table_sync> configurations_;
    std::unique_ptr<table_sync> upstreams_;
    std::string configuration_text_;
    /// A copy as it was told last.
    struct cached_copy
    {
        std::string text;
        base::config_version version{};
        std::uint64_t mark = 0;
        base::time_point made{};
    };
    /// For peers that have the configuration in force, and for those that don't.
    cached_copy copy_without_configuration_;
    cached_copy copy_with_configuration_;
    std::map<std::string, row> upstream_rows_;
    /// Keys of entries that were complained about; said once, though they are written each second.
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
    base::time_point next_rate_{};
    base::time_point next_prefill_records_{};
    work_done counted_;
    std::chrono::milliseconds latest_tick_{};
    double request_rate_ = 0;
    bool own_row_written_ = false;
    bool store_call_pending_ = false;
    bool ended_ = false;
};

}  // namespace caraway::router
