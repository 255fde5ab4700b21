#pragma once

#include "libcaraway/http/field_lines.hpp"

#include <boost/beast/http/verb.hpp>

#include <string>
#include <string_view>

namespace caraway::http
{

/// Head of a request.
class request_head : public field_lines
{
public:
    boost::beast::http::verb method() const
    {
        return boost::beast::http::string_to_verb({method_.data(), method_.size()});
    }
    void method(boost::beast::http::verb name)
    {
        const auto text = boost::beast::http::to_string(name);
        method_.assign(text.data(), text.size());
    }
    std::string_view method_string() const
    {
        return method_;
    }
    void set_method(std::string_view name)
    {
        method_ = name;
    }

    std::string_view target() const
    {
        return target_;
    }
    void target(std::string_view text)
    {
        target_ = text;
    }

    /// 10 for HTTP/1.0, 11 for HTTP/1.1.
    unsigned version() const
    {
        return version_;
    }
    void set_version(unsigned version)
    {
        version_ = version;
    }

    /// Bytes that the head takes.
    std::size_t memory() const
    {
        return field_lines::memory() + target_.capacity();
    }

private:
    std::string method_ = "GET";
    std::string target_;
    unsigned version_ = 11;
};

}  // namespace caraway::http
