#include "libcaraway/net/http_request_builder.hpp"

#include "libcaraway/net/http_syntax.hpp"

#include <QHostAddress>
#include <QUrl>

#include <algorithm>
#include <array>

namespace caraway::net
{

namespace
{

QByteArray to_bytes(std::string_view text)
{
    return {text.data(), static_cast<qsizetype>(text.size())};
}

/// What concerns one connection only, or how the body is sent on it. Without Expect no upstream may
/// send 100 Continue, which Qt would wait behind for good.
bool is_set_on_sending(std::string_view name)
{
    static constexpr std::array names{"connection", "keep-alive",     "proxy-connection",
                                      "te",         "upgrade",        "transfer-encoding",
                                      "expect",     "content-length", "trailer"};
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view own) { return equal_ignoring_case(name, own); });
}

QUrl url_of(const client_request& request)
{
    QUrl url;
    url.setScheme("http");
    url.setHost(QString::fromStdString(request.host));
    url.setPort(request.port);
    const auto question_mark = request.target.find('?');
    const std::string path = request.target.substr(0, question_mark);
    url.setPath(QString::fromStdString(path), QUrl::TolerantMode);
    if (question_mark != std::string::npos)
    {
        url.setQuery(QString::fromStdString(request.target.substr(question_mark + 1)),
                     QUrl::TolerantMode);
    }
    return url;
}

/// Qt replaces a field that is set twice; a list of values says the same.
void add_field(QNetworkRequest& network, const http_header& header, bool is_first)
{
    const QByteArray name = to_bytes(header.name);
    const QByteArray before = is_first ? QByteArray() : network.rawHeader(name) + ", ";
    network.setRawHeader(name, before + to_bytes(header.value));
}

void add_fields(QNetworkRequest& network, const std::vector<http_header>& headers)
{
    for (auto header = headers.begin(); header != headers.end(); ++header)
    {
        const bool is_first = std::none_of(headers.begin(), header,
                                           [&](const http_header& other) {
                                               return equal_ignoring_case(other.name, header->name);
                                           });
        if (!is_set_on_sending(header->name))
        {
            add_field(network, *header, is_first);
        }
    }
}

}  // namespace

base::error find_fault(const client_request& request)
{
    const auto invalid = [](const std::string& message)
    {
        return base::make_error(base::errc::invalid_argument, message);
    };
    if (QHostAddress(QString::fromStdString(request.host)).isNull())
    {
        return invalid("'" + request.host + "' is no IP address");
    }
    if (!is_token(request.method))
    {
        return invalid("'" + request.method + "' is no method");
    }
    if (request.target.empty() || request.target.front() != '/' ||
        !std::all_of(request.target.begin(), request.target.end(), is_visible_ascii))
    {
        return invalid("'" + request.target + "' is no path");
    }
    for (const http_header& header : request.headers)
    {
        if (!is_token(header.name) ||
            std::any_of(header.value.begin(), header.value.end(), is_control))
        {
            return invalid("'" + header.name + "' is no proper header field");
        }
    }
    return {};
}

QNetworkRequest network_request(const client_request& request, lane_id lane)
{
    QNetworkRequest network(url_of(request));
    network.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                         QNetworkRequest::ManualRedirectPolicy);
    network.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
    network.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
    network.setAttribute(QNetworkRequest::CookieLoadControlAttribute, QNetworkRequest::Manual);
    network.setAttribute(QNetworkRequest::CookieSaveControlAttribute, QNetworkRequest::Manual);
    network.setAttribute(QNetworkRequest::AuthenticationReuseAttribute, QNetworkRequest::Manual);
    // Unless told what to accept, Qt asks for compression and hands out other bytes than came.
    network.setRawHeader("Accept-Encoding", "identity");
    network.setRawHeader("User-Agent", "carawaycroft/" CARAWAY_VERSION);
    add_fields(network, request.headers);
    network.setHeader(QNetworkRequest::ContentLengthHeader, request.body.size());
    if (!request.reuse_connection)
    {
        network.setRawHeader("Connection", "close");
    }
    // Only used to check certificates, which plain HTTP has none of. But the manager takes requests
    // of different peer names for different hosts, and so each lane has a connection of its own.
    network.setPeerVerifyName("lane-" + QString::number(static_cast<std::uint64_t>(lane)));
    return network;
}

}  // namespace caraway::net
