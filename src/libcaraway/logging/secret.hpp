#pragma once

#include <ostream>
#include <string>
#include <utility>

namespace caraway::logging
{

/// Confidential text, such as a key or a token. Printing or logging a secret writes "***". The text
/// is only accessible through `reveal()`, so that every use can be found by searching for it.
class secret
{
public:
    secret() = default;
    explicit secret(std::string text) : text_(std::move(text)) {}

    const std::string& reveal() const
    {
        return text_;
    }

    bool empty() const
    {
        return text_.empty();
    }

    friend std::ostream& operator<<(std::ostream& out, const secret&)
    {
        return out << "***";
    }

private:
    std::string text_;
};

}  // namespace caraway::logging
