#include "libcaraway/router/origin_store.hpp"

#include <algorithm>
#include <utility>

namespace caraway::router
{

namespace
{

using std::chrono::milliseconds;

/// Streams that begin within this time are written together. If all routers die meanwhile, nobody
/// knows their origins.
constexpr milliseconds write_delay{500};
/// Time to repeat a write that the store didn't take.
constexpr milliseconds write_retry_delay{1000};
/// A row holds the streams of this time and is written anew as they come, so that readers find few
/// rows, and writers repeat little.
constexpr milliseconds slot_length{2000};
/// After as many slots a row is used again: longer than callers resume a stream.
constexpr std::int64_t slot_count = 60;
/// A router that starts again within a slot uses other rows than the process before.
constexpr std::int64_t process_count = 4;
/// Of 12 to 15 bytes each; a row of the store holds 65,536.
constexpr std::size_t max_streams_per_row = 3000;
/// Bounds the memory while the store is away; the oldest streams are given up first.
constexpr std::size_t max_unwritten_streams = 20000;
/// A reading that began no longer ago than this is used again.
constexpr milliseconds read_period{500};
constexpr milliseconds read_timeout{700};

}  // namespace

origin_store::origin_store(core& router_core, const platform_port& platform, hooks handlers)
    : core_(router_core), reads_(platform.origins), writes_(platform.origin_writes),
      hooks_(std::move(handlers))
{
}

void origin_store::add(const routing::known_stream& stream)
{
    added_.push_back(stream);
    write_later(write_delay);
}

void origin_store::write_later(milliseconds delay)
{
    if (write_scheduled_ || write_pending_)
    {
        return;
    }
    write_scheduled_ = true;
    core_.timers.after(delay, owner_.guard([this] { write(); }));
}

std::string origin_store::slot_at(milliseconds store_time) const
{
    const auto slot = store_time / slot_length % slot_count;
    const auto process =
        std::chrono::floor<std::chrono::seconds>(*first_write_).count() % process_count;
    return core_.options.name.str() + "/" + std::to_string(process) + "/" + std::to_string(slot);
}

void origin_store::fill_row(std::string slot)
{
    if (slot != row_.slot)
    {
        row_ = {.slot = std::move(slot)};
    }
    else if (row_.streams.size() >= max_streams_per_row)
    {
        ++row_.part;
        row_.streams.clear();
    }
    const auto count = std::min(added_.size(), max_streams_per_row - row_.streams.size());
    const auto last = added_.begin() + static_cast<std::ptrdiff_t>(count);
    row_.streams.insert(row_.streams.end(), added_.begin(), last);
    added_.erase(added_.begin(), last);
}

void origin_store::write()
{
    write_scheduled_ = false;
    const auto store_time = hooks_.store_time();
    if (!store_time)
    {
        write_later(write_retry_delay);
        return;
    }
    first_write_ = first_write_.value_or(*store_time);
    fill_row(slot_at(*store_time));
    const routing::stored_origins stored{.store_time = *store_time, .streams = row_.streams};
    write_pending_ = true;
    writes_.write({.key = row_.slot + "/" + std::to_string(row_.part),
                   .value = routing::encode(stored, core_.now())},
                  owner_.guard([this](const base::result<void>& result)
                               { on_written(static_cast<bool>(result)); }));
}

void origin_store::on_written(bool is_written)
{
    write_pending_ = false;
    if (!is_written)
    {
        // Written again with what comes meanwhile, in the row of that time.
        added_.insert(added_.begin(), row_.streams.begin(), row_.streams.end());
        row_ = {};
        std::erase_if(added_,
                      [now = core_.now()](const auto& each) { return each.expires <= now; });
        const auto excess = added_.size() - std::min(added_.size(), max_unwritten_streams);
        added_.erase(added_.begin(), added_.begin() + static_cast<std::ptrdiff_t>(excess));
    }
    if (!added_.empty())
    {
        write_later(is_written ? write_delay : write_retry_delay);
    }
}

void origin_store::load(callback done)
{
    const bool is_recent = last_read_ && core_.now() - *last_read_ < read_period;
    if (is_recent && !read_pending_)
    {
        done();
        return;
    }
    waiting_.push_back(std::move(done));
    core_.timers.after(read_timeout, owner_.guard([this] { end_read(); }));
    if (!read_pending_)
    {
        begin_read();
    }
}

void origin_store::begin_read()
{
    read_pending_ = true;
    last_read_ = core_.now();
    if (revision_)
    {
        reads_.follow(*revision_, milliseconds(0),
                      owner_.guard([this](const auto& result) { on_rows(result, false); }));
        return;
    }
    reads_.read_all(owner_.guard([this](const auto& result) { on_rows(result, true); }));
}

void origin_store::on_rows(const base::result<rows_answer>& result, bool is_whole)
{
    read_pending_ = false;
    if (result && result.value().history_gone)
    {
        revision_.reset();
        begin_read();
        return;
    }
    if (result)
    {
        apply(result.value());
    }
    if (!result && is_whole)
    {
        last_read_.reset();
    }
    end_read();
}

void origin_store::apply(const rows_answer& answer)
{
    revision_ = answer.revision;
    const auto now = core_.now();
    std::size_t streams = 0;
    for (const auto& row : answer.rows)
    {
        const auto stored = routing::decode_stored_origins(
            row.value, answer.store_time.value_or(milliseconds(0)), now);
        if (!stored)
        {
            continue;
        }
        streams += stored.value().streams.size();
        for (const auto& stream : stored.value().streams)
        {
            hooks_.learned(stream);
        }
    }
    core_.log.line("origins_read", {{"rows", answer.rows.size()}, {"streams", streams}});
}

void origin_store::end_read()
{
    for (const auto& done : std::exchange(waiting_, {}))
    {
        done();
    }
}

}  // namespace caraway::router
