#include "platform/adapter.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;

namespace
{

namespace beast_http = boost::beast::http;

beast_http::request<beast_http::string_body> forwarded(const http::request_head& head,
                                                       const std::string& body,
                                                       const router::forward_options& options)
{
    const auto message = platform::caller_protocol().forward(head, body.size(), options) + body;
    beast_http::request_parser<beast_http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    const auto size = parser.put(boost::asio::buffer(message), error);
    BOOST_REQUIRE(!error);
    BOOST_REQUIRE(parser.is_done());
    BOOST_REQUIRE(size == message.size());
    return parser.release();
}

http::request_head head_of(http::verb method, const char* target)
{
    http::request_head head;
    head.method(method);
    head.target(target);
    head.set("Host", "app.example");
    return head;
}

const router::forward_options options{.instance = base::upstream_id("i-1"),
                                      .time_left = 1234ms,
                                      .workspace = base::workspace_id("north"),
                                      .fetch_from = routing::endpoint{.ip = "10.0.0.9", .port = 80},
                                      .resume_after = 7};

}  // namespace

BOOST_AUTO_TEST_SUITE(forwarded_requests)

BOOST_AUTO_TEST_CASE(upstreams_get_the_callers_fields_and_the_routers)
{
    auto head = head_of(http::verb::post, "/s/a?b=c");
    head.insert("X-Many", "1");
    head.insert("x-many", "2");
    head.set("X-Empty", "");
    for (const auto* dropped : {"Connection", "TE", "Transfer-Encoding", "Expect", "x-tenant",
                                "API-KEY", "X-Expect-Instance", "X-Hold", "Kv-Fetch",
                                "X-Deadline-Ms", "last-event-id", "Content-Length"})
    {
        head.insert(dropped, "of the caller");
    }

    const auto received = forwarded(head, "body", options);

    BOOST_TEST(received.method_string() == "POST");
    BOOST_TEST(received.target() == "/s/a?b=c");
    BOOST_TEST(received.version() == 11U);
    BOOST_TEST(received.body() == "body");
    const std::vector<std::pair<std::string, std::string>> expected{
        {"Host", "app.example"},   {"X-Many", "1"},
        {"x-many", "2"},           {"X-Empty", ""},
        {"X-Deadline-Ms", "1234"}, {"X-Expect-Instance", "i-1"},
        {"X-Tenant", "north"},     {"Kv-Fetch", "10.0.0.9:80"},
        {"Last-Event-Id", "7"},    {"Content-Length", "4"}};
    std::vector<std::pair<std::string, std::string>> fields;
    for (const auto& each : received)
    {
        fields.emplace_back(each.name_string(), each.value());
    }
    BOOST_TEST((fields == expected));
}

BOOST_AUTO_TEST_CASE(a_request_without_body_has_a_length_only_if_the_callers_had)
{
    auto head = head_of(http::verb::get, "/");
    BOOST_TEST(forwarded(head, "", options).count("Content-Length") == 0U);
    head.set("Content-Length", "0");
    const auto received = forwarded(head, "", options);
    BOOST_TEST(received["Content-Length"] == "0");
}

BOOST_AUTO_TEST_CASE(without_options_only_the_instance_and_the_time_are_added)
{
    auto head = head_of(http::verb::get, "/");
    head.set("Last-Event-Id", "3");
    const auto received =
        forwarded(head, "", {.instance = base::upstream_id("i-1"), .time_left = -5ms});
    BOOST_TEST(received["Last-Event-Id"] == "3");
    BOOST_TEST(received["X-Deadline-Ms"] == "1");
    BOOST_TEST(received.count("X-Tenant") == 0U);
    BOOST_TEST(received.count("Kv-Fetch") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
