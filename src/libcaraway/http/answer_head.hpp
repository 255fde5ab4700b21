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

private:
    unsigned code_ = 0;
};

}  // namespace caraway::http
