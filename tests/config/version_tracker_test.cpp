#include "sample.hpp"

#include "libcaraway/config/version_tracker.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace caraway::config;
using namespace caraway::config::test;
using base::errc;

namespace
{

struct published
{
    version_ref ref;
    QByteArray bytes;
};

/// A different document for each version.
published version(std::uint64_t number)
{
    const document one = made(sample_json(static_cast<double>(number)));
    return {{base::config_version(number), one.hash()}, one.bytes()};
}

const published v1 = version(1);
const published v2 = version(2);
const published v3 = version(3);

bool starts_fetch(version_tracker& tracker, const version_ref& announced,
                  version_source source = version_source::peer)
{
    const auto offered = tracker.offer(announced, source);
    return offered && offered.value() == announced;
}

bool offer_and_fetch(version_tracker& tracker, const published& one)
{
    return starts_fetch(tracker, one.ref) && tracker.fetched(one.ref.version, one.bytes);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(version_trackers)

// Guards against an isolated router that reverts the fleet to an old configuration. Sequence: the
// router rejoins and gossips its version to routers that have a newer one.
BOOST_AUTO_TEST_CASE(an_old_version_never_replaces_a_newer_one)
{
    version_tracker tracker;
    BOOST_TEST_REQUIRE(offer_and_fetch(tracker, v2));
    BOOST_TEST(!starts_fetch(tracker, v1.ref));
    BOOST_TEST(!starts_fetch(tracker, v1.ref, version_source::platform));
    BOOST_TEST(tracker.fetched(v1.ref.version, v1.bytes).has_error());
    BOOST_TEST((tracker.in_force()->version == v2.ref.version));
    BOOST_TEST(offer_and_fetch(tracker, v3));
    BOOST_TEST(tracker.in_force()->content.workspaces.begin()->second.weight.value() == 3);
}

// Guards against two routers that apply different configurations under one version number.
BOOST_AUTO_TEST_CASE(another_document_under_a_known_version_is_refused)
{
    version_tracker tracker;
    BOOST_TEST_REQUIRE(offer_and_fetch(tracker, v2));
    const version_ref forged{v2.ref.version, v3.ref.hash};
    const auto refused = tracker.offer(forged, version_source::platform);
    BOOST_TEST_REQUIRE(refused.has_error());
    BOOST_TEST((refused.error().code == errc::corrupt));
    BOOST_TEST(tracker.in_force()->hash == v2.ref.hash);
}

// Guards against a router that waits forever for a document that doesn't exist. Sequence: a peer
// announces a wrong hash, then the platform announces the right one.
BOOST_AUTO_TEST_CASE(the_platform_outranks_a_peer_for_what_is_not_in_force_yet)
{
    version_tracker tracker;
    const version_ref wrong{v2.ref.version, v3.ref.hash};
    BOOST_TEST(starts_fetch(tracker, wrong));
    BOOST_TEST(tracker.offer(v2.ref, version_source::peer).has_error());
    BOOST_TEST(starts_fetch(tracker, v2.ref, version_source::platform));
    BOOST_TEST(tracker.offer(wrong, version_source::peer).has_error());
    BOOST_TEST(tracker.fetched(v2.ref.version, v3.bytes).has_error());
    BOOST_TEST(starts_fetch(tracker, v2.ref));
    BOOST_TEST(tracker.fetched(v2.ref.version, v2.bytes).has_value());
}

// Guards against a truncated document in force. Cause: it was truncated in transit or in the store.
BOOST_AUTO_TEST_CASE(bytes_that_do_not_match_are_refused_and_asked_for_again)
{
    version_tracker tracker;
    BOOST_TEST_REQUIRE(starts_fetch(tracker, v2.ref));
    const auto refused = tracker.fetched(v2.ref.version, v2.bytes.left(v2.bytes.size() / 2));
    BOOST_TEST_REQUIRE(refused.has_error());
    BOOST_TEST((refused.error().code == errc::corrupt));
    BOOST_TEST(!tracker.ready());
    BOOST_TEST((tracker.retry() == v2.ref));
    BOOST_TEST(!tracker.retry());
    BOOST_TEST(tracker.fetched(v2.ref.version, v2.bytes).has_value());
}

// Guards against a cold router that is ready without a configuration, or with an unannounced one.
BOOST_AUTO_TEST_CASE(a_cold_router_is_ready_only_with_an_announced_version)
{
    version_tracker tracker;
    BOOST_TEST(!tracker.offer({}, version_source::platform).value());
    BOOST_TEST(tracker.fetched(v1.ref.version, v1.bytes).has_error());
    BOOST_TEST(!tracker.ready());
    BOOST_TEST(starts_fetch(tracker, v3.ref));
    BOOST_TEST(!starts_fetch(tracker, v3.ref));
    BOOST_TEST(!starts_fetch(tracker, v2.ref));  // v3 is being fetched.
    tracker.fetch_failed(v3.ref);
    BOOST_TEST(offer_and_fetch(tracker, v2));
    BOOST_TEST(tracker.ready());
    BOOST_TEST((tracker.newest_known() == v3.ref.version));
    BOOST_TEST((tracker.retry() == v3.ref));
}

// Guards against changes in quick succession of which none comes into force. Cause: each offer
// makes the document that is being fetched obsolete.
BOOST_AUTO_TEST_CASE(a_fetch_that_is_overtaken_still_counts)
{
    version_tracker tracker;
    BOOST_TEST(starts_fetch(tracker, v1.ref));
    BOOST_TEST(starts_fetch(tracker, v2.ref));
    BOOST_TEST(tracker.fetched(v1.ref.version, v1.bytes).has_value());
    BOOST_TEST(starts_fetch(tracker, v3.ref));
    BOOST_TEST(tracker.fetched(v3.ref.version, v3.bytes).has_value());
    BOOST_TEST(tracker.fetched(v2.ref.version, v2.bytes).has_error());
    BOOST_TEST((tracker.in_force()->version == v3.ref.version));
}

BOOST_AUTO_TEST_SUITE_END()
