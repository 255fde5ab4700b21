#include "libcaraway/routing/route_table.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using routing::configuration;
using routing::route_table;

namespace
{

configuration sample_configuration()
{
    return {.routes = {{.name = "short", .host = "a.example", .prefix = "/x/"},
                       {.name = "long", .host = "a.example", .prefix = "/x/y/"},
                       {.name = "other", .host = "b.example", .prefix = "/x/"}},
            .workspaces = {{.id = base::workspace_id("north"), .keys = {"k1", "k2"}}}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(route_tables)

BOOST_AUTO_TEST_CASE(the_hosts_longest_matching_prefix_is_chosen)
{
    const route_table table(sample_configuration());

    BOOST_TEST(table.find_route("a.example", "/x/y/z")->name == "long");
    BOOST_TEST(table.find_route("a.example", "/x/yz")->name == "short");
    BOOST_TEST(table.find_route("b.example", "/x/y/")->name == "other");
}

BOOST_AUTO_TEST_CASE(the_host_is_matched_without_regard_to_case_and_port)
{
    const route_table table(sample_configuration());

    BOOST_TEST(table.find_route("A.Example:8080", "/x/")->name == "short");
}

BOOST_AUTO_TEST_CASE(the_query_is_not_part_of_the_path)
{
    const route_table table(sample_configuration());

    BOOST_TEST(table.find_route("a.example", "/x/?to=/x/y/")->name == "short");
    BOOST_TEST(table.find_route("a.example", "/z?/x/") == nullptr);
}

BOOST_AUTO_TEST_CASE(a_target_without_matching_prefix_has_no_route)
{
    const route_table table(sample_configuration());

    BOOST_TEST(table.find_route("a.example", "/x") == nullptr);
    BOOST_TEST(table.find_route("c.example", "/x/") == nullptr);
    BOOST_TEST(table.find_route("a.example", "") == nullptr);
}

BOOST_AUTO_TEST_CASE(a_workspace_is_found_by_each_of_its_keys)
{
    const route_table table(sample_configuration());

    BOOST_TEST(table.find_workspace("k2")->id.str() == "north");
    BOOST_TEST(table.find_workspace("k3") == nullptr);
}

BOOST_AUTO_TEST_CASE(services_are_picked_by_weight)
{
    const routing::route split{
        .services = {{base::service_id("a"), 90}, {base::service_id("b"), 10}}};

    BOOST_TEST(route_table::pick_service(split, 0.0).str() == "a");
    BOOST_TEST(route_table::pick_service(split, 0.89).str() == "a");
    BOOST_TEST(route_table::pick_service(split, 0.91).str() == "b");
    BOOST_TEST(route_table::pick_service(split, 0.9999).str() == "b");
}

BOOST_AUTO_TEST_SUITE_END()
