#include "libcaraway/telemetry/line_fields.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <limits>

using caraway::telemetry::line_fields;
using nlohmann::ordered_json;

namespace
{

/// The members as the JSON library writes them.
std::string members_of(const ordered_json& object)
{
    const auto text = object.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
    return text.substr(1, text.size() - 2);
}

template <class Value>
void check_same(const Value& value)
{
    line_fields fields;
    fields.add("name", value);
    BOOST_TEST(fields.text() == members_of({{"name", value}}));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(line_fields_of_logs)

BOOST_AUTO_TEST_CASE(values_are_written_as_the_json_library_writes_them)
{
    check_same(true);
    check_same(false);
    check_same(0);
    check_same(-17);
    check_same(std::numeric_limits<std::int64_t>::min());
    check_same(std::numeric_limits<std::uint64_t>::max());
    check_same(std::numeric_limits<std::uint32_t>::max());
    for (const double value :
         {0.0, 1.0, 0.83, -2.5, 1e300, 1e-7, 123456789.25, std::numeric_limits<double>::infinity()})
    {
        check_same(value);
    }
}

BOOST_AUTO_TEST_CASE(text_of_callers_cant_break_a_line)
{
    const std::vector<std::string> texts{"",
                                         "plain",
                                         "a \"quoted\" \\ text",
                                         "line\r\nbreak\ttab\b\f",
                                         std::string("\0\x01\x1f", 3),
                                         "\x7f",
                                         "gr\xc3\xbc\xc3\x9f",
                                         "not UTF-8: \xff\xc3"};
    for (const auto& each : texts)
    {
        check_same(each);
        line_fields fields;
        fields.add(each, each);
        BOOST_TEST(fields.text() == members_of(ordered_json{{each, each}}));
    }
}

BOOST_AUTO_TEST_CASE(members_keep_their_order)
{
    line_fields fields;
    BOOST_TEST(fields.empty());
    fields.add("z", 1).add("a", "text").add("m", std::string_view("view"));
    BOOST_TEST(fields.text() == "\"z\":1,\"a\":\"text\",\"m\":\"view\"");
}

BOOST_AUTO_TEST_SUITE_END()
