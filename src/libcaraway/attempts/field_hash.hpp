#pragma once

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/nil_generator.hpp>

#include <initializer_list>
#include <string>
#include <string_view>

namespace caraway::attempts
{

/// The first bits of a SHA-1 over the fields. Each field is prefixed with its length, so that a
/// caller can't craft fields that are hashed as the same bytes as another caller's request.
template <class Number>
Number hash_of(std::initializer_list<std::string_view> fields)
{
    std::string input;
    for (const auto field : fields)
    {
        input += std::to_string(field.size()) + ':';
        input += field;
    }
    const boost::uuids::name_generator_sha1 generate(boost::uuids::nil_uuid());
    const auto hash = generate(input);
    Number value{};
    for (std::size_t byte = 0; byte < sizeof(Number); ++byte)
    {
        value = static_cast<Number>(value << 8U) | hash.data[byte];
    }
    return value;
}

}  // namespace caraway::attempts
