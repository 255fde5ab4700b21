#include "libcaraway/routing/upstream_directory.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using routing::upstream;
using routing::upstream_directory;

namespace
{

const base::service_id engines("engines");

upstream make(const std::string& id, bool draining = false)
{
    return {.id = base::upstream_id(id), .service = engines, .draining = draining};
}

base::time_point start()
{
    return base::time_point(1h);
}

/// Each newer than the one before, as the store tells them.
routing::update_stamp next(base::time_point received = start())
{
    static std::uint64_t revision = 100;
    return {.revision = ++revision, .received = received};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(upstream_directories)

BOOST_AUTO_TEST_CASE(a_draining_upstream_gets_no_new_request)
{
    upstream_directory directory;
    directory.put(make("a"), next());
    directory.put(make("b", true), next());

    BOOST_REQUIRE(directory.usable(engines).size() == 1);
    BOOST_TEST(directory.usable(engines).front()->id.str() == "a");
}

BOOST_AUTO_TEST_CASE(a_removed_upstream_gets_no_new_request)
{
    upstream_directory directory;
    directory.put(make("a"), next());

    directory.remove(base::upstream_id("a"), next(start()));

    BOOST_TEST(directory.usable(engines).empty());
}

// Symptom: after an outage of the store every request was refused for two seconds, though all
// upstreams lived.
// Sequence: the store was away; the entries lapsed, as no upstream could refresh its own; the store
// came back and its listing was empty; two seconds later the upstreams had registered anew.
// Cause: an entry that lapsed during the outage was taken for an upstream that leaves.
BOOST_AUTO_TEST_CASE(entries_that_lapsed_during_an_outage_are_believed_gone_only_after_the_grace)
{
    upstream_directory directory({.recovery_grace = 2300ms});
    directory.put(make("a"), next());
    directory.put(make("b"), next());
    directory.record_store_lost(start() - 5s);
    directory.record_store_recovered(start());

    directory.remove_unlisted({}, next());
    directory.expire(start() + 2299ms);
    BOOST_TEST(directory.usable(engines).size() == 2);

    directory.put(make("a"), next());
    directory.expire(start() + 2300ms);
    BOOST_REQUIRE(directory.usable(engines).size() == 1);
    BOOST_TEST(directory.usable(engines).front()->id.str() == "a");
}

BOOST_AUTO_TEST_CASE(a_draining_entry_that_disappears_in_the_grace_is_gone)
{
    upstream_directory directory;
    directory.put(make("a", true), next());
    directory.record_store_lost(start() - 5s);
    directory.record_store_recovered(start());

    directory.remove(base::upstream_id("a"), next(start() + 1ms));

    BOOST_TEST(directory.size() == 0);
}

BOOST_AUTO_TEST_CASE(an_address_that_another_instance_has_is_forgotten_at_once)
{
    upstream_directory directory;
    directory.put(make("a"), next());
    directory.record_store_lost(start() - 5s);

    directory.discard(base::upstream_id("a"));

    BOOST_TEST(directory.size() == 0);
}

// Symptom: a request reached an upstream 2.1 s after it had said that it leaves (2 s are allowed).
// Sequence: a router was cut from the store for eight seconds; it came back, saw that an upstream
// was gone, and waited for the entry to come back for the 2.3 s that it waits after an outage.
// Cause: a router's own cut was taken for an outage of the store, in which entries lapse.
BOOST_AUTO_TEST_CASE(what_is_missing_after_a_cut_of_this_router_alone_is_gone_at_once)
{
    upstream_directory directory;
    directory.put(make("a"), next());
    directory.record_store_lost(start() - 8s);
    BOOST_TEST(!directory.deferring_outage_start().has_value());
    directory.record_store_recovered(start());
    directory.remove(base::upstream_id("a"), next(start()));
    BOOST_TEST((directory.deferring_outage_start() == start() - 8s));

    directory.cancel_grace(start());

    BOOST_TEST(directory.usable(engines).empty());
}

// Symptom: an upstream's earlier life was believed again.
// Sequence: it started anew under its id; an entry of before arrived late, also after it had left.
BOOST_AUTO_TEST_CASE(an_entry_of_an_earlier_life_changes_nothing)
{
    using change = upstream_directory::change;
    upstream_directory directory;
    const auto entry = [](std::chrono::milliseconds process_start, bool draining)
    {
        return upstream{
            .id = base::upstream_id("i-1"), .draining = draining, .process_start = process_start};
    };
    BOOST_TEST((directory.put(entry(1000ms, true), next()) == change::same_incarnation));
    BOOST_TEST((directory.put(entry(2000ms, false), next()) == change::restarted));

    BOOST_TEST((directory.put(entry(1000ms, true), next()) == change::outdated));
    BOOST_TEST(!directory.find(base::upstream_id("i-1"))->draining);
    directory.discard(base::upstream_id("i-1"));
    BOOST_TEST((directory.put(entry(1000ms, true), next()) == change::outdated));
    BOOST_TEST(directory.size() == 0);
}

// Symptom: a busy router sent a request to an upstream 3 s after that had said that it leaves.
// Sequence: peers told it that something had changed; it took a second and more to ask them what.
// Cause: that an upstream leaves wasn't told with the first word.
BOOST_AUTO_TEST_CASE(what_a_peer_says_of_one_that_leaves_holds_at_once_and_for_a_while)
{
    upstream_directory here;
    upstream_directory there;
    const base::service_id plain("plain");
    upstream entry{.id = base::upstream_id("i-1"), .service = plain, .process_start = 1000ms};
    here.put(entry, next(start()));
    there.put(entry, next(start()));
    there.remove(entry.id, next());
    const auto told = there.leaving(start() + 1s);
    BOOST_REQUIRE(told.size() == 1);

    here.record_leaving(told[0], start() + 1s);
    BOOST_TEST(here.usable(plain).empty());
    here.expire(start() + 6s);
    BOOST_TEST(here.usable(plain).size() == 1);
    // Another life under the same id isn't meant.
    here.record_leaving(told[0], start() + 7s);
    entry.process_start = 2000ms;
    here.put(entry, next(start() + 7s));
    BOOST_TEST(here.usable(plain).size() == 1);
    there.put(entry, next(start() + 7s));
    BOOST_TEST(there.leaving(start() + 7s).empty());
}

// Symptom: requests reached an upstream more than 3 s after it had said that it leaves.
// Sequence: a router knew that; it lost the store and took over a peer's copy, which was older.
// Cause: what came last was believed, not what had been written last.
BOOST_AUTO_TEST_CASE(of_an_entry_the_newest_statement_counts_whenever_it_comes)
{
    using change = upstream_directory::change;
    upstream_directory directory;
    const base::upstream_id id("a");
    directory.put(make("a", true), {.revision = 9, .received = start()});

    BOOST_TEST(
        (directory.put(make("a"), {.revision = 5, .received = start()}) == change::outdated));
    BOOST_TEST(directory.usable(engines).empty());
    BOOST_TEST((directory.remove(id, {.revision = 12, .received = start()}) ==
                upstream_directory::removal::applied));
    BOOST_TEST(
        (directory.put(make("a"), {.revision = 11, .received = start()}) == change::outdated));
    BOOST_TEST(directory.size() == 0);
    // It registered anew, as after an outage in which its entry lapsed.
    directory.put(make("a"), {.revision = 13, .received = start()});
    BOOST_TEST((directory.remove(id, {.revision = 12, .received = start()}) ==
                upstream_directory::removal::outdated));
    BOOST_TEST(directory.usable(engines).size() == 1);
}

// Symptom: a router had no place for requests though upstreams had just started.
// Sequence: a listing was read; before it came in, a peer's newer copy was taken over.
// Cause: what an older listing lacks was taken for gone.
BOOST_AUTO_TEST_CASE(an_older_listing_removes_nothing_that_is_newer)
{
    upstream_directory directory;
    directory.put(make("a"), {.revision = 5, .received = start()});
    directory.put(make("b"), {.revision = 9, .received = start()});

    const auto removed = directory.remove_unlisted({}, {.revision = 7, .received = start()});

    BOOST_REQUIRE(removed.size() == 1);
    BOOST_TEST(removed[0].str() == "a");
    BOOST_REQUIRE(directory.usable(engines).size() == 1);
    BOOST_TEST(directory.usable(engines).front()->id.str() == "b");
}

// Symptom: an upstream that had refused as another instance got requests again and again.
// Sequence: it was dropped at the refusal; the next copy of a peer named it once more.
BOOST_AUTO_TEST_CASE(what_was_said_before_it_refused_as_another_instance_brings_it_back_no_more)
{
    upstream_directory directory;
    const base::upstream_id id("a");
    directory.put(make("a"), {.revision = 5, .received = start()});
    directory.discard(id);

    directory.put(make("a"), {.revision = 5, .received = start()});

    BOOST_TEST(directory.size() == 0);
}

// An entry that lapsed and waits for the end of the grace isn't confirmed by an older statement.
BOOST_AUTO_TEST_CASE(an_older_statement_does_not_end_the_wait_of_a_missing_entry)
{
    upstream_directory directory({.recovery_grace = 2300ms});
    directory.put(make("a"), {.revision = 5, .received = start()});
    directory.record_store_lost(start() - 5s);
    directory.record_store_recovered(start());
    directory.remove(base::upstream_id("a"), {.revision = 8, .received = start()});

    directory.put(make("a"), {.revision = 6, .received = start()});
    directory.expire(start() + 2300ms);

    BOOST_TEST(directory.size() == 0);
}

// What was said of entries that are gone is forgotten some time, or it would grow for ever.
BOOST_AUTO_TEST_CASE(statements_about_entries_that_are_gone_are_forgotten_after_long)
{
    upstream_directory directory({.tombstone_retention = 1h});
    directory.put(make("a"), {.revision = 5, .received = start()});
    directory.remove(base::upstream_id("a"), {.revision = 8, .received = start()});

    directory.expire(start() + 1h - 1ms);
    directory.put(make("a"), {.revision = 6, .received = start()});
    BOOST_TEST(directory.size() == 0);
    directory.expire(start() + 1h);
    directory.put(make("a"), {.revision = 6, .received = start()});
    BOOST_TEST(directory.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
