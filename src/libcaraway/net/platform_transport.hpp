#pragma once

#include <QByteArray>
#include <QNetworkRequest>
#include <QObject>
#include <QUrl>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

class QNetworkAccessManager;
class QNetworkReply;

namespace caraway::net
{

/// One HTTP request to the platform.
struct platform_request
{
    enum class verb
    {
        get,
        put,
        post,
    };
    verb method = verb::get;
    QByteArray path = "/";
    QByteArray content_type{};
    QByteArray target{};  ///< X-Amz-Target, for the table service.
    QByteArray body{};
    /// Whether it changes something: then its body is sent once at most.
    bool write = false;
    std::chrono::milliseconds timeout{2000};
};

/// How one HTTP request ended.
struct platform_reply
{
    enum class kind
    {
        answered,   ///< Status and whole body are there.
        not_sent,   ///< No connection; provably nothing reached the platform.
        lost,       ///< Sent in part or whole; the connection broke before the whole answer.
        silent,     ///< Sent in part or whole; no whole answer in time.
        not_begun,  ///< The time ran out before anything was sent.
        too_large,  ///< The answer exceeds the limit.
    };
    kind what = kind::lost;
    int status = 0;
    QByteArray body{};
};

/// Sends single requests to the platform over HTTP and says honestly how each ended. No retries.
class platform_transport : public QObject
{
public:
    struct options
    {
        QUrl endpoint;
        std::int64_t max_answer = std::int64_t{32} << 20;
    };
    using finished_handler = std::function<void(platform_reply)>;

    explicit platform_transport(options settings, QObject* parent = nullptr);
    /// Aborts what is under way; its handlers aren't called.
    ~platform_transport() override;

    /// Calls the handler later, in this thread.
    void send(const platform_request& request, finished_handler done);

private:
    struct exchange;

    QNetworkRequest network_request(const platform_request& request) const;
    QNetworkReply* begin(const platform_request& request, exchange& state);
    void watch(const std::shared_ptr<exchange>& state, std::chrono::milliseconds timeout);
    void finish(const std::shared_ptr<exchange>& state);
    void renew_manager(const exchange& silent);

    options options_;
    std::shared_ptr<QNetworkAccessManager> manager_;
};

}  // namespace caraway::net
