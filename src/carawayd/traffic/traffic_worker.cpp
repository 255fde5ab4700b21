#include "carawayd/traffic/traffic_worker.hpp"

#include "carawayd/traffic/local_answers.hpp"
#include "carawayd/traffic/request_naming.hpp"
#include "carawayd/traffic/routing_view.hpp"
#include "carawayd/traffic/traffic_metrics.hpp"
#include "libcaraway/net/http_client.hpp"
#include "libcaraway/net/http_exchange.hpp"

#include <QRandomGenerator64>
#include <QTimer>

#include <utility>

namespace carawayd::traffic
{

using caraway::attempts::caller_error;
using caraway::attempts::error_code;
using caraway::attempts::make_caller_error;
using caraway::base::request_number;

namespace
{

/// How often the cost of running requests is told to the scheduler.
constexpr std::chrono::milliseconds progress_period{100};
constexpr std::chrono::milliseconds cold_retry_after{1000};

}  // namespace

traffic_worker::traffic_worker(const traffic_context& context) : context_(context) {}

traffic_worker::~traffic_worker() = default;

void traffic_worker::open()
{
    client_ = std::make_unique<caraway::net::http_client>();
    services_ = std::make_unique<session_services>(
        session_services{.clock = context_.clock,
                         .self = context_.self,
                         .control = context_.control,
                         .client = *client_,
                         .journal = context_.journal,
                         .metrics = context_.metrics,
                         .policy = caraway::attempts::retry_policy(),
                         .timeouts = context_.timeouts,
                         .worker = this});
    http_ = std::make_unique<caraway::net::http_worker>(
        context_.limits,
        [this](std::shared_ptr<caraway::net::http_exchange> exchange) { handle(exchange); });
    progress_timer_ = std::make_unique<QTimer>();
    connect(progress_timer_.get(), &QTimer::timeout, this, &traffic_worker::report_progress);
    progress_timer_->start(progress_period);
}

void traffic_worker::close()
{
    progress_timer_.reset();
    sessions_.clear();
    session_count_ = 0;
    http_.reset();
    services_.reset();
    client_.reset();
}

caraway::net::http_worker* traffic_worker::http() const
{
    return http_.get();
}

void traffic_worker::set_closing(bool closing)
{
    http_->set_closing(closing);
}

std::size_t traffic_worker::sessions() const
{
    return session_count_.load();
}

void traffic_worker::post_start(request_number number, const upstream_target& target)
{
    QMetaObject::invokeMethod(
        this,
        [this, number, target]
        {
            if (session* found = find(number))
            {
                found->start_attempt(target);
                return;
            }
            // Its caller left in the meantime: the slot goes back unused.
            context_.control.attempt_ended(
                {.request = number, .result = caraway::scheduling::attempt_result::cancelled});
        },
        Qt::QueuedConnection);
}

void traffic_worker::post_give_up(request_number number, const caraway::scheduling::rejection& why)
{
    QMetaObject::invokeMethod(
        this,
        [this, number, why]
        {
            if (session* found = find(number))
            {
                found->give_up(why);
            }
        },
        Qt::QueuedConnection);
}

void traffic_worker::post_claim_verdict(request_number number, const claim_verdict& verdict)
{
    QMetaObject::invokeMethod(
        this,
        [this, number, verdict]
        {
            if (session* found = find(number))
            {
                found->take_claim_verdict(verdict);
            }
        },
        Qt::QueuedConnection);
}

void traffic_worker::handle(const std::shared_ptr<caraway::net::http_exchange>& exchange)
{
    const auto view = context_.view.get();
    if (handle_locally(*exchange, *view))
    {
        return;
    }
    const request_number number{++context_.last_request};
    answer_relay answer(exchange, make_request_id(context_.self, number));
    if (!view->ready)
    {
        answer.refuse(make_caller_error(error_code::no_upstream,
                                        "This router has no configuration yet.", cold_retry_after));
        return;
    }
    auto planned = plan_call(*view, exchange->request(), context_.clock.now());
    if (const auto* problem = std::get_if<caller_error>(&planned))
    {
        context_.metrics.refused(caraway::attempts::http_status(problem->code));
        answer.refuse(*problem);
        return;
    }
    begin(exchange, number, std::get<call_plan>(std::move(planned)));
}

bool traffic_worker::handle_locally(caraway::net::http_exchange& exchange, const routing_view& view)
{
    const caraway::net::http_request& request = exchange.request();
    if (request.path == "/v1/entry" && request.method == "GET")
    {
        exchange.respond(entry_answer(view, request, context_.clock.now(),
                                      [] { return QRandomGenerator64::global()->generate64(); }));
        return true;
    }
    if (request.path == "/v1/models" && request.method == "GET" && view.ready)
    {
        exchange.respond(models_answer(view, request));
        return true;
    }
    return false;
}

void traffic_worker::begin(const std::shared_ptr<caraway::net::http_exchange>& exchange,
                           request_number number, call_plan plan)
{
    auto created = std::make_unique<session>(*services_, exchange, std::move(plan), number);
    session& added = *created;
    sessions_.emplace(number, std::move(created));
    session_count_ = sessions_.size();
    connect(
        &added, &session::over, this, [this, number] { remove(number); }, Qt::QueuedConnection);
    added.start();
}

void traffic_worker::report_progress()
{
    std::vector<progress_note> notes;
    for (const auto& [number, running] : sessions_)
    {
        if (const auto note = running->take_progress())
        {
            notes.push_back(*note);
        }
    }
    if (!notes.empty())
    {
        context_.control.progress(std::move(notes));
    }
}

session* traffic_worker::find(request_number number) const
{
    const auto found = sessions_.find(number);
    return found == sessions_.end() ? nullptr : found->second.get();
}

void traffic_worker::remove(request_number number)
{
    sessions_.erase(number);
    session_count_ = sessions_.size();
}

}  // namespace carawayd::traffic
