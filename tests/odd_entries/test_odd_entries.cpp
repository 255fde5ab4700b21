#include "../users_platform/table_fixture.hpp"

#include "libcaraway/routing/origin_message.hpp"

#include <boost/test/unit_test.hpp>

#include <pthread.h>

#include <functional>

using namespace users_platform_tests;
using namespace caraway;
using nlohmann::json;

namespace
{

/// An entry as upstreams write it, but for the field that is replaced by this JSON text.
std::string entry_with(const std::string& field, const std::string& value)
{
    auto entry =
        json{{"backend", "plain"}, {"address", "127.0.0.1:4"}, {"zone", "z1"}, {"version", "v1"},
             {"slots", 4},         {"state", "ready"},         {"sequence", 1}};
    entry[field] = "@";
    auto text = entry.dump();
    const std::string placeholder = "\"@\"";
    return text.replace(text.find(placeholder), placeholder.size(), value);
}

/// Runs the action on a thread with a stack of this size.
void run_with_stack(std::size_t bytes, std::function<void()> action)
{
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    BOOST_REQUIRE_EQUAL(pthread_attr_setstacksize(&attributes, bytes), 0);
    const auto run = [](void* argument) -> void*
    {
        (*static_cast<std::function<void()>*>(argument))();
        return nullptr;
    };
    pthread_t thread{};
    BOOST_REQUIRE_EQUAL(pthread_create(&thread, &attributes, run, &action), 0);
    pthread_join(thread, nullptr);
    pthread_attr_destroy(&attributes);
}

bool is_readable(const std::string& field, const std::string& value)
{
    const router::row row{.key = "i-odd", .value = entry_with(field, value), .revision = 1};
    return static_cast<bool>(platform::decode_upstream(row));
}

}  // namespace

// Other writers may leave an entry that upstreams don't write. It names no upstream, and it must
// not keep routers from reading the others.

BOOST_FIXTURE_TEST_SUITE(odd_entries, table_fixture)

BOOST_AUTO_TEST_CASE(usual_values_are_readable)
{
    BOOST_TEST(is_readable("slots", "64"));
    BOOST_TEST(is_readable("slots", "0"));
    BOOST_TEST(is_readable("born", "1764900000000"));
    BOOST_TEST(is_readable("warmup_left_ms", "1500"));
    BOOST_TEST(is_readable("warmup_left_ms", "1500.5"));
    BOOST_TEST(is_readable("address", "\"10.1.0.33:8783\""));
}

BOOST_AUTO_TEST_CASE(a_number_out_of_range_is_not_cut_to_one_within)
{
    BOOST_TEST(!is_readable("slots", "4294967296"));
    BOOST_TEST(!is_readable("slots", "4294967300"));
    BOOST_TEST(!is_readable("slots", "18446744073709551616"));
    BOOST_TEST(!is_readable("born", "9223372036854775808"));
    BOOST_TEST(!is_readable("born", "9223372036854775807"));
    BOOST_TEST(!is_readable("warmup_left_ms", "1e300"));
    BOOST_TEST(!is_readable("warmup_left_ms", "-1e300"));
    BOOST_TEST(!is_readable("warmup_left_ms", "9223372036855"));
}

BOOST_AUTO_TEST_CASE(an_address_is_an_ip_address_and_a_whole_port)
{
    for (const auto* address : {"127.0.0.1:80x", "127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:-1",
                                "127.0.0.1:", "999.0.0.1:80", "nowhere:80", ":80", "127.0.0.1"})
    {
        BOOST_TEST(!is_readable("address", json(address).dump()), address);
    }
}

// An answer of the store that is cut off at an entry is continued from its key.
BOOST_AUTO_TEST_CASE(a_list_that_is_read_in_parts_is_read_whole_whatever_its_keys)
{
    store.rows_per_answer = 2;
    store.put("servers", "i-0", "{}");
    add_upstream(second);
    for (const auto* key :
         {"i-0 odd", "i-0&from=x", "i-0%ff", "i-0#", "i-0?x=\r\n\r\n", "i-0\xc3\xa4"})
    {
        store.put("servers", key, "{}");
        auto& router = start_router("r1", false);
        BOOST_TEST(becomes_true([&] { return usable_upstreams(router) == "i-1 i-2 "; }), key);
        routers.clear();
        store.remove("servers", key);
    }
}

// Each level costs its reader stack if it reads by recursion.
BOOST_AUTO_TEST_CASE(a_deeply_nested_message_needs_no_more_stack_than_a_flat_one)
{
    constexpr std::size_t most_levels = 65000;
    constexpr std::size_t stack_bytes = 256UL * 1024;
    const auto kind = routing::encode(routing::origin_message{}, clock.now()).substr(0, 9);
    const auto nested = kind + std::string(most_levels, '\x81');
    BOOST_REQUIRE(routing::is_origin_message(nested));
    bool is_read = true;
    run_with_stack(stack_bytes,
                   [&] {
                       is_read = static_cast<bool>(
                           routing::decode_origin_message(nested, base::time_point{}));
                   });

    BOOST_TEST(!is_read);
}

BOOST_AUTO_TEST_CASE(a_deeply_nested_entry_is_passed_over)
{
    constexpr std::size_t most_levels = 32000;
    const auto nested = std::string(most_levels, '[') + std::string(most_levels, ']');
    store.put("servers", "i-nested", entry_with("zone", nested));
    store.put("servers", "i-open", std::string(2 * most_levels, '['));
    add_upstream(second);
    auto& router = start_router();

    BOOST_TEST(becomes_true([&] { return usable_upstreams(router) == "i-1 i-2 "; }));
    BOOST_TEST(router.state()["upstreams"].size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
