#include "libcaraway/router/version_sync.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace caraway::router
{

namespace
{

using std::chrono::milliseconds;

/// The only row of the table of records.
constexpr const char* record_key = "served";
/// Who asks has a caller waiting, and other routers have been asked before.
constexpr milliseconds confirmation_timeout{500};
/// Time between two looks at the record, of which one at a random time finds it old enough to be
/// written. Together they stay below the time for which the store keeps its history, less that of
/// a start.
constexpr milliseconds record_check_period{6000};
constexpr milliseconds record_check_spread{3000};
constexpr milliseconds min_record_age{5000};
/// While versions are missing the record is read no more often.
constexpr milliseconds record_read_period{1000};
/// A router that knows as much needs no record: streams last for less.
constexpr std::chrono::minutes longest_use{10};

}  // namespace

version_sync::version_sync(core& router_core, const platform_port& platform,
                           upstream_table upstreams)
    : core_(router_core), platform_(platform), upstreams_(std::move(upstreams))
{
}

void version_sync::confirm(base::duration period, callback done)
{
    waiting_.push_back({.period = period,
                        .give_up_at = core_.now() + confirmation_timeout,
                        .done = std::move(done)});
    core_.timers.after(confirmation_timeout, owner_.guard([this] { expire(); }));
    if (!in_round_)
    {
        begin_round();
    }
}

void version_sync::begin_round()
{
    in_round_ = true;
    round_ = std::exchange(waiting_, {});
    if (upstreams_.revision())
    {
        read_changes();
        return;
    }
    read_listing();
}

void version_sync::read_changes()
{
    platform_.upstream_checks.follow(*upstreams_.revision(), milliseconds(0),
                                     owner_.guard(
                                         [this](const base::result<rows_answer>& result)
                                         {
                                             if (!result)
                                             {
                                                 end_round(false);
                                                 return;
                                             }
                                             if (result.value().history_gone)
                                             {
                                                 read_listing();
                                                 return;
                                             }
                                             upstreams_.apply(result.value().rows, std::nullopt);
                                             on_upstreams_current();
                                         }));
}

void version_sync::read_listing()
{
    platform_.upstream_checks.read_all(owner_.guard(
        [this](const base::result<rows_answer>& result)
        {
            if (!result)
            {
                end_round(false);
                return;
            }
            upstreams_.apply(result.value().rows, result.value().revision);
            on_upstreams_current();
        }));
}

void version_sync::on_upstreams_current()
{
    base::duration period{};
    for (const auto& each : round_)
    {
        period = std::max(period, each.period);
    }
    const auto now = core_.now();
    const bool is_read_due = now >= next_record_read_ && !record_busy_;
    if (core_.served_versions.is_complete(period, now) || !is_read_due)
    {
        end_round(true);
        return;
    }
    read_record([this] { end_round(true); });
}

void version_sync::read_record(std::function<void()> done)
{
    record_busy_ = true;
    next_record_read_ = core_.now() + record_read_period;
    const auto finish = [this, done = std::move(done)]
    {
        record_busy_ = false;
        done();
    };
    platform_.version_records.read_all(owner_.guard(
        [this, finish](const base::result<rows_answer>& result)
        {
            if (result)
            {
                on_record(result.value(), finish);
                return;
            }
            finish();
        }));
}

void version_sync::on_record(const rows_answer& answer, const std::function<void()>& done)
{
    last_record_.reset();
    if (answer.rows.empty())
    {
        if (core_.options.first_start)
        {
            core_.served_versions.record_first_start(core_.now());
        }
        done();
        return;
    }
    const auto record = routing::decode_version_record(answer.rows.front().value);
    if (!record)
    {
        core_.log.line("version_record_unreadable", {{"because", record.error().message}});
        done();
        return;
    }
    last_record_ = record.value().store_time;
    const auto known = core_.served_versions.history(core_.now()).complete_for;
    if (known >= record.value().history.complete_for && known >= longest_use)
    {
        done();
        return;
    }
    read_changes_since(record.value(), done);
}

void version_sync::read_changes_since(const routing::version_record& record,
                                      std::function<void()> done)
{
    platform_.upstream_changes.follow(
        record.revision, milliseconds(0),
        owner_.guard(
            [this, record, done = std::move(done)](const base::result<rows_answer>& result)
            {
                if (result && !result.value().history_gone)
                {
                    restore(record, result.value());
                }
                done();
            }));
}

void version_sync::restore(routing::version_record record, const rows_answer& changes)
{
    const auto now = core_.now();
    const auto age =
        changes.store_time ? *changes.store_time - record.store_time : milliseconds(-1);
    bool is_complete = age.count() >= 0;
    for (const auto& change : changes.rows)
    {
        const auto hash = routing::hash_of(base::upstream_id(change.key));
        if (change.removed)
        {
            is_complete &= record.upstreams.contains(hash);
            continue;
        }
        record.upstreams.insert(hash);
        if (const auto entry = platform_.decode_upstream(change))
        {
            core_.served_versions.record(entry.value().service, entry.value().software, now);
        }
    }
    core_.log.line("versions_restored", {{"complete", is_complete},
                                         {"record_age_ms", age.count()},
                                         {"changes", changes.rows.size()},
                                         {"versions", record.history.versions.size()}});
    if (!is_complete)
    {
        return;
    }
    record.history.complete_for += age;
    for (auto& each : record.history.versions)
    {
        each.age += age;
    }
    core_.served_versions.restore(record.history, now);
}

void version_sync::end_round(bool is_confirmed)
{
    in_round_ = false;
    for (const auto& each : std::exchange(round_, {}))
    {
        each.done(is_confirmed);
    }
    if (!in_round_ && !waiting_.empty())
    {
        begin_round();
    }
}

void version_sync::expire()
{
    const auto now = core_.now();
    std::vector<question> expired;
    for (auto* questions : {&waiting_, &round_})
    {
        const auto first =
            std::stable_partition(questions->begin(), questions->end(),
                                  [&](const auto& each) { return each.give_up_at > now; });
        std::move(first, questions->end(), std::back_inserter(expired));
        questions->erase(first, questions->end());
    }
    for (const auto& each : expired)
    {
        each.done(false);
    }
}

void version_sync::keep_record(base::time_point now)
{
    const bool is_due = now >= next_record_ && !record_busy_;
    if (!is_due || !upstreams_.revision() || !upstreams_.store_time())
    {
        return;
    }
    next_record_ =
        now + record_check_period +
        std::chrono::duration_cast<milliseconds>(record_check_spread * core_.random_unit());
    read_record(
        [this]
        {
            const auto store_time = upstreams_.store_time();
            const bool is_recent =
                last_record_ && store_time && *store_time - *last_record_ < min_record_age;
            if (!is_recent)
            {
                write_record();
            }
        });
}

void version_sync::write_record()
{
    const auto revision = upstreams_.revision();
    const auto store_time = upstreams_.store_time();
    if (!revision || !store_time || record_busy_)
    {
        return;
    }
    routing::version_record record{.revision = *revision,
                                   .store_time = *store_time,
                                   .history = core_.served_versions.history(core_.now())};
    for (const auto& [id, upstream] : core_.directory.all())
    {
        record.upstreams.insert(routing::hash_of(id));
    }
    record_busy_ = true;
    platform_.version_records.write(
        {.key = record_key, .value = routing::encode(record)},
        owner_.guard([this](const base::result<void>&) { record_busy_ = false; }));
}

}  // namespace caraway::router
