#include "../net/broken_answer_fixture.hpp"

using namespace caraway::test;

// Heads of which Qt shows less than was sent.
BOOST_FIXTURE_TEST_SUITE(engine_answer_heads, broken_answer_fixture)

// Guards against a malformed line that is passed on within the value of another field.
BOOST_AUTO_TEST_CASE(an_answer_with_a_blank_before_a_field_name)
{
    for (const char* const line : {" X-Odd: odd\r\n", "\tX-Odd: odd\r\n"})
    {
        for (const char* const before : {"X-Other: other\r\n", "X-Other:\r\n"})
        {
            check_not_whole(QByteArray("HTTP/1.1 200 OK\r\n") + before + line + whole_rest);
        }
    }
    check_still_works();
}

// Guards against a malformed head that is taken for one without fields, where no body follows.
BOOST_AUTO_TEST_CASE(a_malformed_field_name_in_an_answer_without_a_body)
{
    check_not_whole("HTTP/1.1 204 No Content\r\nX Odd: odd\r\n\r\n");
    upstream.on("/head", fake_upstream::answer("HTTP/1.1 200 OK\r\nX Odd: odd\r\n\r\n", true));
    BOOST_TEST(!run(request("HEAD", "/head"))->end->whole);
    check_still_works();
}

// Guards against a body that ends elsewhere than its upstream meant: HTTP/1.0 has no chunks.
BOOST_AUTO_TEST_CASE(chunks_in_an_older_version)
{
    check_not_whole("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    check_still_works();
}

BOOST_AUTO_TEST_SUITE_END()
