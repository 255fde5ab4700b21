#include "libcaraway/router/ports.hpp"

#include "platform/adapter.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;

namespace
{

router::answer_metadata parse(unsigned status, const std::string& field, const std::string& value)
{
    http::answer_head head;
    head.result(status);
    head.set(field, value);
    return platform::caller_protocol().parse_answer(head);
}

const std::vector<std::string> no_rests{"",    "0",   "-1",  "soon",
                                        "nan", "inf", "3 s", "Wed, 21 Oct 2026 07:28:00 GMT"};

}  // namespace

BOOST_AUTO_TEST_SUITE(metadata_of_answers)

BOOST_AUTO_TEST_CASE(a_refusal_states_the_rest_that_the_upstream_wants_in_seconds)
{
    BOOST_TEST((parse(503, "Retry-After", "3").requested_rest == 3000ms));
    BOOST_TEST((parse(503, "retry-after", "0.25").requested_rest == 250ms));
    BOOST_TEST((parse(503, "Retry-After", "1e12").requested_rest == 24h));
}

BOOST_AUTO_TEST_CASE(answers_other_than_refusals_state_no_rest)
{
    BOOST_TEST(!parse(200, "Retry-After", "3").requested_rest);
    BOOST_TEST(!parse(429, "Retry-After", "3").requested_rest);
    BOOST_TEST(!parse(503, "X-Not-Executed", "1").requested_rest);
}

BOOST_DATA_TEST_CASE(a_rest_that_is_no_positive_number_is_ignored, no_rests, value)
{
    BOOST_TEST(!parse(503, "Retry-After", value).requested_rest);
}

BOOST_AUTO_TEST_CASE(answers_state_that_their_upstream_is_shutting_down)
{
    BOOST_TEST(parse(200, "Server-Leaving", "1").leaving);
    BOOST_TEST(parse(503, "server-leaving", "1").leaving);
    BOOST_TEST(!parse(200, "Server-Leaving", "0").leaving);
    BOOST_TEST(!parse(200, "X-Not-Executed", "1").leaving);
}

BOOST_AUTO_TEST_SUITE_END()
