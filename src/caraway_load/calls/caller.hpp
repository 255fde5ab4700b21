#pragma once

#include "caraway_load/calls/call_record.hpp"
#include "caraway_load/calls/connection_pool.hpp"
#include "caraway_load/calls/router_directory.hpp"

#include "libcaraway/base/clock.hpp"

#include <QTimer>

#include <functional>
#include <memory>
#include <string>

namespace caraway_load::calls
{

/// What all callers of a run have in common.
struct caller_context
{
    const workload::scenario& load;
    /// By workspace.
    const std::vector<std::string>& keys;
    caraway::base::time_point start;
    connection_pool& connections;
    router_directory& directory;
};

/// One caller with one request: sends it, retries what may be retried, checks the answer and keeps
/// a record of all that.
class caller
{
public:
    caller(const caller_context& context, const workload::arrival& asked,
           std::function<void()> over);

    void start();
    const call_record& record() const;
    /// The run has ended: nothing is sent or recorded any more.
    void stop();

private:
    void attempt();
    void send(std::uint32_t router, bool same_router_again);
    void on_part(const response_reader& head, const QByteArray& body);
    void on_whole(const response_reader& head);
    void on_broken(bool is_failure);
    void on_silence();
    void take_refusal(const response_reader& head);
    void again_after(std::chrono::milliseconds pause);
    void finish();
    bool may_try_again() const;
    QByteArray request() const;
    QByteArray body() const;
    QByteArray prompt() const;
    double now_s() const;

    caller_context context_;
    call_record record_;
    std::function<void()> over_;
    QTimer patience_;
    QTimer pause_;
    answer_check check_;
    QByteArray error_body_;
    connection* link_ = nullptr;
};

}  // namespace caraway_load::calls
