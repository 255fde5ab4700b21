#pragma once

#include "carawayd/traffic/control_link.hpp"
#include "carawayd/traffic/session.hpp"
#include "carawayd/traffic/session_services.hpp"
#include "libcaraway/net/http_limits.hpp"
#include "libcaraway/net/http_worker.hpp"

#include <QObject>

#include <atomic>
#include <cstdint>
#include <memory>
#include <unordered_map>

class QTimer;

namespace carawayd::traffic
{

class routing_view_holder;

/// What all traffic threads share.
struct traffic_context
{
    const caraway::base::clock& clock;
    caraway::base::node_ref self;
    const control_link& control;
    journal::request_journal& journal;
    traffic_metrics& metrics;
    const routing_view_holder& view;
    /// Numbers the requests of this process.
    std::atomic<std::uint64_t>& last_request;
    caraway::net::http_limits limits;
    upstream_timeouts timeouts;
};

/// The callers' connections of one traffic thread and the requests on them. Create it, move it to
/// its thread, then call open() there.
class traffic_worker : public QObject
{
public:
    explicit traffic_worker(const traffic_context& context);
    ~traffic_worker() override;

    /// In the worker's thread, before anything else.
    void open();
    /// In the worker's thread: ends all connections.
    void close();
    /// Null before open().
    caraway::net::http_worker* http() const;
    /// In the worker's thread: answers carry Connection: close from now on.
    void set_closing(bool closing);
    /// Requests that have not ended; any thread.
    std::size_t sessions() const;

    // From any thread; carried out in the worker's.
    void post_start(caraway::base::request_number number, const upstream_target& target);
    void post_give_up(caraway::base::request_number number,
                      const caraway::scheduling::rejection& why);
    void post_claim_verdict(caraway::base::request_number number, const claim_verdict& verdict);

private:
    void handle(const std::shared_ptr<caraway::net::http_exchange>& exchange);
    bool handle_locally(caraway::net::http_exchange& exchange, const routing_view& view);
    void begin(const std::shared_ptr<caraway::net::http_exchange>& exchange,
               caraway::base::request_number number, call_plan plan);
    void report_progress();
    session* find(caraway::base::request_number number) const;
    void remove(caraway::base::request_number number);

    traffic_context context_;
    std::unique_ptr<caraway::net::http_client> client_;
    std::unique_ptr<session_services> services_;
    std::unique_ptr<caraway::net::http_worker> http_;
    std::unique_ptr<QTimer> progress_timer_;
    std::unordered_map<caraway::base::request_number, std::unique_ptr<session>> sessions_;
    std::atomic<std::size_t> session_count_ = 0;
};

}  // namespace carawayd::traffic
