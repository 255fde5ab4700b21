#include "libcaraway/rpc/http_connector.hpp"

#include "libcaraway/rpc/json_text.hpp"
#include "libcaraway/rpc/read_once_body.hpp"

#include <QEventLoop>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkProxy>
#include <QNetworkRequest>
#include <QTimer>
#include <QUrl>

#include <memory>
#include <string_view>
#include <utility>

namespace caraway::rpc
{

namespace
{

constexpr int http_ok = 200;
constexpr int http_redirections = 300;
constexpr int http_unauthorized = 401;
constexpr int http_forbidden = 403;
constexpr int http_not_found = 404;
constexpr int http_too_large = 413;
constexpr int http_too_many_requests = 429;
constexpr int http_server_errors = 500;
constexpr int http_unavailable = 503;

QNetworkRequest request_for(const rpc_client_options& options, qsizetype body_size)
{
    QUrl url;
    url.setScheme(QStringLiteral("http"));
    url.setHost(QString::fromStdString(options.host));
    url.setPort(options.port);
    url.setPath(QStringLiteral("/rpc"));
    QNetworkRequest request(url);
    request.setHeader(QNetworkRequest::ContentTypeHeader, QStringLiteral("application/json"));
    request.setHeader(QNetworkRequest::ContentLengthHeader, body_size);
    if (!options.key.empty())
    {
        request.setRawHeader("Authorization",
                             "Bearer " + QByteArray::fromStdString(options.key.reveal()));
    }
    // Else the body is copied and can be sent again; see read_once_body.
    request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
    // Else a redirection would carry the call and the key elsewhere.
    request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                         QNetworkRequest::ManualRedirectPolicy);
    return request;
}

/// What the server says in its own error body, `{"error": {"message": ...}}`, if it does.
std::string message_in(const QByteArray& body)
{
    return QJsonDocument::fromJson(body)
        .object()
        .value(QStringLiteral("error"))
        .toObject()
        .value(QStringLiteral("message"))
        .toString()
        .toStdString();
}

base::errc kind_of_status(int status)
{
    switch (status)
    {
    case http_unauthorized:
        return base::errc::unauthenticated;
    case http_forbidden:
        return base::errc::permission_denied;
    case http_not_found:
        return base::errc::not_found;
    case http_too_large:
    case http_too_many_requests:
        return base::errc::resource_exhausted;
    case http_unavailable:
        return base::errc::unavailable;
    default:
        // 3xx and 4xx refuse before anything is executed; of the others that can't be said.
        return status >= http_redirections && status < http_server_errors
                   ? base::errc::invalid_argument
                   : base::errc::unknown_effect;
    }
}

}  // namespace

http_connector::http_connector(rpc_client_options options) : options_(std::move(options))
{
    // The routers are reached by their addresses; a proxy of the environment must not see keys.
    network_.setProxy(QNetworkProxy::NoProxy);
}

void http_connector::SendRPCMessage(const std::string& message, std::string& result)
{
    failure_.reset();
    auto answer = post(message);
    if (answer.has_error())
    {
        failure_ = std::move(answer).error();
        throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, failure_->message);
    }
    result = std::move(answer).value();
}

base::result<std::string> http_connector::post(const std::string& message)
{
    read_once_body body(QByteArray::fromStdString(message));
    const std::unique_ptr<QNetworkReply> reply(
        network_.post(request_for(options_, body.bytesAvailable()), &body));
    wait(*reply);

    const int status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    const bool whole = reply->error() == QNetworkReply::NoError || status > http_ok;
    if (!whole || !reply->isFinished())
    {
        return transport_error(*reply, body.touched());
    }
    const QByteArray answer = reply->readAll();
    if (status != http_ok)
    {
        return status_error(status, answer);
    }
    const std::string_view text(answer.constData(), static_cast<std::size_t>(answer.size()));
    if (!nesting_is_bounded(text) || !is_strict(text))
    {
        return base::make_error(base::errc::unknown_effect,
                                "The answer is no JSON that is read; the call may have acted.");
    }
    return answer.toStdString();
}

void http_connector::wait(QNetworkReply& reply) const
{
    QEventLoop loop;
    QTimer timer;
    timer.setSingleShot(true);
    QObject::connect(&timer, &QTimer::timeout, &reply, &QNetworkReply::abort);
    QObject::connect(&reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
    QObject::connect(&reply, &QNetworkReply::readyRead, &reply,
                     [this, &reply]
                     {
                         if (reply.bytesAvailable() >
                             static_cast<qint64>(options_.max_answer_bytes))
                         {
                             reply.abort();
                         }
                     });
    timer.start(options_.timeout);
    loop.exec();
}

base::error http_connector::transport_error(const QNetworkReply& reply, bool touched) const
{
    const std::string where = options_.host + ':' + std::to_string(options_.port);
    const std::string why = reply.error() == QNetworkReply::OperationCanceledError
                                ? "no answer in time, or one too long"
                                : reply.errorString().toStdString();
    if (!touched)
    {
        return base::make_error(base::errc::unavailable, where + " was not reached: " + why);
    }
    return base::make_error(base::errc::unknown_effect,
                            where + " did not answer, and may have acted: " + why);
}

base::error http_connector::status_error(int status, const QByteArray& body) const
{
    const std::string said = message_in(body);
    return base::make_error(kind_of_status(status),
                            options_.host + ':' + std::to_string(options_.port) +
                                " answered with HTTP status " + std::to_string(status) +
                                (said.empty() ? "." : ": " + said));
}

}  // namespace caraway::rpc
