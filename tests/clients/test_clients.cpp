#include "client_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace client_tests;

namespace
{

constexpr std::size_t body_limit = 4194304;

std::shared_ptr<const std::string> bytes(std::size_t count)
{
    return std::make_shared<std::string>(count, 'b');
}

std::shared_ptr<const std::string> repeated(const std::string& part, std::size_t count)
{
    auto text = std::make_shared<std::string>();
    for (std::size_t time = 0; time < count; ++time)
    {
        *text += part;
    }
    return text;
}

/// First bytes: a request's head with these fields.
auto heads(const std::string& path, const std::string& fields)
{
    return [path, fields](std::size_t number)
    {
        return client_fixture::head(path, number, fields);
    };
}

const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string upload = "Content-Length: " + std::to_string(body_limit) + "\r\n";

}  // namespace

// Guards against a process that runs out of memory, or stands still, for what clients send or
// leave unread.

BOOST_FIXTURE_TEST_SUITE(clients, client_fixture)

BOOST_AUTO_TEST_CASE(heads_of_many_lines_whose_requests_are_held)
{
    check_against({.port = router.ports().callers,
                   .clients = 100,
                   .first_bytes = heads("/held", many_lines() + "Content-Length: 0\r\n")});
}

BOOST_AUTO_TEST_CASE(heads_of_many_lines_without_their_bodies)
{
    check_against({.port = router.ports().callers,
                   .clients = 100,
                   .first_bytes = heads("/held", many_lines() + "Content-Length: 10\r\n")});
}

BOOST_AUTO_TEST_CASE(heads_of_many_lines_without_end)
{
    check_against({.port = router.ports().callers,
                   .clients = 250,
                   .first_bytes = [](std::size_t number)
                   {
                       auto text = head("/held", number, many_lines());
                       text.resize(text.size() - 2);
                       return text;
                   }});
}

BOOST_AUTO_TEST_CASE(prompts_of_many_parts)
{
    check_against({.port = router.ports().callers,
                   .clients = 150,
                   .first_bytes = heads("/held", "X-Prefix-Hash: " + std::string(15000, ',') +
                                                     "\r\nContent-Length: 0\r\n")});
}

BOOST_AUTO_TEST_CASE(chunks_of_one_byte)
{
    check_against({.port = router.ports().callers,
                   .clients = 100,
                   .first_bytes = heads("/held", chunked),
                   .rest = repeated("1\r\nb\r\n", 600000)});
}

BOOST_AUTO_TEST_CASE(uploads_that_are_not_completed)
{
    check_against({.port = router.ports().callers,
                   .clients = 40,
                   .first_bytes = heads("/held", upload),
                   .rest = bytes(body_limit - 100000)});
}

BOOST_AUTO_TEST_CASE(uploads_that_are_held)
{
    check_against({.port = router.ports().callers,
                   .clients = 40,
                   .first_bytes = heads("/held", upload),
                   .rest = bytes(body_limit)});
}

BOOST_AUTO_TEST_CASE(bytes_sent_ahead_of_an_answer)
{
    check_against({.port = router.ports().callers,
                   .clients = 200,
                   .first_bytes = heads("/held", "Content-Length: 0\r\n"),
                   .rest = bytes(1U << 20U)});
}

BOOST_AUTO_TEST_CASE(requests_sent_ahead_whose_answers_are_not_read)
{
    check_against({.port = router.ports().callers,
                   .clients = 1,
                   .first_bytes = [](std::size_t)
                   {
                       return *repeated(head("/large", 1, "Content-Length: 0\r\n"), 40);
                   }});
}

BOOST_AUTO_TEST_CASE(answers_that_are_not_read)
{
    check_against({.port = router.ports().callers,
                   .clients = 40,
                   .first_bytes = heads("/large", "Content-Length: 0\r\n")});
}

BOOST_AUTO_TEST_CASE(streams_that_are_not_read)
{
    check_against({.port = router.ports().callers,
                   .clients = 4,
                   .first_bytes = heads("/events/1", "Content-Length: 0\r\n")});
}

BOOST_AUTO_TEST_CASE(streams_that_are_read_slowly)
{
    check_against({.port = router.ports().callers,
                   .clients = 40,
                   .first_bytes = heads("/events/1", "Content-Length: 0\r\n"),
                   .reads = reading::slowly});
}

BOOST_AUTO_TEST_CASE(answers_with_heads_of_many_lines)
{
    check_against({.port = router.ports().callers,
                   .clients = 100,
                   .first_bytes = heads("/lines", "Content-Length: 0\r\n")});
}

// Guards against a process that keeps what a faulty upstream sends without end, until its memory is
// used up and the requests of other callers end with it.
BOOST_AUTO_TEST_CASE(answers_without_end)
{
    for (const std::string kind : {"fields", "chunks", "long_body", "body"})
    {
        BOOST_TEST_MESSAGE(kind);
        check_against({.port = router.ports().callers,
                       .clients = 20,
                       .first_bytes = heads("/endless/" + kind, "Content-Length: 0\r\n"),
                       .reads = reading::everything});
    }
}

BOOST_AUTO_TEST_CASE(uploads_at_the_directory)
{
    check_against({.port = router.ports().directory,
                   .clients = 40,
                   .first_bytes = heads("/", upload),
                   .rest = bytes(body_limit - 100000)});
}

BOOST_AUTO_TEST_CASE(uploads_at_the_readiness_port)
{
    check_against({.port = router.ports().readiness,
                   .clients = 40,
                   .first_bytes = heads("/", upload),
                   .rest = bytes(body_limit - 100000)});
}

BOOST_AUTO_TEST_CASE(uploads_at_the_control_port)
{
    check_against({.port = router.ports().control,
                   .clients = 40,
                   .first_bytes = heads("/", upload),
                   .rest = bytes(body_limit - 100000)});
}

BOOST_AUTO_TEST_CASE(heads_of_many_lines_at_the_directory)
{
    check_against({.port = router.ports().directory,
                   .clients = 100,
                   .first_bytes = heads("/", many_lines() + "Content-Length: 10\r\n")});
}

BOOST_AUTO_TEST_CASE(paths_of_many_parts)
{
    check_against({.port = router.ports().callers,
                   .clients = 100,
                   .first_bytes = [](std::size_t number)
                   {
                       return *repeated(
                           head("/held" + std::string(15000, '/'), number, "Content-Length: 0\r\n"),
                           20);
                   }});
}

BOOST_AUTO_TEST_CASE(idle_connections)
{
    check_against({.port = router.ports().callers,
                   .clients = 1500,
                   .first_bytes = [](std::size_t)
                   {
                       return std::string();
                   }});
}

BOOST_AUTO_TEST_SUITE_END()
