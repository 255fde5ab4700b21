#include "libcaraway/net/http_message.hpp"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using caraway::net::requested_rest;

BOOST_AUTO_TEST_SUITE(requested_rests)

BOOST_AUTO_TEST_CASE(an_upstream_that_answers_503_asks_for_rest_in_seconds)
{
    BOOST_TEST((requested_rest(503, {{"retry-after", "3"}}) == 3s));
    BOOST_TEST((requested_rest(503, {{"Retry-After", "4000000000"}}) == 24h));
}

BOOST_AUTO_TEST_CASE(other_answers_and_malformed_values_ask_for_no_rest)
{
    BOOST_TEST(!requested_rest(503, {}));
    BOOST_TEST(!requested_rest(200, {{"Retry-After", "3"}}));
    BOOST_TEST(!requested_rest(429, {{"Retry-After", "3"}}));
    for (const auto* value :
         {"", "0", "-1", "3 s", "soon", "99999999999", "Wed, 21 Oct 2026 07:28:00 GMT"})
    {
        BOOST_TEST(!requested_rest(503, {{"Retry-After", value}}), value);
    }
}

BOOST_AUTO_TEST_SUITE_END()
