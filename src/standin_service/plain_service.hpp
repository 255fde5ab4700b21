#pragma once

#include "libcaraway/base/clock.hpp"
#include "libstandin/call_faults.hpp"
#include "libstandin/control_fields.hpp"
#include "libstandin/exchange.hpp"
#include "libstandin/http_server.hpp"
#include "libstandin/program.hpp"

#include "standin_service/call_log.hpp"

#include <QTimer>

#include <deque>
#include <memory>
#include <string>
#include <utility>

namespace standin_service
{

/// What a service is and how fast it works.
struct service_options
{
    standin::listen_options listen;
    std::string id = "service";
    int slots = 4;
    int work_ms = 5;
};

/// A service that takes any call, works on a few at a time, and counts how often each ran. What was
/// read is run, even when the caller has gone by then, as services do that can't be cancelled.
class plain_service
{
public:
    explicit plain_service(const service_options& options);

    standin::http_server& server();

private:
    using call_ptr = std::shared_ptr<standin::exchange>;

    void handle(const call_ptr& call);
    void accept(const call_ptr& call);
    void fill_slots();
    void run(const call_ptr& call);
    /// Ends a run, unless the service is told to stall.
    void complete(const call_ptr& call, int run);
    void complete_stalled();
    void respond(standin::exchange& call, int run);
    void control(standin::exchange& call);
    QJsonObject stats() const;

    service_options options_;
    standin::call_faults faults_;
    int cut_body_ = 0;    ///< Next N answers end before their Content-Length.
    bool stall_ = false;  ///< Runs begin and don't end.
    standin::control_fields switches_;
    call_log log_;
    int running_ = 0;
    std::deque<call_ptr> waiting_;
    std::deque<std::pair<call_ptr, int>> stalled_;
    QObject timers_;  ///< Ends the work in progress with the service.
    standin::http_server server_;
};

}  // namespace standin_service
