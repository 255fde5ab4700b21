#include "../users_platform/router_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace users_platform_tests;
using namespace std::chrono_literals;

namespace
{

using http_tests::tcp;

const std::string generation_fields =
    "Api-Key: key-1\r\nX-Deadline-Ms: 2000\r\nX-Model: m\r\nX-Token-Count: 300,50\r\n"
    "X-Prefix-Hash: aa00:100,d01:100,e1:1\r\n";

/// An engine behind a link that is cut after its first connection: nothing is answered, nor
/// refused.
struct cut_engine_fixture : router_fixture
{
    cut_engine_fixture()
    {
        acceptor.listen(0);
        acceptor.async_accept(
            [this](const auto& error, tcp::socket accepted)
            {
                if (!error)
                {
                    first = std::make_shared<http_tests::raw_peer>(std::move(accepted));
                    first->start();
                }
            });
        accept_configuration(1, {{.prefix = "/s/", .kind = "streaming", .service = "engines"}});
        const nlohmann::json entry{
            {"backend", "engines"},
            {"address", "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())},
            {"zone", "z1"},
            {"version", "v1"},
            {"slots", 4},
            {"state", "ready"},
            {"sequence", 1}};
        store.put("servers", "i-cut", entry.dump());
        auto& router = start_router();
        BOOST_REQUIRE(becomes_true([&] { return usable_upstreams(router) == "i-cut "; }));
    }

    /// Further connections find the queue of the listening socket full, and get no answer.
    void fill_queue()
    {
        for (int number = 0; number < 4; ++number)
        {
            waiting.emplace_back(loop);
            waiting.back().async_connect(acceptor.local_endpoint(), [](const auto&) {});
        }
        settle();
    }

    tcp::acceptor acceptor{loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
    std::shared_ptr<http_tests::raw_peer> first;
    std::deque<tcp::socket> waiting;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unanswered_connections, cut_engine_fixture)

// A cut link loses connections, too, and opens no new ones; what was sent there must not be
// refused.
BOOST_AUTO_TEST_CASE(an_upstream_that_answers_no_connection_is_not_known_to_have_crashed)
{
    const auto lost = send_request(*routers[0], "/s/x", "id-1", generation_fields);
    BOOST_REQUIRE(becomes_true([&] { return first && !first->received.empty(); }));
    fill_queue();
    first->reset();
    BOOST_TEST(receives_status(lost, "502"));

    for (const std::string id : {"id-2", "id-3"})
    {
        BOOST_TEST(
            receives_status(send_request(*routers[0], "/s/x", id, generation_fields), "503"));
    }
    BOOST_TEST(!logged({R"("event":"upstream_crash")"}));
}

BOOST_AUTO_TEST_SUITE_END()
