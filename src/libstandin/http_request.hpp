#pragma once

#include <QByteArray>

#include <utility>
#include <vector>

class QHttpServerRequest;

namespace standin
{

/// A request as it was read: headers and whole body. Copied out of Qt's own, which lives only as
/// long as the call of the handler.
struct http_request
{
    QByteArray method;  ///< Upper case.
    QByteArray path;    ///< Decoded, without the query.
    QByteArray query;   ///< As sent, without the question mark.
    std::vector<std::pair<QByteArray, QByteArray>> headers;
    QByteArray body;

    /// The first header of that name, whatever its case; empty when there is none.
    QByteArray header(const char* name) const;
    /// Whether the caller asks for the connection to be closed after the answer.
    bool wants_close() const;

    static http_request from(const QHttpServerRequest& request);
};

}  // namespace standin
