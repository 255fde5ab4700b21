#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace caraway::base
{

/// A string identifier with a type of its own. `Tag` distinguishes the identifier types and is
/// never defined. Identifiers are ordered and hashed by their text.
template <class Tag>
class strong_id
{
public:
    strong_id() = default;
    explicit strong_id(std::string text) : text_(std::move(text)) {}

    const std::string& str() const
    {
        return text_;
    }

    bool empty() const
    {
        return text_.empty();
    }

    friend bool operator==(const strong_id&, const strong_id&) = default;
    friend std::strong_ordering operator<=>(const strong_id& a, const strong_id& b)
    {
        return a.text_.compare(b.text_) <=> 0;
    }

    friend std::ostream& operator<<(std::ostream& out, const strong_id& id)
    {
        return out << id.text_;
    }

private:
    std::string text_;
};

}  // namespace caraway::base

template <class Tag>
struct std::hash<caraway::base::strong_id<Tag>>
{
    std::size_t operator()(const caraway::base::strong_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};
