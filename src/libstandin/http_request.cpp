#include "libstandin/http_request.hpp"

#include <QHttpServerRequest>
#include <QMetaEnum>

namespace standin
{

QByteArray http_request::header(const char* name) const
{
    for (const auto& [key, value] : headers)
    {
        if (key.compare(name, Qt::CaseInsensitive) == 0)
        {
            return value;
        }
    }
    return {};
}

bool http_request::wants_close() const
{
    return header("Connection").compare("close", Qt::CaseInsensitive) == 0;
}

http_request http_request::from(const QHttpServerRequest& request)
{
    const auto methods = QMetaEnum::fromType<QHttpServerRequest::Method>();
    const QUrl url = request.url();
    http_request copy{
        .method = QByteArray(methods.valueToKey(static_cast<int>(request.method()))).toUpper(),
        .path = url.path(QUrl::FullyDecoded).toUtf8(),
        .query = url.query(QUrl::FullyEncoded).toUtf8(),
        .headers = {},
        .body = request.body(),
    };
    for (const auto& [key, value] : request.headers())
    {
        copy.headers.emplace_back(key, value);
    }
    return copy;
}

}  // namespace standin
