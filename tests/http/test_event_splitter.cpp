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

// Guards against a resumed stream with part of an event followed by the same complete event. Bytes
// were relayed as they arrived, and the upstream failed in the middle of an event.
BOOST_AUTO_TEST_CASE(only_complete_events_are_returned_wherever_the_bytes_are_split)
{
    const std::string stream =
        "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\ndata: c\nid: 3\n\n";
    for (std::size_t split = 0; split <= stream.size(); ++split)
    {
        event_splitter events;
        std::string all;
        events.add(std::string_view(stream).substr(0, split));
        for (const auto& text : take_all(events))
        {
            all += text;
        }
        events.add(std::string_view(stream).substr(split));
        for (const auto& text : take_all(events))
        {
            all += text;
        }
        BOOST_TEST(all == stream);
        BOOST_TEST(!events.has_partial_event());
    }
}

BOOST_AUTO_TEST_CASE(bytes_added_one_by_one_give_the_same_events)
{
    const std::string stream = "id: 1\ndata: a\n\nid: 22\n\n";
    event_splitter events;
    std::vector<std::string> texts;
    for (const char byte : stream)
    {
        events.add(std::string_view(&byte, 1));
        for (auto& text : take_all(events))
        {
            texts.push_back(std::move(text));
        }
    }

    BOOST_TEST((texts == std::vector<std::string>{"id: 1\ndata: a\n\n", "id: 22\n\n"}));
}

BOOST_AUTO_TEST_CASE(ids_are_parsed_in_any_line)
{
    event_splitter events;
    events.add("data: x\nid: 17\n\ndata: id: 9\n\nid:5\n\n");

    BOOST_TEST(events.next()->id.value() == 17);
    BOOST_TEST(!events.next()->id.has_value());
    BOOST_TEST(events.next()->id.value() == 5);
}

BOOST_AUTO_TEST_CASE(a_stream_that_stops_within_an_event_has_a_partial_event)
{
    event_splitter events;
    events.add("id: 1\n\nid: 2\nda");

    BOOST_TEST(events.next().has_value());
    BOOST_TEST(!events.next().has_value());
    BOOST_TEST(events.has_partial_event());
}

BOOST_AUTO_TEST_SUITE_END()
