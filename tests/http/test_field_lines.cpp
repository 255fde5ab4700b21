#include "libcaraway/http/message.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;

BOOST_AUTO_TEST_SUITE(field_lines)

BOOST_AUTO_TEST_CASE(lines_are_found_without_regard_to_case)
{
    http::request_head head;
    head.insert("Host", "a");
    head.insert("X-Many", "1");
    head.insert("x-many", "2");
    BOOST_TEST(head["x-MANY"] == "1");
    BOOST_TEST(head[http::field::host] == "a");
    BOOST_TEST(head.count("X-Many") == 2U);
    BOOST_TEST((head.find("X-Man") == head.end()));
    BOOST_TEST(head["Nothing"].empty());
}

BOOST_AUTO_TEST_CASE(long_and_empty_lines_are_kept)
{
    const std::vector<std::size_t> lengths{0, 1, 254, 255, 256, 70000};
    http::answer_head head;
    for (const auto length : lengths)
    {
        head.insert("n" + std::string(length, 'a'), std::string(length, 'v'));
    }
    std::vector<std::size_t> found;
    for (const auto& line : head)
    {
        BOOST_TEST(line.name_string().size() == line.value().size() + 1);
        found.push_back(line.value().size());
    }
    BOOST_TEST(found == lengths, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_line_that_is_set_takes_the_place_of_all_of_its_name)
{
    http::request_head head;
    head.insert("A", "1");
    head.insert("B", "2");
    head.insert("a", "3");
    head.set("A", "4");
    BOOST_TEST(head.count("A") == 1U);
    BOOST_TEST(head["A"] == "4");
    BOOST_TEST(head["B"] == "2");
}

// Guards against heads that cost a multiple of the bytes that were received.
BOOST_AUTO_TEST_CASE(thousands_of_short_lines_take_about_their_bytes)
{
    http::request_head head;
    constexpr std::size_t lines = 4000;
    for (std::size_t line = 0; line < lines; ++line)
    {
        head.insert("a", "");
    }
    constexpr std::size_t received_bytes_of_line = 4;
    BOOST_TEST(head.memory() <= 2 * lines * received_bytes_of_line);
}

BOOST_AUTO_TEST_SUITE_END()
