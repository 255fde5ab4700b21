#include "libcaraway/http/event_splitter.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using caraway::http::event_splitter;

namespace
{

std::vector<std::string> take_all(event_splitter& events)
{
    std::vector<std::string> texts;
    while (const auto event = events.next())
    {
        texts.emplace_back(event->text);
    }
    return texts;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(event_splitters)

// Symptom: a resumed stream held a piece of an event, followed by the same event whole.
// Sequence: the upstream broke off in the middle of an event; its first half had been passed on.
// Cause: bytes were passed on as they came.
BOOST_AUTO_TEST_CASE(only_whole_events_come_out_wherever_the_bytes_are_cut)
{
    const std::string stream =
        "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\ndata: c\nid: 3\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut)
    {
        event_splitter events;
        std::string all;
        events.add(std::string_view(stream).substr(0, cut));
        for (const auto& each : take_all(events))
        {
            all += each;
        }
        events.add(std::string_view(stream).substr(cut));
        for (const auto& each : take_all(events))
        {
            all += each;
        }
        BOOST_TEST(all == stream);
        BOOST_TEST(!events.has_partial_event());
    }
}

BOOST_AUTO_TEST_CASE(byte_by_byte_the_same_events_come_out)
{
    const std::string stream = "id: 1\ndata: a\n\nid: 22\n\n";
    event_splitter events;
    std::vector<std::string> texts;
    for (const char byte : stream)
    {
        events.add(std::string_view(&byte, 1));
        for (auto& each : take_all(events))
        {
            texts.push_back(std::move(each));
        }
    }

    BOOST_TEST((texts == std::vector<std::string>{"id: 1\ndata: a\n\n", "id: 22\n\n"}));
}

BOOST_AUTO_TEST_CASE(ids_are_read_in_any_line)
{
    event_splitter events;
    events.add("data: x\nid: 17\n\ndata: id: 9\n\nid:5\n\n");

    BOOST_TEST(events.next()->id.value() == 17);
    BOOST_TEST(!events.next()->id.has_value());
    BOOST_TEST(events.next()->id.value() == 5);
}

BOOST_AUTO_TEST_CASE(a_stream_that_stops_within_an_event_has_a_rest)
{
    event_splitter events;
    events.add("id: 1\n\nid: 2\nda");

    BOOST_TEST(events.next().has_value());
    BOOST_TEST(!events.next().has_value());
    BOOST_TEST(events.has_partial_event());
}

BOOST_AUTO_TEST_SUITE_END()
