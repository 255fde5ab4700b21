// Each test does one thing that a router spends its processor on, as often as it is told to, and
// checks that it was done. `tools/measure-router` counts the instructions.
#include "cost_fixture.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/test/unit_test.hpp>

using namespace caraway;
using router_cost_tests::busy_digest;
using router_cost_tests::cost_fixture;
using router_cost_tests::repetitions;

namespace
{

constexpr int events_of_long_stream = 51;
/// Digests that reach the router's socket before it is read.
constexpr int digests_at_once = 16;
/// Eight bytes that are found in an encoded digest.
constexpr std::uint64_t first_sequence = 0x0102030405060000;

/// Digests of one sender that differ in their sequence numbers.
class digest_series
{
public:
    digest_series()
    {
        auto message = busy_digest("edge-router-16");
        message.sequence = first_sequence;
        bytes_ = routing::encode(message);
        const auto big_endian = boost::endian::native_to_big(first_sequence);
        position_ =
            bytes_.find(std::string(reinterpret_cast<const char*>(&big_endian), sizeof big_endian));
        BOOST_REQUIRE(position_ != std::string::npos);
    }

    const std::string& next()
    {
        boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(bytes_.data() + position_),
                                     ++sequence_);
        return bytes_;
    }

private:
    std::string bytes_;
    std::size_t position_ = 0;
    std::uint64_t sequence_ = first_sequence;
};

struct digest_receiver : cost_fixture
{
    boost::asio::ip::udp::socket socket{loop, boost::asio::ip::udp::v4()};

    void send(const std::string& bytes)
    {
        const auto& address = router->options().datagrams;
        socket.send_to(boost::asio::buffer(bytes),
                       {boost::asio::ip::make_address(address.ip), address.port});
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(router_costs)

BOOST_AUTO_TEST_CASE(encode_digest)
{
    const auto message = busy_digest("edge-router-16");
    std::size_t size = 0;
    for (int i = 0; i < repetitions(); ++i)
    {
        size += routing::encode(message).size();
    }
    BOOST_TEST(size > 0U);
}

BOOST_AUTO_TEST_CASE(decode_digest)
{
    const auto bytes = routing::encode(busy_digest("edge-router-16"));
    std::size_t decoded = 0;
    for (int i = 0; i < repetitions(); ++i)
    {
        decoded += routing::decode(bytes).has_value() ? 1U : 0U;
    }
    BOOST_TEST(decoded == static_cast<std::size_t>(repetitions()));
}

BOOST_FIXTURE_TEST_CASE(receive_digest, digest_receiver)
{
    digest_series series;
    for (int i = 0; i < repetitions(); ++i)
    {
        send(series.next());
        if (i % digests_at_once == 0)
        {
            run_pending();
        }
    }
    run_pending();
    BOOST_TEST(router->state()["peers"].size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(receive_repeated_digest, digest_receiver)
{
    digest_series series;
    const auto& bytes = series.next();
    for (int i = 0; i < repetitions(); ++i)
    {
        send(bytes);
        if (i % digests_at_once == 0)
        {
            run_pending();
        }
    }
    run_pending();
    BOOST_TEST(router->state()["peers"].size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(short_stream_by_router, cost_fixture)
{
    const auto caller = caller_of_router();
    for (int i = 0; i < repetitions(); ++i)
    {
        stream(caller, 1);
    }
}

BOOST_FIXTURE_TEST_CASE(short_stream_of_engine, cost_fixture)
{
    const auto caller = caller_of_engine();
    for (int i = 0; i < repetitions(); ++i)
    {
        stream(caller, 1);
    }
}

BOOST_FIXTURE_TEST_CASE(long_stream_by_router, cost_fixture)
{
    const auto caller = caller_of_router();
    for (int i = 0; i < repetitions(); ++i)
    {
        stream(caller, events_of_long_stream);
    }
}

BOOST_FIXTURE_TEST_CASE(long_stream_of_engine, cost_fixture)
{
    const auto caller = caller_of_engine();
    for (int i = 0; i < repetitions(); ++i)
    {
        stream(caller, events_of_long_stream);
    }
}

BOOST_AUTO_TEST_SUITE_END()
