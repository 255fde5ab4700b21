#define BOOST_TEST_MODULE wire
#include "generators.hpp"

#include "libcaraway/membership/expiring_set.hpp"
#include "libcaraway/membership/message_size.hpp"
#include "libcaraway/wire/codec.hpp"
#include "libcaraway/wire/sealing.hpp"

#include <QCborStreamWriter>

#include <boost/test/unit_test.hpp>

using namespace caraway;
using wire::envelope;

namespace
{

/// RapidCheck itself prints the counterexample.
template <class Property>
void check_property(const std::string& description, Property property)
{
    BOOST_TEST(rc::check(description, property));
}

base::node_ref node(const char* id, std::uint64_t incarnation)
{
    return {.id = base::node_id(id), .life = base::incarnation{incarnation}};
}

/// An envelope with messages of several kinds and no empty lists.
envelope sample_envelope()
{
    membership::gossip gossip{
        .configuration = base::config_version{7},
        .newest = {.version = base::config_version{8},
                   .hash = std::string(64, 'c'),
                   .holder = base::node_id("b")},
        .updates = {{.node = node("c", 5),
                     .judged = membership::verdict::suspect,
                     .accuser = base::node_id("a"),
                     .details = membership::member_details{.peer = {"10.0.0.3", 1}}}},
        .samples = {{.node = base::node_id("d"), .age_ms = 9}},
        .entries = {{.fingerprint = ~0ULL, .count = 2, .ttl_ms = 3}}};
    scheduling::router_report report;
    report.demands.emplace_back().head_cost = base::cost(0.5);
    report.holdings.emplace_back().held = 2;
    report.view = 11;
    report.declined.push_back(base::grant_number{4});
    report.ejected.emplace_back("runner-1");
    scheduling::grant_list grants;
    grants.grants.emplace_back().number = base::grant_number{3};
    grants.free.emplace_back().free = 5;
    scheduling::totals_report totals;
    totals.totals.emplace_back().total = base::cost(-1);
    totals.wanted.emplace_back();
    totals.floors.emplace_back().floor = base::virtual_time(2.5);
    scheduling::totals_reply sums;
    sums.sums.emplace_back().lift = base::cost(1e300);
    sums.floors.emplace_back().floor = base::virtual_time(-3);
    return {.from = node("a", 1'700'000'000'000),
            .to = node("b", 0),
            .messages = {membership::message(gossip),
                         membership::message(membership::probe{.sequence = 1}),
                         membership::message(membership::probe_request{.target = node("c", 5)}),
                         membership::message(membership::sync_reply{.members = gossip.updates}),
                         report, grants, totals, sums}};
}

wire::key_ring ring(std::uint8_t active)
{
    return {.active = wire::key_id{active},
            .keys = {{wire::key_id{1}, "first secret"}, {wire::key_id{2}, "second secret"}}};
}

template <class Message>
std::size_t encoded_size(Message message)
{
    const envelope empty_envelope{.from = node("a", 1), .to = {}, .messages = {}};
    auto full_envelope = empty_envelope;
    full_envelope.messages.push_back(membership::message(std::move(message)));
    return static_cast<std::size_t>(wire::encode(full_envelope).size() -
                                    wire::encode(empty_envelope).size());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(damaged_input)

// Guards against a reader that trusts lengths: a datagram truncated in transit whose seal was not
// checked would crash or hang the router, or a partial state would be taken for the whole state.
BOOST_AUTO_TEST_CASE(truncated_envelopes_are_errors)
{
    const QByteArray encoded = wire::encode(sample_envelope());
    BOOST_REQUIRE(wire::decode(encoded).has_value());
    for (qsizetype size = 0; size < encoded.size(); ++size)
    {
        BOOST_TEST(wire::decode(encoded.first(size)).has_error());
    }
}

BOOST_AUTO_TEST_CASE(any_byte_changed_gives_a_value_or_an_error)
{
    const QByteArray encoded = wire::encode(sample_envelope());
    for (qsizetype offset = 0; offset < encoded.size(); ++offset)
    {
        for (const int flip_mask : {0x01, 0x1f, 0x20, 0x80, 0xff})
        {
            QByteArray changed = encoded;
            changed[offset] = static_cast<char>(changed[offset] ^ flip_mask);
            const auto decoded = wire::decode(changed);
            BOOST_TEST((decoded.has_value() || !decoded.error().message.empty()));
        }
    }
}

// Guards against memory exhaustion by one datagram: lengths must be checked before an allocation.
BOOST_AUTO_TEST_CASE(claimed_lengths_are_checked)
{
    const QByteArray head = QByteArray::fromHex("8601");
    for (const char* claim : {"9affffffff", "9bffffffffffffffff", "7affffffff",
                              "7bffffffffffffffff", "5bffffffffffffffff", "9f", "7f"})
    {
        BOOST_TEST(wire::decode(QByteArray::fromHex(claim)).has_error());
        BOOST_TEST(wire::decode(head + QByteArray::fromHex(claim)).has_error());
    }
    BOOST_TEST(wire::decode(QByteArray(100'000, '\x81')).has_error());
    BOOST_TEST(wire::decode(QByteArray(30'000, '\x81')).has_error());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(seals)

// Guards against forged datagrams: an attacker on the network without a key could otherwise
// declare routers dead or grant slots.
BOOST_AUTO_TEST_CASE(forged_or_changed_datagrams_are_rejected)
{
    const QByteArray sealed = wire::seal(ring(1), wire::encode(sample_envelope()));
    for (qsizetype offset = 0; offset < sealed.size(); ++offset)
    {
        QByteArray forged = sealed;
        forged[offset] = static_cast<char>(forged[offset] ^ 1);
        BOOST_TEST(wire::open(ring(1), forged).has_error());
    }
    for (qsizetype size = 0; size < sealed.size(); ++size)
    {
        BOOST_TEST(wire::open(ring(1), sealed.first(size)).has_error());
    }
    wire::key_ring foreign_ring{.active = wire::key_id{1}, .keys = {{wire::key_id{1}, "guess"}}};
    BOOST_TEST((wire::open(ring(1), wire::seal(foreign_ring, "x")).error().code ==
                base::errc::unauthenticated));
}

BOOST_AUTO_TEST_CASE(old_and_new_key_are_valid_during_a_rotation)
{
    BOOST_TEST((wire::open(ring(1), wire::seal(ring(2), "payload")).value() == "payload"));
    BOOST_TEST((wire::open(ring(2), wire::seal(ring(1), "payload")).value() == "payload"));
    auto retired = ring(2);
    retired.keys.erase(wire::key_id{1});
    BOOST_TEST(wire::open(retired, wire::seal(ring(1), "payload")).has_error());
    BOOST_TEST(wire::seal(ring(1), "payload").size() == 7 + qsizetype{wire::seal_bytes});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(format)

BOOST_AUTO_TEST_CASE(every_envelope_survives_the_round_trip)
{
    check_property("decode(encode(x)) == x",
                   [](const envelope& value)
                   {
                       const QByteArray bytes = wire::encode(value);
                       RC_PRE(static_cast<std::size_t>(bytes.size()) <= wire::max_datagram_bytes);
                       const auto decoded = wire::decode(bytes);
                       RC_ASSERT(decoded.has_value());
                       RC_ASSERT(decoded.value() == value);
                   });
    BOOST_TEST((wire::decode(wire::encode(sample_envelope())).value() == sample_envelope()));
}

// During a rolling upgrade two versions exchange messages.
BOOST_AUTO_TEST_CASE(unknown_kinds_and_appended_fields_are_skipped)
{
    QByteArray bytes;
    QCborStreamWriter out(&bytes);
    const auto start = [&out](std::initializer_list<std::uint64_t> integers, std::size_t extra)
    {
        out.startArray(integers.size() + extra);
        for (const auto integer : integers)
        {
            out.append(static_cast<quint64>(integer));
        }
    };
    start({1}, 6);
    for (const char* id : {"a", "b"})
    {
        out.appendTextString(id, 1);
        out.append(9U);
    }
    out.startArray(3);
    start({99}, 1);  // An unknown kind that contains a map.
    out.startMap(1);
    out.append(1U);
    start({2, 3}, 0);
    out.endArray();
    out.endMap();
    out.endArray();
    start({1, 42}, 1);  // A probe with an appended field.
    out.appendTextString("appended", 8);
    out.endArray();
    start({2, 43}, 0);
    out.endArray();
    out.endArray();
    out.append(77U);  // A field appended to the envelope.
    out.endArray();

    const auto decoded = wire::decode(bytes);
    BOOST_REQUIRE(decoded.has_value());
    const std::vector<wire::message> expected{membership::message(membership::probe{42}),
                                              membership::message(membership::probe_ack{43})};
    BOOST_TEST((decoded.value().messages == expected));
    bytes[1] = 2;  // The format version.
    BOOST_TEST(wire::decode(bytes).has_error());
}

BOOST_AUTO_TEST_CASE(packing_keeps_all_messages_in_order_and_the_size)
{
    check_property("pack",
                   [](const envelope& value)
                   {
                       constexpr std::size_t target = 600;
                       std::vector<wire::message> unpacked;
                       for (const auto& bytes : wire::pack(value, target))
                       {
                           RC_PRE(static_cast<std::size_t>(bytes.size()) <=
                                  wire::max_datagram_bytes);
                           const auto piece = wire::decode(bytes);
                           RC_ASSERT(piece.has_value());
                           RC_ASSERT((piece.value().messages.size() == 1 ||
                                      static_cast<std::size_t>(bytes.size()) <= target));
                           unpacked.insert(unpacked.end(), piece.value().messages.begin(),
                                           piece.value().messages.end());
                       }
                       RC_ASSERT(unpacked == value.messages);
                   });
}

BOOST_AUTO_TEST_CASE(datagrams_for_another_incarnation_are_rejected)
{
    const auto self = node("a", 5);
    BOOST_TEST(wire::is_addressed_to({}, self));
    BOOST_TEST(wire::is_addressed_to(node("a", 0), self));
    BOOST_TEST(wire::is_addressed_to(node("a", 5), self));
    BOOST_TEST(!wire::is_addressed_to(node("a", 4), self));
    BOOST_TEST(!wire::is_addressed_to(node("b", 5), self));
}

// Membership fills messages up to these bounds; a bound that is too small makes datagrams too
// large.
BOOST_AUTO_TEST_CASE(size_bounds_hold)
{
    check_property("size_bound",
                   [](const membership::gossip& value)
                   {
                       std::size_t bound = membership::gossip_header_bound(value.newest);
                       for (const auto& update : value.updates)
                       {
                           bound += membership::size_bound(update);
                       }
                       for (const auto& load_sample : value.samples)
                       {
                           bound += membership::size_bound(load_sample);
                       }
                       bound += value.entries.size() *
                                membership::expiring_set_options{}.bytes_per_entry;
                       RC_ASSERT(encoded_size(value) <= bound);
                   });
    check_property("size_bound of the others",
                   [](const membership::message& value)
                   {
                       RC_PRE(!std::holds_alternative<membership::gossip>(value));
                       RC_ASSERT(encoded_size(value) <= membership::size_bound(value));
                   });
}

BOOST_AUTO_TEST_SUITE_END()
