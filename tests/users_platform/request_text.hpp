#pragma once

#include <string>

namespace users_platform_tests
{

/// The bytes of a caller's request; `fields` are header fields, each ended by CRLF.
inline std::string request_text(const std::string& target, const std::string& id,
                                const std::string& fields, const std::string& body)
{
    return "POST " + target + " HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: " + id + "\r\n" +
           fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace users_platform_tests
