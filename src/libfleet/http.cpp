#include "libfleet/http.hpp"

#include "libfleet/fleet.hpp"

#include <QEventLoop>
#include <QJsonDocument>
#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

#include <memory>

namespace fleet
{

namespace
{

constexpr int call_timeout_ms = 10000;

}  // namespace

caraway::base::result<QJsonObject> http_json(const address& where, const QString& method,
                                             const QString& path, const QJsonObject& body)
{
    QNetworkAccessManager network;
    network.setProxy(QNetworkProxy::NoProxy);
    QNetworkRequest request(QUrl(QString("http://%1:%2%3")
                                     .arg(QString::fromStdString(where.host))
                                     .arg(where.port)
                                     .arg(path)));
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    request.setTransferTimeout(call_timeout_ms);
    const QByteArray sent = method == "GET" ? QByteArray() : QJsonDocument(body).toJson();
    const std::unique_ptr<QNetworkReply> reply(
        network.sendCustomRequest(request, method.toLatin1(), sent));
    QEventLoop loop;
    QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    if (reply->error() != QNetworkReply::NoError)
    {
        return caraway::base::make_error(caraway::base::errc::unavailable,
                                         (path + ": " + reply->errorString()).toStdString());
    }
    return QJsonDocument::fromJson(reply->readAll()).object();
}

}  // namespace fleet
