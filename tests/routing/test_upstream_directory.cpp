#include "libcaraway/routing/upstream_directory.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using routing::upstream;
using routing::upstream_directory;

namespace
{

const base::service_id engines("engines");

upstream make_upstream(const std::string& id, bool draining = false)
{
    return {.id = base::upstream_id(id), .service = engines, .draining = draining};
}

base::time_point start()
{
    return base::time_point(1h);
}

/// Each stamp has a higher revision than the previous one, as in the order of the store.
routing::update_stamp next_stamp(base::time_point received = start())
{
    static std::uint64_t revision = 100;
    return {.revision = ++revision, .received = received};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(upstream_directories)

BOOST_AUTO_TEST_CASE(a_draining_upstream_gets_no_new_requests)
{
    upstream_directory directory;
    directory.put(make_upstream("a"), next_stamp());
    directory.put(make_upstream("b", true), next_stamp());

    BOOST_REQUIRE(directory.usable(engines).size() == 1);
    BOOST_TEST(directory.usable(engines).front()->id.str() == "a");
}

BOOST_AUTO_TEST_CASE(a_removed_upstream_gets_no_new_requests)
{
    upstream_directory directory;
    directory.put(make_upstream("a"), next_stamp());

    directory.remove(base::upstream_id("a"), next_stamp(start()));

    BOOST_TEST(directory.usable(engines).empty());
}

// Guards against rejecting all requests for two seconds after an outage of the store. During an
// outage entries expire because the upstreams can't refresh them; the first listing afterwards is
// empty, and the upstreams need two seconds to register again. An entry that expired must not be
// treated as an upstream that left.
BOOST_AUTO_TEST_CASE(entries_that_expired_during_an_outage_are_removed_only_after_the_grace_period)
{
    upstream_directory directory({.recovery_grace = 2300ms});
    directory.put(make_upstream("a"), next_stamp());
    directory.put(make_upstream("b"), next_stamp());
    directory.record_store_lost(start() - 5s, start() - 5s);
    directory.record_store_recovered(start());

    directory.remove_unlisted({}, next_stamp());
    directory.expire(start() + 2299ms);
    BOOST_TEST(directory.usable(engines).size() == 2);

    directory.put(make_upstream("a"), next_stamp());
    directory.expire(start() + 2300ms);
    BOOST_REQUIRE(directory.usable(engines).size() == 1);
    BOOST_TEST(directory.usable(engines).front()->id.str() == "a");
}

// Guards against requests to an upstream 3 s after it left: a connection to the store fell silent
// just then, and the removal was deferred as if entries might have expired meanwhile.
BOOST_AUTO_TEST_CASE(removals_apply_at_once_after_an_outage_in_which_no_entry_can_have_expired)
{
    upstream_directory directory({.recovery_grace = 2300ms});
    directory.set_heartbeat(1200ms);
    directory.put(make_upstream("a"), next_stamp());
    directory.put(make_upstream("b"), next_stamp());
    directory.record_store_lost(start() - 100ms, start() - 1600ms);
    directory.remove(base::upstream_id("a"), next_stamp(start() - 50ms));
    BOOST_TEST(directory.usable(engines).size() == 2);
    directory.record_store_recovered(start());

    directory.remove(base::upstream_id("b"), next_stamp(start()));
    directory.expire(start());

    BOOST_TEST(directory.usable(engines).empty());
}

// An entry expires three heartbeats after it was written, up to one and a quarter of them before
// the outage.
BOOST_AUTO_TEST_CASE(removals_are_deferred_after_an_outage_in_which_an_entry_can_have_expired)
{
    upstream_directory directory({.recovery_grace = 2300ms});
    directory.set_heartbeat(1200ms);
    directory.put(make_upstream("a"), next_stamp());
    directory.record_store_lost(start() - 100ms, start() - 2100ms);
    directory.record_store_recovered(start());

    directory.remove(base::upstream_id("a"), next_stamp(start()));
    directory.expire(start() + 2299ms);

    BOOST_TEST(directory.usable(engines).size() == 1);
}

// Upstreams whose entries expired in the first outage couldn't register again in the second.
BOOST_AUTO_TEST_CASE(a_short_outage_soon_after_a_long_one_defers_removals)
{
    upstream_directory directory({.recovery_grace = 2300ms});
    directory.set_heartbeat(1200ms);
    directory.put(make_upstream("a"), next_stamp());
    directory.record_store_lost(start() - 9s, start() - 10s);
    directory.record_store_recovered(start() - 3s);
    directory.remove(base::upstream_id("a"), next_stamp(start() - 3s));
    directory.record_store_lost(start() - 2s, start() - 3s);
    directory.record_store_recovered(start() - 1500ms);

    directory.expire(start());

    BOOST_TEST(directory.usable(engines).size() == 1);
}

BOOST_AUTO_TEST_CASE(a_draining_entry_is_removed_at_once_in_the_grace_period)
{
    upstream_directory directory;
    directory.put(make_upstream("a", true), next_stamp());
    directory.record_store_lost(start() - 5s, start() - 5s);
    directory.record_store_recovered(start());

    directory.remove(base::upstream_id("a"), next_stamp(start() + 1ms));

    BOOST_TEST(directory.size() == 0);
}

BOOST_AUTO_TEST_CASE(an_address_taken_by_another_instance_is_discarded_at_once)
{
    upstream_directory directory;
    directory.put(make_upstream("a"), next_stamp());
    directory.record_store_lost(start() - 5s, start() - 5s);

    directory.discard(base::upstream_id("a"));

    BOOST_TEST(directory.size() == 0);
}

// Guards against a request to an upstream 2.1 s after it announced that it leaves (2 s are
// allowed). A router that was cut off from the store for eight seconds found an entry missing and
// deferred its removal for the 2.3 s of the grace period. Entries don't expire when only one router
// is cut off, unlike in an outage of the store.
BOOST_AUTO_TEST_CASE(removals_apply_at_once_if_only_this_router_was_cut_off)
{
    upstream_directory directory;
    directory.put(make_upstream("a"), next_stamp());
    directory.record_store_lost(start() - 8s, start() - 8s);
    BOOST_TEST(!directory.deferring_outage_start().has_value());
    directory.record_store_recovered(start());
    directory.remove(base::upstream_id("a"), next_stamp(start()));
    BOOST_TEST((directory.deferring_outage_start() == start() - 8s));

    directory.cancel_grace(start());

    BOOST_TEST(directory.usable(engines).empty());
}

// Guards against restoring the previous incarnation of an upstream that has restarted under its id:
// an old entry may arrive late, even after the new incarnation has left.
BOOST_AUTO_TEST_CASE(an_entry_of_a_previous_incarnation_is_ignored)
{
    using change = upstream_directory::change;
    upstream_directory directory;
    const auto entry = [](std::chrono::milliseconds process_start, bool draining)
    {
        return upstream{
            .id = base::upstream_id("i-1"), .draining = draining, .process_start = process_start};
    };
    BOOST_TEST((directory.put(entry(1000ms, true), next_stamp()) == change::same_incarnation));
    BOOST_TEST((directory.put(entry(2000ms, false), next_stamp()) == change::restarted));

    BOOST_TEST((directory.put(entry(1000ms, true), next_stamp()) == change::outdated));
    BOOST_TEST(!directory.find(base::upstream_id("i-1"))->draining);
    directory.discard(base::upstream_id("i-1"));
    BOOST_TEST((directory.put(entry(1000ms, true), next_stamp()) == change::outdated));
    BOOST_TEST(directory.size() == 0);
}

// Guards against a request to an upstream 3 s after it announced that it leaves. A busy router
// takes more than a second to request the changes that a peer announces, so the announcement itself
// has to name the leaving upstreams.
BOOST_AUTO_TEST_CASE(a_leaving_upstream_reported_by_a_peer_is_excluded_at_once_for_a_limited_time)
{
    upstream_directory receiver;
    upstream_directory sender;
    const base::service_id plain("plain");
    upstream entry{.id = base::upstream_id("i-1"), .service = plain, .process_start = 1000ms};
    receiver.put(entry, next_stamp(start()));
    sender.put(entry, next_stamp(start()));
    sender.remove(entry.id, next_stamp());
    const auto reported = sender.leaving(start() + 1s);
    BOOST_REQUIRE(reported.size() == 1);

    receiver.record_leaving(reported[0], start() + 1s);
    BOOST_TEST(receiver.usable(plain).empty());
    receiver.expire(start() + 6s);
    BOOST_TEST(receiver.usable(plain).size() == 1);
    // Another incarnation under the same id is not affected.
    receiver.record_leaving(reported[0], start() + 7s);
    entry.process_start = 2000ms;
    receiver.put(entry, next_stamp(start() + 7s));
    BOOST_TEST(receiver.usable(plain).size() == 1);
    sender.put(entry, next_stamp(start() + 7s));
    BOOST_TEST(sender.leaving(start() + 7s).empty());
}

// Guards against requests to an upstream more than 3 s after it announced that it leaves. A router
// that knew of it lost the store and applied a peer's stale copy: the last update to arrive won
// instead of the last one written.
BOOST_AUTO_TEST_CASE(the_newest_update_of_an_entry_wins_in_any_order_of_arrival)
{
    using change = upstream_directory::change;
    upstream_directory directory;
    const base::upstream_id id("a");
    directory.put(make_upstream("a", true), {.revision = 9, .received = start()});

    BOOST_TEST((directory.put(make_upstream("a"), {.revision = 5, .received = start()}) ==
                change::outdated));
    BOOST_TEST(directory.usable(engines).empty());
    BOOST_TEST((directory.remove(id, {.revision = 12, .received = start()}) ==
                upstream_directory::removal::applied));
    BOOST_TEST((directory.put(make_upstream("a"), {.revision = 11, .received = start()}) ==
                change::outdated));
    BOOST_TEST(directory.size() == 0);
    // The upstream registers again, as after an outage in which its entry expired.
    directory.put(make_upstream("a"), {.revision = 13, .received = start()});
    BOOST_TEST((directory.remove(id, {.revision = 12, .received = start()}) ==
                upstream_directory::removal::outdated));
    BOOST_TEST(directory.usable(engines).size() == 1);
}

// Guards against a router without usable upstreams although some have just started: a listing that
// is overtaken by a peer's newer copy must not remove the entries that it lacks.
BOOST_AUTO_TEST_CASE(a_stale_listing_removes_no_newer_entry)
{
    upstream_directory directory;
    directory.put(make_upstream("a"), {.revision = 5, .received = start()});
    directory.put(make_upstream("b"), {.revision = 9, .received = start()});

    const auto removed = directory.remove_unlisted({}, {.revision = 7, .received = start()});

    BOOST_REQUIRE(removed.size() == 1);
    BOOST_TEST(removed[0].str() == "a");
    BOOST_REQUIRE(directory.usable(engines).size() == 1);
    BOOST_TEST(directory.usable(engines).front()->id.str() == "b");
}

// Guards against repeated requests to an address that another instance has taken: the entry is
// discarded at the refusal, and the next copy from a peer must not restore it.
BOOST_AUTO_TEST_CASE(a_discarded_entry_is_not_restored_by_an_update_received_before)
{
    upstream_directory directory;
    const base::upstream_id id("a");
    directory.put(make_upstream("a"), {.revision = 5, .received = start()});
    directory.discard(id);

    directory.put(make_upstream("a"), {.revision = 5, .received = start()});

    BOOST_TEST(directory.size() == 0);
}

// A missing entry whose removal is deferred is not confirmed by an update older than the removal.
BOOST_AUTO_TEST_CASE(a_stale_update_does_not_cancel_a_deferred_removal)
{
    upstream_directory directory({.recovery_grace = 2300ms});
    directory.put(make_upstream("a"), {.revision = 5, .received = start()});
    directory.record_store_lost(start() - 5s, start() - 5s);
    directory.record_store_recovered(start());
    directory.remove(base::upstream_id("a"), {.revision = 8, .received = start()});

    directory.put(make_upstream("a"), {.revision = 6, .received = start()});
    directory.expire(start() + 2300ms);

    BOOST_TEST(directory.size() == 0);
}

// The records of removed entries have to be evicted at some time, or they would grow without bound.
BOOST_AUTO_TEST_CASE(updates_of_removed_entries_are_evicted_after_the_retention)
{
    upstream_directory directory({.tombstone_retention = 1h});
    directory.put(make_upstream("a"), {.revision = 5, .received = start()});
    directory.remove(base::upstream_id("a"), {.revision = 8, .received = start()});

    directory.expire(start() + 1h - 1ms);
    directory.put(make_upstream("a"), {.revision = 6, .received = start()});
    BOOST_TEST(directory.size() == 0);
    directory.expire(start() + 1h);
    directory.put(make_upstream("a"), {.revision = 6, .received = start()});
    BOOST_TEST(directory.size() == 1);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_announced_its_leaving_stays_excluded_whatever_its_entry_says)
{
    upstream_directory directory;
    directory.put(make_upstream("a"), next_stamp());
    directory.record_announced_leaving(base::upstream_id("a"), start());
    BOOST_TEST(directory.usable(engines).empty());

    directory.put(make_upstream("a"), next_stamp());
    directory.expire(start() + 1min);

    BOOST_TEST(directory.usable(engines).empty());
}

BOOST_AUTO_TEST_CASE(an_announced_leaving_is_reported_to_peers_for_a_limited_time)
{
    upstream_directory directory;
    directory.put(make_upstream("a"), next_stamp());
    directory.record_announced_leaving(base::upstream_id("a"), start());
    directory.put(make_upstream("a"), next_stamp());

    BOOST_REQUIRE(directory.leaving(start() + 1s).size() == 1);
    BOOST_TEST(directory.leaving(start() + 1s).front().id.str() == "a");
    directory.expire(start() + 7s);
    BOOST_TEST(directory.leaving(start() + 7s).empty());
}

BOOST_AUTO_TEST_CASE(a_new_process_is_not_bound_by_the_announcement_of_the_one_before)
{
    upstream_directory directory;
    auto entry = make_upstream("a");
    entry.process_start = 1000ms;
    directory.put(entry, next_stamp());
    directory.record_announced_leaving(entry.id, start());
    entry.process_start = 2000ms;
    directory.put(entry, next_stamp());

    BOOST_TEST(directory.usable(engines).size() == 1);
}

BOOST_AUTO_TEST_CASE(the_removal_of_an_upstream_that_announced_its_leaving_is_not_deferred)
{
    upstream_directory directory;
    directory.put(make_upstream("a"), next_stamp());
    directory.record_announced_leaving(base::upstream_id("a"), start());
    directory.record_store_lost(start(), start());

    directory.remove(base::upstream_id("a"), next_stamp(start() + 1ms));

    BOOST_TEST(directory.size() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
