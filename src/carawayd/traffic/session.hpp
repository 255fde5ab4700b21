#pragma once

#include "carawayd/traffic/answer_relay.hpp"
#include "carawayd/traffic/call_plan.hpp"
#include "carawayd/traffic/control_link.hpp"
#include "libcaraway/attempts/attempt_record.hpp"
#include "libcaraway/attempts/retry_policy.hpp"
#include "libcaraway/base/clock.hpp"
#include "libcaraway/net/http_call.hpp"
#include "libcaraway/scheduling/actions.hpp"

#include <QObject>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

class QTimer;

namespace caraway::net
{
class http_client;
class http_exchange;
}  // namespace caraway::net

namespace carawayd::traffic
{

struct session_services;

/// Where an attempt goes.
struct upstream_target
{
    caraway::base::upstream_id id;
    std::string host;
    std::uint16_t port = 0;
};

/// One caller's request from its admission to its answer, in its traffic thread. What may be sent
/// again and what the caller is told is decided by attempts::retry_policy; when and where it runs
/// by the scheduler on the control thread.
class session : public QObject
{
    Q_OBJECT

public:
    session(session_services& services, std::shared_ptr<caraway::net::http_exchange> exchange,
            call_plan plan, caraway::base::request_number number);
    ~session() override;

    /// Claims the caller's key where there is one, then asks the scheduler.
    void start();
    /// The scheduler found a slot.
    void start_attempt(const upstream_target& target);
    /// The scheduler won't run it (again).
    void give_up(const caraway::scheduling::rejection& why);
    /// What became of the claim of the caller's key.
    void take_claim_verdict(const claim_verdict& verdict);

    /// Cost so far if it changed since the last call.
    std::optional<progress_note> take_progress();
    const caraway::base::request_id& id() const;

Q_SIGNALS:
    /// Nothing is left to do; the session may be destroyed.
    void over();

private:
    enum class state
    {
        claiming,
        queued,
        attempting,
        ended,
    };

    void submit();
    void on_head(int status, std::vector<caraway::net::http_header> headers);
    void on_data(const QByteArray& bytes);
    void on_call_ended(const caraway::net::call_end& end);
    void on_caller_gone();
    void on_drained();
    void on_deadline();

    caraway::net::client_request upstream_request(const upstream_target& target) const;
    caraway::attempts::attempt_end end_of(const caraway::net::call_end& end) const;
    caraway::attempts::retry_situation situation(bool budget_left) const;
    caraway::base::cost cost_so_far() const;
    void follow(const caraway::attempts::retry_decision& decision);
    void report_attempt(const caraway::attempts::attempt_end& how, bool retry);
    void finish(caraway::attempts::outcome outcome);
    void settle_claim(caraway::attempts::outcome outcome);
    bool must_run_to_the_end() const;

    session_services& services_;
    std::shared_ptr<caraway::net::http_exchange> exchange_;
    call_plan plan_;
    caraway::base::request_number number_;
    caraway::base::request_id id_;
    answer_relay relay_;
    caraway::attempts::attempt_record record_;
    state state_ = state::claiming;
    std::shared_ptr<caraway::net::http_call> call_;
    std::unique_ptr<QTimer> deadline_timer_;
    bool caller_present_ = true;
    bool deadline_passed_ = false;
    bool claimed_ = false;
    std::uint64_t tokens_ = 0;
    bool resuming_ = false;
    caraway::base::cost reported_;
    /// Of the current attempt's answer.
    std::optional<std::chrono::milliseconds> requested_rest_;
    caraway::base::time_point arrival_;
    caraway::base::time_point attempt_start_;
    bool first_data_seen_ = false;
};

}  // namespace carawayd::traffic
