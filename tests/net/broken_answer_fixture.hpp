#pragma once

#include "client_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace caraway::test
{

inline const QByteArray whole_rest = "Content-Length: 2\r\n\r\nok";

struct broken_answer_fixture : client_fixture
{
    /// The upstream sends these bytes and closes; callers must not get them as an answer.
    void check_not_whole(const QByteArray& bytes)
    {
        upstream.on("/broken", fake_upstream::answer(bytes, true));
        const auto call = run(request("POST", "/broken", "x"));
        BOOST_TEST(!call->end->whole, bytes.toStdString());
        BOOST_TEST((call->end->sent == net::delivery::sent));
        BOOST_TEST(call->status == 0, "the head was passed on: " << bytes.toStdString());
        BOOST_TEST(call->body.isEmpty(), bytes.toStdString());
    }

    void check_still_works()
    {
        upstream.on("/ok", fake_upstream::answer(ok));
        BOOST_TEST(run(request("POST", "/ok", "x"))->end->whole);
    }
};

}  // namespace caraway::test
