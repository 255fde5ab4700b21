#include "libcaraway/net/http_attempt.hpp"

#include "libcaraway/net/http_answer_check.hpp"
#include "libcaraway/net/http_client_pool.hpp"
#include "libcaraway/net/http_request_builder.hpp"
#include "libcaraway/net/http_syntax.hpp"
#include "libcaraway/net/http_upload_device.hpp"

#include <QHostAddress>
#include <QTcpSocket>

#include <array>
#include <utility>

namespace caraway::net
{

namespace
{

/// What is held of an answer that is paused; TCP holds the upstream back beyond it.
constexpr std::uint64_t read_buffer_bytes = std::uint64_t{64} * 1024;

}  // namespace

http_attempt::http_attempt(http_call& call, std::shared_ptr<http_client_pool> pool,
                           client_request request)
    : call_(call), pool_(std::move(pool)), request_(std::move(request)),
      host_and_port_(request_.host + ":" + std::to_string(request_.port)), timer_(this)
{
    ++pool_->calls;
    timer_.setSingleShot(true);
    connect(&timer_, &QTimer::timeout, this, &http_attempt::on_timeout);
}

http_attempt::~http_attempt()
{
    discard();
}

void http_attempt::start()
{
    if (base::error fault = find_fault(request_); !fault.message.empty())
    {
        end_later(delivery::nothing_sent, std::move(fault));
        return;
    }
    if (pool_->is_alive(host_and_port_, std::chrono::steady_clock::now()))
    {
        send();
        return;
    }
    probe();
}

void http_attempt::probe()
{
    probe_ = std::make_unique<QTcpSocket>();
    connect(probe_.get(), &QTcpSocket::connected, this,
            [this]
            {
                probe_.release()->deleteLater();
                pool_->note_alive(host_and_port_, std::chrono::steady_clock::now());
                send();
            });
    connect(probe_.get(), &QTcpSocket::errorOccurred, this,
            [this] { on_probe_failed(probe_->errorString()); });
    wait(waiting_for::connection, request_.timeouts.connect);
    probe_->connectToHost(QHostAddress(QString::fromStdString(request_.host)), request_.port);
}

void http_attempt::on_probe_failed(const QString& reason)
{
    end({.sent = delivery::nothing_sent,
         .error = base::make_error(base::errc::unavailable, "no connection to " + host_and_port_ +
                                                                ": " + reason.toStdString())});
}

void http_attempt::send()
{
    manager_ = pool_->manager();
    lane_ = manager_->lanes.acquire(host_and_port_, request_.reuse_connection,
                                    std::chrono::steady_clock::now());
    was_sent_ = true;
    auto* const upload = new http_upload_device(request_.body);
    reply_ = manager_->qt.sendCustomRequest(network_request(request_, lane_->id),
                                            QByteArray::fromStdString(request_.method), upload);
    upload->setParent(reply_);
    connect(reply_, &QNetworkReply::metaDataChanged, this, &http_attempt::on_meta_data);
    connect(reply_, &QNetworkReply::readyRead, this, &http_attempt::on_ready_read);
    connect(reply_, &QNetworkReply::finished, this, &http_attempt::on_finished);
    // A refusal proves that nothing was sent only where it met the first attempt to connect.
    may_have_connected_ = request_.reuse_connection;
    connect(reply_, &QNetworkReply::socketStartedConnecting, this,
            [this] { may_have_connected_ = may_have_connected_ || ++connects_ > 1; });
    if (request_.body.isEmpty())
    {
        // Qt tells nothing of how far a request without body has come.
        wait(waiting_for::first_byte, request_.timeouts.first_byte);
        return;
    }
    wait(waiting_for::connection, request_.timeouts.connect);
    connect(upload, &http_upload_device::read_begun, this, &http_attempt::on_connected);
}

void http_attempt::on_connected()
{
    may_have_connected_ = true;
    if (waiting_for_ == waiting_for::connection)
    {
        wait(waiting_for::first_byte, request_.timeouts.first_byte);
    }
}

void http_attempt::on_meta_data()
{
    const int status = reply_->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (status_ != 0 || status == 0)
    {
        return;
    }
    status_ = status;
    headers_ = headers_of(*reply_);
    last_data_ = std::chrono::steady_clock::now();
    pool_->note_alive(host_and_port_, last_data_);
    if (base::error fault = judge_head(answer(), !is_head(), host_and_port_);
        !fault.message.empty())
    {
        end({.status = status_, .sent = delivery::sent, .error = std::move(fault)});
        return;
    }
    wait(waiting_for::data, request_.timeouts.idle);
    if (is_paused_ || announced_length(answer()).value_or(0) > read_buffer_bytes)
    {
        limit_buffer();
    }
    Q_EMIT call_.head(status_, headers_);
    if (is_head() && !has_ended_)
    {
        // Qt knows no body-less answer to a custom method, and would wait for the body.
        end({.whole = true, .status = status_, .sent = delivery::sent});
    }
}

void http_attempt::on_ready_read()
{
    last_data_ = std::chrono::steady_clock::now();
    pass_on();
}

void http_attempt::on_finished()
{
    has_finished_ = true;
    pass_on();
}

void http_attempt::pass_on()
{
    on_meta_data();
    // Bytes without a head are no body.
    while (!has_ended_ && !is_paused_ && status_ != 0 && reply_->bytesAvailable() > 0)
    {
        const QByteArray bytes = reply_->readAll();
        received_ += static_cast<std::uint64_t>(bytes.size());
        Q_EMIT call_.data(bytes);
    }
    finish_if_drained();
}

void http_attempt::finish_if_drained()
{
    if (has_ended_ || !has_finished_ || is_paused_)
    {
        return;
    }
    if (base::error fault = judge(*reply_, answer(), host_and_port_); !fault.message.empty())
    {
        const bool refused =
            reply_->error() == QNetworkReply::ConnectionRefusedError && !may_have_connected_;
        end({.status = status_,
             .sent = refused ? delivery::nothing_sent : delivery::sent,
             .error = std::move(fault)});
        return;
    }
    end({.whole = true, .status = status_, .sent = delivery::sent});
}

received_answer http_attempt::answer() const
{
    return {.status = status_, .headers = headers_, .received = received_};
}

bool http_attempt::is_head() const
{
    return request_.method == "HEAD";
}

void http_attempt::set_paused(bool paused)
{
    is_paused_ = paused;
    if (has_ended_ || status_ == 0)
    {
        return;
    }
    if (paused)
    {
        limit_buffer();
        return;
    }
    last_data_ = std::chrono::steady_clock::now();
    // Not from here: the caller may be in the middle of something.
    QMetaObject::invokeMethod(
        this,
        [this]
        {
            if (!has_ended_)
            {
                pass_on();
            }
        },
        Qt::QueuedConnection);
}

void http_attempt::limit_buffer()
{
    // Not before the answer's header: a limit set before Qt has begun the request is lost. Nor
    // where it isn't needed: set on an answer that is complete, it makes Qt close a connection that
    // could be kept; and with it Qt takes a chunk size of zeros, cut before the end of its line,
    // for the last.
    reply_->setReadBufferSize(static_cast<qint64>(read_buffer_bytes));
}

void http_attempt::wait(waiting_for what, std::chrono::milliseconds limit)
{
    waiting_for_ = what;
    timer_.start(limit);
}

void http_attempt::on_timeout()
{
    if (waiting_for_ == waiting_for::data)
    {
        // Restarting the timer with each piece would cost more than looking now.
        const auto quiet = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - last_data_);
        if (is_paused_ || quiet < request_.timeouts.idle)
        {
            timer_.start(is_paused_ ? request_.timeouts.idle : request_.timeouts.idle - quiet);
            return;
        }
    }
    if (!was_sent_)
    {
        on_probe_failed("connection timed out");
        return;
    }
    static constexpr std::array reasons{"no connection", "no answer", "the answer stopped"};
    const char* const reason = reasons[static_cast<std::size_t>(waiting_for_)];
    end({.status = status_,
         .sent = delivery::sent,
         .error = base::make_error(base::errc::unknown_effect,
                                   host_and_port_ + ": timeout, " + reason)});
}

