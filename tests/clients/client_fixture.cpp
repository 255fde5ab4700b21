#include "client_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace client_tests
{

using namespace std::chrono_literals;
using nlohmann::json;
using tcp = boost::asio::ip::tcp;

namespace
{

/// Of the router, as its settings state them. A request within the limits takes 8 MB at most.
constexpr std::size_t memory_mb = 48;
constexpr std::size_t max_descriptors = 1024;
constexpr std::size_t megabyte = 1U << 20U;
constexpr auto crowd_period = 4s;
constexpr std::size_t max_head_bytes = 16384;

json route(const char* name, const char* prefix, const char* kind)
{
    return {{"name", name},          {"hostname", "app.example"},
            {"prefix", prefix},      {"route_type", kind},
            {"timeout_ms", 60000},   {"target_latency_ms", 500},
            {"gap_target_ms", 250},  {"priority", 1},
            {"backend", "plain"},    {"max_attempts", 1},
            {"anonymous", false},    {"session_affinity", false},
            {"stream_resume", false}};
}

json configuration()
{
    return {{"version", 1},
            {"routes", {route("events", "/events/", "streaming"), route("whole", "/", "safe")}},
            {"backends",
             {{{"name", "plain"}, {"health_check_path", "/healthz"}, {"max_connections", 4000}}}},
            {"limits",
             {{"max_header_bytes", max_head_bytes},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 5000},
              {"idle_timeout_ms", 15000},
              {"tokens_per_s", 100000}}},
            {"tenants", {{{"name", "north"}, {"api_keys", {"key-1"}}}}}};
}

}  // namespace

client_fixture::client_fixture() : router(store.address(), memory_mb, max_descriptors)
{
    store.put("op", "config", configuration().dump());
    for (const auto* upstream : {&first, &second})
    {
        store.put("servers", upstream->instance(), upstream->entry("plain"));
    }
    BOOST_REQUIRE_MESSAGE(is_request_answered(), router.log());
}

client_fixture::~client_fixture() = default;

std::string client_fixture::head(const std::string& path, std::size_t number,
                                 const std::string& fields)
{
    return "POST " + path + " HTTP/1.1\r\nHost: app.example\r\nApi-Key: key-1\r\nX-Request-Id: c" +
           std::to_string(number) + "\r\n" + fields + "\r\n";
}

std::string client_fixture::many_lines()
{
    constexpr std::size_t bytes_of_other_fields = 200;
    constexpr std::string_view line = "a:\r\n";
    std::string lines;
    while (lines.size() + line.size() + bytes_of_other_fields <= max_head_bytes)
    {
        lines += line;
    }
    return lines;
}

void client_fixture::watch(std::chrono::seconds period)
{
    const auto end = clock.now() + period;
    auto next_look = clock.now();
    while (clock.now() < end && router.is_running() && largest_use_ <= 2 * memory_mb * megabyte)
    {
        loop.restart();
        loop.run_one_for(20ms);
        if (clock.now() >= next_look)
        {
            largest_use_ = std::max(largest_use_, router.memory() + router.unread_bytes());
            most_descriptors_ = std::max(most_descriptors_, router.descriptors());
            next_look = clock.now() + 50ms;
        }
    }
}

void client_fixture::check_bounds(const char* when)
{
    BOOST_REQUIRE_MESSAGE(router.is_running(), when << ": the process has ended");
    const auto peak = std::max(router.peak_memory(), largest_use_);
    BOOST_TEST_MESSAGE(when << ": " << peak / megabyte << " MB, " << most_descriptors_
                            << " descriptors");
    BOOST_TEST(peak <= memory_mb * megabyte,
               when << ": " << peak << " bytes were held, " << memory_mb * megabyte << " allowed");
    BOOST_TEST(most_descriptors_ <= max_descriptors, when);
}

bool client_fixture::is_request_answered()
{
    const auto end = clock.now() + 10s;
    while (clock.now() < end && router.is_running())
    {
        tcp::socket socket(loop);
        boost::system::error_code error;
        socket.connect({boost::asio::ip::address_v4::loopback(), router.ports().callers}, error);
        if (!error)
        {
            const auto caller = std::make_shared<http_tests::raw_peer>(std::move(socket));
            caller->start();
            caller->send(head("/ordinary", 0, "Content-Length: 4\r\n") + "body");
            const auto is_over = [&]
            {
                return caller->ended || caller->received.find("\r\n\r\n") != std::string::npos;
            };
            becomes_true(is_over);
            caller->close();
            if (caller->received.starts_with("HTTP/1.1 200"))
            {
                return true;
            }
        }
        loop.restart();
        loop.run_for(100ms);
    }
    return false;
}

void client_fixture::check_against(const crowd::terms& sent)
{
    crowd clients(loop, sent);
    watch(crowd_period);
    check_bounds("crowd");
    BOOST_TEST(is_request_answered(), "an ordinary request beside the crowd");
    clients.leave();
    BOOST_TEST(is_request_answered(), "an ordinary request after the crowd");
    watch(1s);
    check_bounds("afterwards");
}

}  // namespace client_tests
