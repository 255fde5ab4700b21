#pragma once

#include "libcaraway/router/core.hpp"
#include "libcaraway/routing/known_streams.hpp"

#include <set>
#include <string>
#include <vector>

namespace caraway::router
{

/// Keeps origins of streams in the platform's store, for routers that start when no other is left,
/// and reads them there. Only streams of services of which several versions may have begun one.
class origin_store
{
public:
    struct hooks
    {
        /// The store's clock; empty if it hasn't answered yet.
        std::function<std::optional<std::chrono::milliseconds>()> store_time;
        /// Receives each stream that is read.
        std::function<void(const routing::known_stream&)> learned;
    };
    using callback = std::function<void()>;

    origin_store(core& router_core, const platform_port& platform, hooks handlers);

    /// Writes the stream's origin within half a second.
    void add(const routing::known_stream& stream);
    /// Reads the origins, if that wasn't done just before, and calls back when they are read or
    /// the store doesn't answer soon.
    void load(callback done);

private:
    /// The row that is being filled: streams that began within a slot of the store's time, which
    /// takes further rows if one can't hold them.
    struct open_row
    {
        std::string slot;
        std::size_t part = 0;
        std::vector<routing::known_stream> streams;
    };

    void write();
    void write_later(std::chrono::milliseconds delay);
    std::string slot_at(std::chrono::milliseconds store_time) const;
    /// Moves streams that aren't written yet to the row of this slot, as many as fit.
    void fill_row(std::string slot);
    void on_written(bool is_written);
    void begin_read();
    void on_rows(const base::result<rows_answer>& result, bool is_whole);
    void end_read();
    void apply(const rows_answer& answer);

    core& core_;
    table_port reads_;
    table_port writes_;
    hooks hooks_;
    /// Streams that are in no row yet.
    std::vector<routing::known_stream> added_;
    open_row row_;
    /// By the store's clock: rows of earlier processes of this router are told apart by it.
    std::optional<std::chrono::milliseconds> first_write_;
    bool write_scheduled_ = false;
    bool write_pending_ = false;
    bool read_pending_ = false;
    /// The store's revision up to which the origins were read; empty before the first reading.
    std::optional<std::uint64_t> revision_;
    std::optional<base::time_point> last_read_;
    std::vector<callback> waiting_;
    http::owner_token owner_;
};

}  // namespace caraway::router
