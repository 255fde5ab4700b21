#include "libcaraway/telemetry/line_fields.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace caraway::telemetry
{

namespace
{

bool needs_no_escape(char character)
{
    return character >= ' ' && character <= '~' && character != '"' && character != '\\';
}

/// Appends the text as a JSON string; bytes that aren't UTF-8 are replaced.
void append_string(std::string& out, std::string_view value)
{
    if (std::all_of(value.begin(), value.end(), needs_no_escape))
    {
        out += '"';
        out += value;
        out += '"';
        return;
    }
    out += nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

line_fields& line_fields::add(std::string_view name, std::string_view value)
{
    add_name(name);
    append_string(text_, value);
    return *this;
}

line_fields& line_fields::add(std::string_view name, bool value)
{
    add_name(name);
    text_ += value ? "true" : "false";
    return *this;
}

line_fields& line_fields::add(std::string_view name, double value)
{
    add_name(name);
    text_ += nlohmann::json(value).dump();
    return *this;
}

void line_fields::add_name(std::string_view name)
{
    if (!text_.empty())
    {
        text_ += ',';
    }
    append_string(text_, name);
    text_ += ':';
}

}  // namespace caraway::telemetry
