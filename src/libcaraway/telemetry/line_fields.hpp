#pragma once

#include <charconv>
#include <concepts>
#include <string>
#include <string_view>

namespace caraway::telemetry
{

/// Fields of a log line, written as JSON members as they are added, without a document in between.
/// Each name is added once; the text is that of the same members of a nlohmann::ordered_json.
class line_fields
{
public:
    line_fields& add(std::string_view name, std::string_view value);
    line_fields& add(std::string_view name, const char* value)
    {
        return add(name, std::string_view(value));
    }
    line_fields& add(std::string_view name, bool value);
    line_fields& add(std::string_view name, double value);
    template <std::integral Integer>
    line_fields& add(std::string_view name, Integer value)
    {
        // More than an integer of 64 bits with its sign takes.
        char digits[24];
        const auto written = std::to_chars(std::begin(digits), std::end(digits), value);
        add_name(name);
        text_.append(std::begin(digits), written.ptr);
        return *this;
    }

    bool empty() const
    {
        return text_.empty();
    }
    /// The members, separated by commas.
    const std::string& text() const
    {
        return text_;
    }

private:
    void add_name(std::string_view name);

    std::string text_;
};

}  // namespace caraway::telemetry
