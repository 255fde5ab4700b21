#pragma once

#include "libcaraway/net/http_answer_check.hpp"
#include "libcaraway/net/http_call.hpp"
#include "libcaraway/net/http_lanes.hpp"

#include <QNetworkReply>
#include <QTimer>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

class QTcpSocket;

namespace caraway::net
{

class http_client_pool;
struct http_manager;

/// The work behind an http_call.
///
/// First, unless the upstream showed life just now, it tries a connection of its own:
/// QNetworkAccessManager can't tell, when a connection attempt is given up, whether a request left
/// after all. What fails before the manager has the request is provably not sent. Then the manager
/// sends it, with a body that can't be read twice (http_upload_device) and on a lane of its own
/// (http_lanes).
class http_attempt : public QObject
{
    Q_OBJECT

public:
    http_attempt(http_call& call, std::shared_ptr<http_client_pool> pool, client_request request);
    ~http_attempt() override;

    void start();
    void abort();
    void set_paused(bool paused);
    /// Ends without signals.
    void discard();

private:
    enum class waiting_for
    {
        connection,
        first_byte,
        data,
    };

    void probe();
    void on_probe_failed(const QString& reason);
    void send();
    void on_connected();
    void on_meta_data();
    void on_ready_read();
    void on_finished();
    void pass_on();
    void finish_if_drained();
    received_answer answer() const;
    bool is_head() const;
    void limit_buffer();
    void wait(waiting_for what, std::chrono::milliseconds limit);
    void on_timeout();
    void end(call_end end);
    void end_later(delivery sent, base::error error);
    void let_go(lane_end end_of_lane);

    http_call& call_;
    std::shared_ptr<http_client_pool> pool_;
    client_request request_;
    std::string host_and_port_;
    std::unique_ptr<QTcpSocket> probe_;
    QNetworkReply* reply_ = nullptr;
    std::shared_ptr<http_manager> manager_;
    std::optional<lane> lane_;
    QTimer timer_;
    waiting_for waiting_for_ = waiting_for::connection;
    base::time_point last_data_;
    int status_ = 0;
    std::vector<http_header> headers_;
    std::uint64_t received_ = 0;
    /// Given to the manager, so from here on it may have been sent.
    bool was_sent_ = false;
    int connects_ = 0;
    bool may_have_connected_ = false;
    bool is_paused_ = false;
    bool has_finished_ = false;
    bool has_ended_ = false;
};

}  // namespace caraway::net
