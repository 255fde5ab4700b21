#pragma once

#include "libcaraway/http/field_lines.hpp"

#include <boost/beast/http/status.hpp>

namespace caraway::http
{

/// Head of an answer as it was received.
class answer_head : public field_lines
{
public:
    unsigned result_int() const
    {
        return code_;
    }
    boost::beast::http::status result() const
    {
        return boost::beast::http::int_to_status(code_);
    }
    void result(unsigned code)
    {
        code_ = code;
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

private:
    unsigned code_ = 0;
    unsigned version_ = 11;
};

}  // namespace caraway::http
