#pragma once

#include "libcaraway/router/core.hpp"
#include "libcaraway/routing/version_record.hpp"

#include <vector>

namespace caraway::router
{

/// Finds out from the store, when a conclusion depends on it, which software versions have served:
/// that what this router knows of upstreams is no older than the question, and what was known
/// before this router started. Keeps the record of that in the store.
class version_sync
{
public:
    /// What the table of upstreams gives to this object, and what this object gives to it.
    struct upstream_table
    {
        /// The store's revision up to which all changes were applied; empty before the first
        /// listing.
        std::function<std::optional<std::uint64_t>()> revision;
        /// Applies changes or, with a revision, a whole listing.
        std::function<void(const std::vector<row>&, std::optional<std::uint64_t>)> apply;
        /// The store's clock; empty if it hasn't answered yet.
        std::function<std::optional<std::chrono::milliseconds>()> store_time;
    };
    using callback = std::function<void(bool)>;

    version_sync(core& router_core, const platform_port& platform, upstream_table upstreams);

    /// Calls back with true once the store has answered calls that began after this one, and
    /// `core::served_versions` holds what it said; with false if it doesn't answer soon.
    /// `period` is how far back the versions have to be known.
    void confirm(base::duration period, callback done);
    /// Writes the record if none was written lately. For a router that polls the store.
    void keep_record(base::time_point now);

private:
    struct question
    {
        base::duration period{};
        base::time_point give_up_at{};
        callback done;
    };

    void begin_round();
    void read_changes();
    void read_listing();
    /// The upstreams are current; goes on with the record if versions are missing.
    void on_upstreams_current();
    void read_record(std::function<void()> done);
    void on_record(const rows_answer& answer, const std::function<void()>& done);
    void read_changes_since(const routing::version_record& record, std::function<void()> done);
    void restore(routing::version_record record, const rows_answer& changes);
    void end_round(bool is_confirmed);
    void expire();
    void write_record();

    core& core_;
    platform_port platform_;
    upstream_table upstreams_;
    /// Questions for the next round of calls, and those that the present round answers.
    std::vector<question> waiting_;
    std::vector<question> round_;
    bool in_round_ = false;
    /// A call for the record is in progress.
    bool record_busy_ = false;
    /// When the record was written last, by the store's clock; empty if none was found.
    std::optional<std::chrono::milliseconds> last_record_;
    base::time_point next_record_{};
    base::time_point next_record_read_{};
    http::owner_token owner_;
};

}  // namespace caraway::router
