#include "libcaraway/routing/known_streams.hpp"
#include "libcaraway/routing/version_record.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace caraway::routing;
using namespace std::chrono_literals;

namespace
{

const base::time_point now(2h);
const base::service_id engines("engines");
const base::software_version v1("v1");
const base::software_version v2("v2");

version_record some_record()
{
    return {.revision = 1234567890123,
            .store_time = 86400000ms,
            .history = {.versions = {{.service = engines, .software = v1, .age = 0ms},
                                     {.service = engines, .software = v2, .age = 12345ms}},
                        .complete_for = 60s},
            .upstreams = {hash_of(base::upstream_id("i-1")), hash_of(base::upstream_id("i-2"))}};
}

known_stream stream(std::uint64_t key, const base::software_version& software)
{
    return {.key = stream_key{key},
            .origin = {.service = engines, .software = software},
            .expires = now + 20s};
}

}  // namespace

// What routers keep in the platform's store for those that start when no other is left.

BOOST_AUTO_TEST_SUITE(kept_in_the_store)

BOOST_AUTO_TEST_CASE(a_record_of_versions_is_read_as_it_was_written)
{
    const auto read = decode_version_record(encode(some_record()));

    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read.value().revision == some_record().revision);
    BOOST_TEST((read.value().store_time == some_record().store_time));
    BOOST_TEST((read.value().history.complete_for == 60s));
    BOOST_TEST((read.value().upstreams == some_record().upstreams));
    BOOST_REQUIRE(read.value().history.versions.size() == 2);
    BOOST_TEST((read.value().history.versions[1].software == v2));
    BOOST_TEST((read.value().history.versions[1].age == 12345ms));
}

BOOST_AUTO_TEST_CASE(what_is_cut_off_or_of_another_kind_is_an_error)
{
    const auto record = encode(some_record());
    const auto origins = encode(stored_origins{.store_time = 1ms, .streams = {stream(1, v1)}}, now);
    for (std::size_t size = 0; size < record.size(); ++size)
    {
        BOOST_TEST(!decode_version_record(record.substr(0, size)));
    }
    for (std::size_t size = 0; size < origins.size(); ++size)
    {
        BOOST_TEST(!decode_stored_origins(origins.substr(0, size), 1ms, now));
    }
    BOOST_TEST(!decode_version_record(record + '\0'));
    BOOST_TEST(!decode_version_record(origins));
    BOOST_TEST(!decode_stored_origins(record, 1ms, now));
}

// A router that starts long after an origin was written must not keep it for its whole time again.
BOOST_AUTO_TEST_CASE(the_time_in_the_store_counts_toward_a_streams_time)
{
    const stored_origins written{.store_time = 100s, .streams = {stream(1, v1), stream(2, v2)}};
    const auto read = decode_stored_origins(encode(written, now), 115s, now);

    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE(read.value().streams.size() == 2);
    BOOST_TEST((read.value().streams[0].origin.software == v1));
    BOOST_TEST((read.value().streams[1].origin.software == v2));
    BOOST_TEST((read.value().streams[0].expires == now + 5s));
}

BOOST_AUTO_TEST_CASE(a_row_holds_three_thousand_streams)
{
    constexpr std::size_t most_row_bytes = 65536;
    stored_origins full{.store_time = 1ms};
    for (std::uint64_t key = 0; key < 3000; ++key)
    {
        full.streams.push_back(stream(~key, v1));
    }
    BOOST_TEST(encode(full, now).size() < most_row_bytes);
}

// Where several claim to know what has served, each version that one of them names counts.
BOOST_AUTO_TEST_CASE(restored_versions_count_beside_those_seen_since)
{
    served_versions versions;
    versions.record_gap(now);
    versions.record(engines, v1, now);
    BOOST_TEST(!versions.sole(engines, 10s, now));

    versions.restore(
        {.versions = {{.service = engines, .software = v1, .age = 1s}}, .complete_for = 30s}, now);
    BOOST_TEST((versions.sole(engines, 10s, now) == v1));
    BOOST_TEST(!versions.sole(engines, 31s, now));

    versions.restore(
        {.versions = {{.service = engines, .software = v2, .age = 5s}}, .complete_for = 1s}, now);
    BOOST_TEST(!versions.sole(engines, 10s, now));
    BOOST_TEST((versions.sole(engines, 4s, now) == v1));
}

BOOST_AUTO_TEST_CASE(a_gap_ends_what_was_restored)
{
    served_versions versions;
    versions.restore(
        {.versions = {{.service = engines, .software = v1, .age = 0s}}, .complete_for = 30s}, now);
    versions.record_gap(now + 1s);

    BOOST_TEST(!versions.sole(engines, 10s, now + 2s));
    BOOST_TEST((versions.sole(engines, 10s, now + 11s) == std::nullopt));
    versions.record(engines, v1, now + 11s);
    BOOST_TEST((versions.sole(engines, 10s, now + 11s) == v1));
}

BOOST_AUTO_TEST_SUITE_END()
