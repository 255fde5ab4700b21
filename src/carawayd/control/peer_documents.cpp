#include "carawayd/control/peer_documents.hpp"

#include "carawayd/admin/peer_authorization.hpp"

#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

#include <chrono>
#include <utility>

namespace carawayd::control
{

using caraway::base::errc;
using caraway::base::make_error;

namespace
{

constexpr std::chrono::milliseconds fetch_timeout{2000};
constexpr const char* document_prefix = "/peer/config/";

}  // namespace

peer_documents::peer_documents(QByteArray fleet_key, QObject* parent)
    : QObject(parent), fleet_key_(std::move(fleet_key))
{
    network_.setProxy(QNetworkProxy::NoProxy);
}

void peer_documents::fetch(const std::string& host, std::uint16_t port, const std::string& hash,
                           callback done)
{
    const std::string path = document_prefix + hash;
    QUrl url;
    url.setScheme("http");
    url.setHost(QString::fromStdString(host));
    url.setPort(port);
    url.setPath(QString::fromStdString(path));
    QNetworkRequest request(url);
    request.setTransferTimeout(static_cast<int>(fetch_timeout.count()));
    request.setRawHeader("Authorization",
                         QByteArray::fromStdString(admin::peer_authorization(fleet_key_, path)));
    QNetworkReply* reply = network_.get(request);
    connect(reply, &QNetworkReply::finished, this,
            [reply, done = std::move(done)]
            {
                reply->deleteLater();
                if (reply->error() == QNetworkReply::NoError)
                {
                    done(reply->readAll());
                    return;
                }
                const bool missing = reply->error() == QNetworkReply::ContentNotFoundError;
                done(make_error(missing ? errc::not_found : errc::unavailable,
                                reply->errorString().toStdString()));
            });
}

}  // namespace carawayd::control