void http_attempt::abort()
{
    if (!has_ended_)
    {
        end_later(was_sent_ ? delivery::sent : delivery::nothing_sent,
                  base::make_error(was_sent_ ? base::errc::unknown_effect : base::errc::unavailable,
                                   "aborted"));
    }
}

void http_attempt::end_later(delivery sent, base::error error)
{
    let_go(lane_end::doubtful);
    QMetaObject::invokeMethod(
        this,
        [this, sent, error = std::move(error)]
        { Q_EMIT call_.ended({.status = status_, .sent = sent, .error = error}); },
        Qt::QueuedConnection);
}

void http_attempt::end(call_end end)
{
    const auto connection = find_header(headers_, "connection");
    const bool closes = connection && equal_ignoring_case(*connection, "close");
    const bool is_whole = end.whole && has_finished_;
    let_go(!is_whole ? lane_end::doubtful : closes ? lane_end::closed : lane_end::kept);
    Q_EMIT call_.ended(std::move(end));
}

void http_attempt::discard()
{
    if (!has_ended_)
    {
        let_go(lane_end::doubtful);
    }
}

void http_attempt::let_go(lane_end end_of_lane)
{
    has_ended_ = true;
    --pool_->calls;
    timer_.stop();
    if (probe_)
    {
        probe_->disconnect(this);
        probe_.release()->deleteLater();
    }
    if (reply_ != nullptr)
    {
        reply_->disconnect(this);
        reply_->abort();
        reply_->deleteLater();
        reply_ = nullptr;
    }
    if (lane_)
    {
        manager_->lanes.release(host_and_port_, *lane_, end_of_lane,
                                std::chrono::steady_clock::now());
        manager_.reset();
    }
}

}  // namespace caraway::net
