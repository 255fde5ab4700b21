#include "../config/sample.hpp"
#include "router.hpp"
#include "standin.hpp"

#include <boost/test/unit_test.hpp>

namespace caraway::tests
{

namespace
{

using base::errc;
using config::change_record;
using config::log_record;

constexpr std::chrono::milliseconds often(20);
/// Longer than any test: the head row is read at the start only.
constexpr std::chrono::hours never(1);

struct fixture
{
    standin platform;
    router a{"a", platform.endpoint(), often};
    QByteArray first = config::test::made(config::test::sample_json(1)).bytes();
    QByteArray second = config::test::made(config::test::sample_json(2)).bytes();

    void accept_first()
    {
        BOOST_TEST_REQUIRE(a.propose("ana", "first", 0, first).has_value());
        BOOST_TEST_REQUIRE(a.approve("bela", "first", 0, first).has_value());
    }
    /// Changes of workspaces need no approval in the sample.
    void accept_second()
    {
        BOOST_TEST_REQUIRE(a.propose("ana", "second", 1, second).has_value());
    }
    void set_outage(bool on)
    {
        const QJsonObject switches{{"outage", on}};
        platform.control({{"table", switches}, {"object", switches}});
    }
    std::vector<change_record> open_changes()
    {
        return await<std::vector<change_record>>([&](auto done)
                                                 { a.keeper.queries().changes(done); })
            .value();
    }
};

std::string waits_for(const router& one)
{
    return one.keeper.dump()["waits_for"].toString().toStdString();
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(keeper, fixture)

BOOST_AUTO_TEST_CASE(an_accepted_change_is_in_force_everywhere)
{
    router b("b", platform.endpoint(), often);
    a.keeper.start();
    b.keeper.start();
    BOOST_TEST(
        wait_until([&] { return waits_for(b) == "the first configuration to be accepted"; }));

    BOOST_TEST(!a.propose("ana", "first", 0, first).value().result.accepted_version);
    BOOST_TEST_REQUIRE(open_changes().size() == 1U);
    BOOST_TEST((a.approve("ana", "first", 0, first).error().code == errc::permission_denied));
    BOOST_TEST((a.approve("bela", "first", 0, second).error().code == errc::conflict));
    BOOST_TEST(a.in_force.empty());

    const auto accepted = a.approve("bela", "first", 0, first);
    BOOST_TEST((accepted.value().result.accepted_version == base::config_version{1}));
    // At once, not at the next read of the head row.
    BOOST_TEST((a.in_force == std::vector<std::uint64_t>{1}));
    BOOST_TEST(b.wait_for(1));
    BOOST_TEST(waits_for(b) == "nothing");
    BOOST_TEST((b.keeper.current_document()->bytes() == first));
    BOOST_TEST(open_changes().empty());
}

BOOST_AUTO_TEST_CASE(the_log_and_former_documents_can_be_read)
{
    accept_first();
    accept_second();
    const auto log = [this](std::size_t most)
    {
        return await<std::vector<log_record>>([&](auto done)
                                              { a.keeper.queries().log(most, done); })
            .value();
    };
    BOOST_TEST_REQUIRE(log(10).size() == 2U);
    BOOST_TEST_REQUIRE(log(1).size() == 1U);
    BOOST_TEST((log(1)[0].version == base::config_version{2}));
    const auto show = [this](std::uint64_t version)
    {
        return await<carawayd::configuration::stored_document>(
            [&](auto done) { a.keeper.queries().show(base::config_version{version}, done); });
    };
    BOOST_TEST((show(1).value().bytes == first));
    BOOST_TEST((show(3).error().code == errc::not_found));
}

// Symptom: an accepted change is in force at one router only, for as long as the outage lasts.
// Sequence: router a accepts; the platform goes out; b, which follows the head row, hears of the
// version by gossip; c starts cold.
// Cause: the document is asked for at the platform alone.
BOOST_AUTO_TEST_CASE(through_an_outage_versions_come_from_peers)
{
    router b("b", platform.endpoint(), never);
    accept_first();
    b.keeper.start();
    BOOST_TEST(b.wait_for(1));

    accept_second();
    set_outage(true);
    BOOST_TEST((a.in_force == std::vector<std::uint64_t>{1, 2}));
    a.tell(b);
    BOOST_TEST(b.wait_for(2));

    router c("c", platform.endpoint(), often);
    c.keeper.start();
    BOOST_TEST(wait_until(
        [&] { return !c.keeper.dump()["head"].toObject()["error"].toString().isEmpty(); }));
    BOOST_TEST(waits_for(c) == "the platform or a peer to say which version is accepted");
    BOOST_TEST(!c.keeper.current());
    b.tell(c);
    BOOST_TEST(c.wait_for(2));
    BOOST_TEST(waits_for(c) == "the platform to answer; peers' versions are taken");

    set_outage(false);
    BOOST_TEST(wait_until([&] { return waits_for(c) == "nothing"; }));
    BOOST_TEST(c.in_force.size() == 1U);
}

// Symptom: a router waits for the object store though a peer could have helped long ago.
// Sequence: it reads the head row, then the object store hangs; a peer tells of the version.
// Cause: a version counts as being fetched, so the peer's word is dropped.
BOOST_AUTO_TEST_CASE(a_peer_helps_while_the_object_store_hangs)
{
    accept_first();
    platform.control({{"object", QJsonObject{{"hang", true}}}});
    router b("b", platform.endpoint(), never);
    b.keeper.start();
    BOOST_TEST(wait_until(
        [&] { return waits_for(b) == "the document of version 1 from the object store"; }));
    a.tell(b);
    BOOST_TEST((b.in_force == std::vector<std::uint64_t>{1}));
}

// Symptom: a router runs a document that nobody accepted, or never gets the accepted one.
// Sequence: of the peers that tell of a version one is silent and one gives other bytes.
// Cause: what a peer gives is taken as it comes, or is waited for without a bound.
BOOST_AUTO_TEST_CASE(silent_and_wrong_peers_are_passed_over)
{
    accept_first();
    set_outage(true);
    router b("b", platform.endpoint(), often);
    b.peers["silent"] = [](const auto&, const auto&) {
    };
    b.peers["wrong"] = [this](const auto&, const auto& done)
    {
        done(second);
    };
    const auto hash = config::sha256(first);
    b.keeper.on_peer_version(base::node_id("silent"), base::config_version{1}, hash);
    b.keeper.on_peer_version(base::node_id("wrong"), base::config_version{1}, hash);
    BOOST_TEST(wait_until([&] { return waits_for(b).starts_with("the next attempt"); }));
    BOOST_TEST(b.in_force.empty());

    set_outage(false);
    BOOST_TEST_REQUIRE(b.wait_for(1));
    BOOST_TEST((b.keeper.current_document()->bytes() == first));
}

// Symptom: a router that can't read the accepted document fetches it every few seconds.
// Sequence: newer routers accept a document with a member that this one doesn't know.
// Cause: every failure to put a version in force was taken for one that may pass.
BOOST_AUTO_TEST_CASE(an_unreadable_document_is_fetched_once)
{
    const QByteArray newer = R"({"unknown":{}})";
    const std::string hash = config::sha256(newer);
    const auto stored = await<void>(
        [&](auto done) { a.client.put_object(config::object_name(hash), newer, done); });
    BOOST_TEST_REQUIRE(stored.has_value());
    const auto head = await<net::row_revision>(
        [&](auto done)
        {
            a.client.put({.pk = "config",
                          .sk = "head",
                          .body = {{"version", 1},
                                   {"hash", QString::fromStdString(hash)},
                                   {"change", "first"}}},
                         net::write_condition::absent(), done);
        });
    BOOST_TEST_REQUIRE(head.has_value());
    a.keeper.start();
    BOOST_TEST(wait_until([&] { return waits_for(a).starts_with("a newer version"); }));
    const int looks = platform.count("table", "GetItem");
    BOOST_TEST(wait_until([&] { return platform.count("table", "GetItem") > looks + 2; }));
    BOOST_TEST(platform.count("object", "GetObject") == 1);
    BOOST_TEST(!a.keeper.current());
}

// Symptom: a configuration reverts.
// Sequence: version 2 is in force; a peer that was cut off tells of version 1, and the platform
// comes back with a head row of before.
// Cause: the newest word is taken for the newest version.
BOOST_AUTO_TEST_CASE(a_lower_version_is_never_taken)
{
    accept_first();
    accept_second();
    router b("b", platform.endpoint(), often);
    b.keeper.start();
    BOOST_TEST(b.wait_for(2));
    b.peers["old"] = [this](const auto&, const auto& done)
    {
        done(first);
    };
    b.keeper.on_peer_version(base::node_id("old"), base::config_version{1}, config::sha256(first));

    const net::platform_row head =
        await<net::platform_row>([&](auto done) { b.client.get("config", "head", done); }).value();
    net::platform_row restored = head;
    restored.body["version"] = 1;
    restored.body["hash"] = QString::fromStdString(config::sha256(first));
    const auto written = await<net::row_revision>(
        [&](auto done) { b.client.put(restored, net::write_condition::none(), done); });
    BOOST_TEST_REQUIRE(written.has_value());
    BOOST_TEST(
        wait_until([&] { return b.keeper.dump()["head"].toObject()["version"].toInt() == 1; }));
    BOOST_TEST((b.in_force == std::vector<std::uint64_t>{2}));
    // Nor is anything accepted on top of it.
    BOOST_TEST((b.propose("ana", "third", 1, first).error().code == errc::corrupt));
}

// Symptom: an accepted change is reported as failed, and proposed a second time.
// Sequence: the platform carries out the writes of an approval; the replies are lost.
// Cause: no answer was taken for "no effect".
BOOST_AUTO_TEST_CASE(lost_replies_of_an_acceptance_are_resolved)
{
    BOOST_TEST_REQUIRE(a.propose("ana", "first", 0, first).has_value());
    platform.control({{"table", QJsonObject{{"lose_replies", 2}}}});
    const auto accepted = a.approve("bela", "first", 0, first);
    BOOST_TEST((accepted.value().result.accepted_version == base::config_version{1}));
    BOOST_TEST((a.in_force == std::vector<std::uint64_t>{1}));
    BOOST_TEST(platform.count("table", "TransactWriteItems") == 1);

    // Repeated, it says the same again.
    BOOST_TEST((a.approve("bela", "first", 0, first).value().result.accepted_version ==
                base::config_version{1}));
    BOOST_TEST(a.in_force.size() == 1U);
}

// Symptom: the list of open changes fills up with such that have ended long ago.
// Sequence: a router dies between the end of a change and the removal of its row in the list.
// Cause: the two are not one write.
BOOST_AUTO_TEST_CASE(a_listing_drops_what_has_ended)
{
    accept_first();
    for (const char* id : {"first", "none"})
    {
        const auto listed =
            await<bool>([&](auto done)
                        { a.keeper.queries().list(base::change_id(id), [done] { done(true); }); });
        BOOST_TEST_REQUIRE(listed.has_value());
    }
    BOOST_TEST(open_changes().empty());
    BOOST_TEST(wait_until([&] { return platform.count("table", "DeleteItem") >= 3; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace caraway::tests
