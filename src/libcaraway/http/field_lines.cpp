#include "libcaraway/http/field_lines.hpp"

#include <boost/beast/core/string.hpp>

#include <cstring>
#include <utility>

namespace caraway::http
{

namespace
{

/// Lengths below this take a byte, others this byte and four more.
constexpr unsigned char long_length = 255;

void append_length(std::string& lines, std::size_t length)
{
    if (length < long_length)
    {
        lines += static_cast<char>(length);
        return;
    }
    const auto wide = static_cast<std::uint32_t>(length);
    lines += static_cast<char>(long_length);
    lines.append(reinterpret_cast<const char*>(&wide), sizeof wide);
}

/// Returns the length at `position`, and moves the position behind it.
std::size_t take_length(const std::string& lines, std::size_t& position)
{
    const auto first = static_cast<unsigned char>(lines[position++]);
    if (first < long_length)
    {
        return first;
    }
    std::uint32_t wide = 0;
    std::memcpy(&wide, lines.data() + position, sizeof wide);
    position += sizeof wide;
    return wide;
}

std::string_view name_of(boost::beast::http::field name)
{
    const auto text = boost::beast::http::to_string(name);
    return {text.data(), text.size()};
}

}  // namespace

bool is_same_name(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

field_lines::line field_lines::iterator::operator*() const
{
    auto position = position_;
    const auto name_length = take_length(*lines_, position);
    const auto value_length = take_length(*lines_, position);
    const char* name = lines_->data() + position;
    return {{name, name_length}, {name + name_length, value_length}};
}

field_lines::iterator& field_lines::iterator::operator++()
{
    const auto name_length = take_length(*lines_, position_);
    const auto value_length = take_length(*lines_, position_);
    position_ += name_length + value_length;
    return *this;
}

void field_lines::insert(std::string_view name, std::string_view value)
{
    append_length(lines_, name.size());
    append_length(lines_, value.size());
    lines_ += name;
    lines_ += value;
}

void field_lines::set(std::string_view name, std::string_view value)
{
    std::string kept;
    std::swap(kept, lines_);
    for (iterator each(kept, 0); each != iterator(kept, kept.size()); ++each)
    {
        const auto line = *each;
        if (!is_same_name(line.name_string(), name))
        {
            insert(line.name_string(), line.value());
        }
    }
    insert(name, value);
}

field_lines::iterator field_lines::begin() const
{
    return {lines_, 0};
}

field_lines::iterator field_lines::end() const
{
    return {lines_, lines_.size()};
}

field_lines::iterator field_lines::find(std::string_view name) const
{
    auto each = begin();
    while (each != end() && !is_same_name((*each).name_string(), name))
    {
        ++each;
    }
    return each;
}

field_lines::iterator field_lines::find(boost::beast::http::field name) const
{
    return find(name_of(name));
}

std::string_view field_lines::operator[](std::string_view name) const
{
    const auto found = find(name);
    return found == end() ? std::string_view{} : (*found).value();
}

std::string_view field_lines::operator[](boost::beast::http::field name) const
{
    return (*this)[name_of(name)];
}

std::size_t field_lines::count(std::string_view name) const
{
    std::size_t found = 0;
    for (auto each = begin(); each != end(); ++each)
    {
        found += is_same_name((*each).name_string(), name) ? 1 : 0;
    }
    return found;
}

std::size_t field_lines::count(boost::beast::http::field name) const
{
    return count(name_of(name));
}

}  // namespace caraway::http
