// The encoded form of digests, held against documents that are built and read by another library.
#include "libcaraway/routing/cbor_reader.hpp"
#include "libcaraway/routing/digest.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <cmath>
#include <random>

using namespace caraway;
using namespace std::chrono_literals;
using namespace caraway::routing;
using nlohmann::json;

namespace
{

constexpr std::size_t field_count = 26;

json document_of(const endpoint& address)
{
    return json::array({address.ip, address.port});
}

template <class Items, class DocumentOf>
json array_of(const Items& items, const DocumentOf& document_of_item)
{
    auto out = json::array();
    for (const auto& each : items)
    {
        out.push_back(document_of_item(each));
    }
    return out;
}

json document_of(const workspace_usages& usages)
{
    return array_of(usages,
                    [](const auto& entry)
                    {
                        const auto& [id, usage] = entry;
                        auto out =
                            json::array({id.str(), static_cast<std::uint64_t>(usage.demanded),
                                         static_cast<std::uint64_t>(usage.served)});
                        if (usage.refused > 0)
                        {
                            out.push_back(static_cast<std::uint64_t>(usage.refused));
                            out.push_back(static_cast<std::uint64_t>(usage.held_by_engines));
                            out.push_back(static_cast<std::uint64_t>(usage.held_by_processor));
                            out.push_back(static_cast<std::uint64_t>(usage.serving_rate));
                        }
                        return out;
                    });
}

json document_of(const std::vector<attempts::suspect_entry>& suspects)
{
    return array_of(
        suspects,
        [](const auto& each)
        {
            const auto upstreams =
                array_of(each.crashes, [](const auto& crash)
                         { return json(static_cast<std::uint32_t>(crash.upstream)); });
            const auto starts = array_of(each.crashes, [](const auto& crash)
                                         { return json(static_cast<std::uint32_t>(crash.start)); });
            return json::array({static_cast<std::uint64_t>(each.fingerprint), upstreams,
                                each.ran_alone, each.cleared, each.expires_in_ms, starts});
        });
}

json document_of(const std::vector<parts::part_evidence>& suspected)
{
    return array_of(suspected,
                    [](const auto& each)
                    {
                        const auto crashes = array_of(
                            each.crashes,
                            [](const auto& crash)
                            {
                                const auto& mark = crash.fingerprint;
                                return json::array({static_cast<std::uint32_t>(mark.upstream),
                                                    crash.age.count(),
                                                    static_cast<std::uint32_t>(mark.start)});
                            });
                        auto out = json::array({static_cast<std::uint64_t>(each.part), crashes});
                        if (each.sound_age)
                        {
                            out.push_back(each.sound_age->count());
                        }
                        return out;
                    });
}

/// The fields of a digest, in their order.
json document_of(const digest& message)
{
    const auto& state = message.tables;
    return json::array(
        {8,
         message.sender.str(),
         message.incarnation,
         message.sequence,
         message.zone.str(),
         document_of(message.callers),
         document_of(message.control),
         document_of(message.datagrams),
         message.ready,
         static_cast<std::uint64_t>(message.version),
         message.tables_fresh_for.count(),
         array_of(message.loads,
                  [](const auto& entry)
                  {
                      const auto& load = entry.second;
                      return json::array({entry.first.str(), load.running,
                                          load.pending_prefill_tokens, load.held_tokens});
                  }),
         document_of(message.usages),
         message.capacity,
         message.request_rate,
         document_of(message.suspects),
         array_of(message.refused,
                  [](auto mark) { return json(static_cast<std::uint32_t>(mark)); }),
         array_of(message.prefill_samples,
                  [](const auto& entry)
                  {
                      return json::array({entry.first.str(),
                                          std::llround(entry.second.milliseconds),
                                          std::llround(entry.second.tokens)});
                  }),
         json::array({state.polls_store, state.store_unreachable, state.answer_count,
                      state.revision, state.content_hash, state.answer_age.count()}),
         array_of(message.leaving,
                  [](const auto& each) {
                      return json::array({each.id.str(), each.process_start.count()});
                  }),
         array_of(message.zones,
                  [](const auto& each) {
                      return json::array({each.zone.str(), each.drained, each.revision});
                  }),
         message.keeps_origins,
         document_of(message.suspected_parts),
         message.processor_limited,
         array_of(message.paces,
                  [](const auto& entry) {
                      return json::array(
                          {entry.first.str(), entry.second.milliseconds, entry.second.units});
                  }),
         array_of(message.part_rates,
                  [](const auto& each) {
                      return json::array({each.prefix, each.requests_per_second});
                  })});
}

std::string bytes_of(const json& document)
{
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

class random_digests
{
public:
    explicit random_digests(std::uint32_t seed) : random_(seed) {}

    digest next()
    {
        digest message{.sender = id<base::node_id>(),
                       .incarnation = number(),
                       .sequence = number(),
                       .zone = id<base::zone_id>(),
                       .callers = address(),
                       .control = address(),
                       .datagrams = address(),
                       .ready = coin(),
                       .capacity = real(),
                       .request_rate = real(),
                       .version = base::config_version{number()},
                       .tables_fresh_for = signed_milliseconds(),
                       .tables = {.polls_store = coin(),
                                  .store_unreachable = coin(),
                                  .answer_count = number(),
                                  .revision = number(),
                                  .content_hash = number(),
                                  .answer_age = signed_milliseconds()},
                       .keeps_origins = coin(),
                       .processor_limited = coin()};
        repeat(
            [&]
            {
                message.loads[id<base::upstream_id>()] = {.running = small_number(),
                                                          .pending_prefill_tokens = number(),
                                                          .held_tokens = number()};
                message.usages[id<base::workspace_id>()] = {.demanded = whole(),
                                                            .served = whole(),
                                                            .serving_rate = whole(),
                                                            .refused = coin() ? whole() : 0,
                                                            .held_by_engines = whole(),
                                                            .held_by_processor = whole()};
                message.refused.push_back(returns::request_fingerprint{small_number()});
                message.leaving.push_back(
                    {.id = id<base::upstream_id>(), .process_start = signed_milliseconds()});
                message.zones.push_back(
                    {.zone = id<base::zone_id>(), .drained = coin(), .revision = number()});
                message.prefill_samples[id<base::upstream_id>()] = {.milliseconds = whole(),
                                                                    .tokens = whole()};
                message.paces[id<base::upstream_id>()] = {.milliseconds = real(), .units = real()};
                message.part_rates.push_back({.prefix = number(), .requests_per_second = real()});
            });
        repeat([&] { message.suspects.push_back(suspect()); });
        repeat([&] { message.suspected_parts.push_back(suspected_part()); });
        return message;
    }

private:
    template <class Action>
    void repeat(const Action& action)
    {
        for (auto left = random_() % 5; left > 0; --left)
        {
            action();
        }
    }

    attempts::crash_fingerprint crash()
    {
        return {.upstream = attempts::upstream_fingerprint{small_number()},
                .start = attempts::start_fingerprint{small_number()}};
    }

    attempts::suspect_entry suspect()
    {
        attempts::suspect_entry entry{.fingerprint = attempts::request_fingerprint{number()},
                                      .ran_alone = coin(),
                                      .cleared = coin(),
                                      .expires_in_ms = small_number()};
        repeat([&] { entry.crashes.push_back(crash()); });
        return entry;
    }

    parts::part_evidence suspected_part()
    {
        parts::part_evidence evidence{.part = parts::part_fingerprint{number()}};
        repeat(
            [&]
            {
                evidence.crashes.push_back(
                    {.fingerprint = crash(), .age = std::chrono::milliseconds(small_number())});
            });
        if (coin())
        {
            evidence.sound_age = std::chrono::milliseconds(small_number());
        }
        return evidence;
    }

    bool coin()
    {
        return random_() % 2 == 0;
    }
    /// Of any length in bytes.
    std::uint64_t number()
    {
        const auto bits = random_() % 64;
        return (std::uint64_t{random_()} << 32U | random_()) >> bits;
    }
    std::uint32_t small_number()
    {
        return static_cast<std::uint32_t>(number());
    }
    double whole()
    {
        return static_cast<double>(random_() % 100000);
    }
    /// Exact in single precision, exact in double precision only, whole, or special.
    double real()
    {
        const std::array<double, 8> values{0.0,
                                           0.12,
                                           37.5,
                                           -1e300,
                                           std::numeric_limits<double>::infinity(),
                                           -std::numeric_limits<double>::infinity(),
                                           1e-320,
                                           whole()};
        return values.at(random_() % values.size());
    }
    std::chrono::milliseconds signed_milliseconds()
    {
        const auto magnitude = static_cast<std::int64_t>(number() >> 1U);
        return std::chrono::milliseconds(coin() ? magnitude : -magnitude - 1);
    }
    endpoint address()
    {
        return {.ip = text(), .port = static_cast<std::uint16_t>(random_())};
    }
    std::string text()
    {
        return std::string(random_() % 40, static_cast<char>('a' + random_() % 26));
    }
    template <class Id>
    Id id()
    {
        return Id(text());
    }

    std::mt19937 random_;
};

/// A digest with entries of all kinds.
digest full_digest()
{
    random_digests digests(7);
    auto message = digests.next();
    while (message.loads.size() < 2 || message.suspects.empty() || message.suspected_parts.empty())
    {
        message = digests.next();
    }
    return message;
}

/// The bytes that follow the items of a full digest, up to the item at `position`.
std::string with_field(const digest& message, std::size_t position, const json& value)
{
    auto fields = document_of(message);
    fields.at(position) = value;
    return bytes_of(fields);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(digest_format_of_routers)

BOOST_AUTO_TEST_CASE(digests_are_written_as_the_documents_that_other_routers_read)
{
    random_digests digests(1);
    for (int i = 0; i < 2000; ++i)
    {
        const auto message = digests.next();
        const auto document = document_of(message);
        const auto encoded = encode(message);
        BOOST_REQUIRE(encoded == bytes_of(document));
        BOOST_REQUIRE(json::from_cbor(encoded) == document);
    }
}

BOOST_AUTO_TEST_CASE(documents_of_other_routers_are_read)
{
    random_digests digests(2);
    for (int i = 0; i < 2000; ++i)
    {
        const auto message = digests.next();
        const auto bytes = bytes_of(document_of(message));
        const auto received = decode(bytes);
        BOOST_REQUIRE(received.has_value());
        BOOST_REQUIRE(document_of(received.value()) == document_of(message));
        BOOST_REQUIRE(received.value().loads == message.loads);
        BOOST_REQUIRE(received.value().suspects == message.suspects);
        BOOST_REQUIRE(received.value().suspected_parts == message.suspected_parts);
    }
}

BOOST_AUTO_TEST_CASE(a_value_that_is_not_a_number_is_restored)
{
    const digest message{.request_rate = std::numeric_limits<double>::quiet_NaN()};
    const auto encoded = encode(message);
    BOOST_TEST((encoded == bytes_of(document_of(message))));
    BOOST_TEST(std::isnan(decode(encoded).value().request_rate));
}

BOOST_AUTO_TEST_CASE(the_identity_is_that_of_the_digest)
{
    random_digests digests(3);
    for (int i = 0; i < 100; ++i)
    {
        const auto message = digests.next();
        const auto identity = decode_identity(encode(message));
        BOOST_REQUIRE(identity.has_value());
        BOOST_TEST(identity.value().sender == message.sender);
        BOOST_TEST(identity.value().incarnation == message.incarnation);
        BOOST_TEST(identity.value().sequence == message.sequence);
    }
}

BOOST_AUTO_TEST_CASE(digests_of_earlier_routers_lack_trailing_fields)
{
    const auto message = full_digest();
    for (std::size_t count = 0; count <= field_count; ++count)
    {
        auto fields = document_of(message);
        fields.erase(fields.begin() + static_cast<std::ptrdiff_t>(count), fields.end());
        constexpr std::size_t required = 21;
        BOOST_TEST(decode(bytes_of(fields)).has_value() == (count >= required));
    }
}

BOOST_AUTO_TEST_CASE(crashes_of_earlier_routers_lack_the_starts_of_processes)
{
    const attempts::crash_fingerprint crash{.upstream = attempts::upstream_fingerprint{7},
                                            .start = attempts::start_fingerprint{9}};
    digest message{.sender = base::node_id("r1")};
    message.suspects.push_back({.crashes = {crash}, .expires_in_ms = 5});
    message.suspected_parts.push_back({.crashes = {{.fingerprint = crash, .age = 3ms}}});
    constexpr std::size_t suspects = 15;
    constexpr std::size_t suspected_parts = 22;
    auto fields = document_of(message);
    fields.at(suspects).at(0).erase(5);
    fields.at(suspected_parts).at(0).at(1).at(0).erase(2);

    const auto received = decode(bytes_of(fields));

    BOOST_REQUIRE(received.has_value());
    auto expected = crash;
    expected.start = attempts::start_fingerprint::unknown;
    BOOST_TEST((received.value().suspects.at(0).crashes == std::vector{expected}));
    const auto& part = received.value().suspected_parts.at(0);
    BOOST_TEST((part.crashes.at(0).fingerprint == expected));
    BOOST_TEST((part.crashes.at(0).age == 3ms));
}

BOOST_AUTO_TEST_CASE(fields_of_later_routers_are_ignored)
{
    const auto message = full_digest();
    auto fields = document_of(message);
    const json unknown{{"a", {1, -2, 3.5, nullptr}}, {"b", json::binary({1, 2, 3})}};
    fields.push_back(unknown);
    fields.push_back(true);
    for (const std::size_t position : {11U, 12U, 15U, 19U, 20U, 22U, 24U, 25U})
    {
        for (auto& entry : fields.at(position))
        {
            // A field that some entries lack must not be taken for an unknown one.
            const bool lacks_field =
                (position == 12 && entry.size() < 5) || (position == 22 && entry.size() < 3);
            if (!lacks_field)
            {
                entry.push_back(unknown);
            }
        }
    }
    const auto received = decode(bytes_of(fields));
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST((document_of(received.value()) == document_of(message)));
}

BOOST_AUTO_TEST_CASE(whole_numbers_may_come_as_floating_point_and_the_other_way_round)
{
    const auto message = full_digest();
    BOOST_TEST(decode(with_field(message, 3, 42.0)).value().sequence == 42U);
    BOOST_TEST((decode(with_field(message, 10, -42.0)).value().tables_fresh_for == -42ms));
    BOOST_TEST(decode(with_field(message, 13, 2)).value().capacity == 2.0);
    BOOST_TEST(decode(with_field(message, 14, -2)).value().request_rate == -2.0);
}

BOOST_AUTO_TEST_CASE(numbers_that_a_field_cant_hold_are_errors)
{
    const auto message = full_digest();
    const json bad_sequences{-1,
                             1e20,
                             -1.0,
                             std::numeric_limits<double>::infinity(),
                             std::numeric_limits<double>::quiet_NaN(),
                             "1",
                             nullptr,
                             true};
    for (const auto& bad : bad_sequences)
    {
        BOOST_TEST(!decode(with_field(message, 3, bad)).has_value());
    }
    BOOST_TEST(!decode(with_field(message, 5, json::array({"10.0.0.1", 65536}))).has_value());
    BOOST_TEST(!decode(with_field(message, 16, json::array({1ULL << 32U}))).has_value());
    BOOST_TEST(!decode(with_field(message, 0, 9)).has_value());
}

BOOST_AUTO_TEST_CASE(cut_off_digests_are_errors)
{
    const auto encoded = encode(full_digest());
    for (std::size_t size = 0; size < encoded.size(); ++size)
    {
        BOOST_REQUIRE(!decode(std::string_view(encoded).substr(0, size)).has_value());
    }
    BOOST_TEST(!decode(encoded + '\0').has_value());
}

// Whatever is read of damaged bytes is a digest that can be sent again.
BOOST_AUTO_TEST_CASE(damaged_digests_are_digests_or_errors)
{
    const auto encoded = encode(full_digest());
    std::size_t accepted = 0;
    for (std::size_t at = 0; at < encoded.size(); ++at)
    {
        for (const unsigned flip : {1U, 2U, 4U, 8U, 16U, 32U, 64U, 128U, 255U})
        {
            auto damaged = encoded;
            damaged[at] = static_cast<char>(static_cast<unsigned char>(damaged[at]) ^ flip);
            const auto received = decode(damaged);
            if (received)
            {
                ++accepted;
                BOOST_REQUIRE(!json::from_cbor(damaged, true, false).is_discarded());
                BOOST_REQUIRE(decode(encode(received.value())).has_value());
            }
        }
    }
    BOOST_TEST(accepted > 0U);
}

// A length of four billion entries or bytes, claimed by a few bytes, takes no memory.
BOOST_AUTO_TEST_CASE(claimed_lengths_are_held_against_the_bytes_that_are_there)
{
    for (const std::string head : {"\x5b", "\x7b", "\x9b", "\xbb"})
    {
        const auto claimed = head + std::string(8, '\xff') + std::string(1000, '\x01');
        BOOST_TEST(!decode(claimed).has_value());
        cbor_reader in(claimed);
        in.skip();
        BOOST_TEST(in.failed());
    }
    const auto message = full_digest();
    const auto encoded = encode(message);
    for (std::size_t at = 0; at < encoded.size(); ++at)
    {
        auto forged = encoded;
        forged.replace(at, 1, "\x9a\xff\xff\xff\xff");
        BOOST_REQUIRE(!decode(forged).has_value());
    }
}

// A reader that calls itself for each level would run out of stack.
BOOST_AUTO_TEST_CASE(deeply_nested_items_are_skipped)
{
    const auto message = full_digest();
    auto fields = document_of(message);
    fields.push_back(json::array());
    auto encoded = bytes_of(fields);
    encoded.back() = '\x80';
    encoded.insert(encoded.size() - 1, std::string(60000, '\x81'));
    BOOST_TEST(decode(encoded).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
