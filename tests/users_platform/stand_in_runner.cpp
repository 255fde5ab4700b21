#include "stand_in_runner.hpp"

#include <nlohmann/json.hpp>

namespace users_platform_tests
{

using namespace caraway;

stand_in_runner::stand_in_runner(boost::asio::io_context& loop, http::timer_queue& timers,
                                 std::string id)
    : instance(std::move(id)), listener_(
                                   loop, timers, [] { return http::server_limits{}; },
                                   [this](const auto& request) { on_request(request); }, 100)
{
    if (!listener_.open({.ip = "127.0.0.1", .port = 0}))
    {
        std::abort();
    }
    port_ = listener_.port();
}

routing::endpoint stand_in_runner::address() const
{
    return {.ip = "127.0.0.1", .port = port_};
}

std::string stand_in_runner::entry(const std::string& service, const std::string& state) const
{
    nlohmann::json row_value{
        {"backend", service}, {"address", "127.0.0.1:" + std::to_string(port_)},
        {"zone", zone},       {"version", software},
        {"slots", 4},         {"state", state},
        {"sequence", 1}};
    if (warmup_left_ms)
    {
        row_value["warmup_left_ms"] = *warmup_left_ms;
    }
    if (process_start)
    {
        row_value["born"] = *process_start;
    }
    return row_value.dump();
}

void stand_in_runner::succeed(const run& current, const std::string& body)
{
    current.exchange->respond(head_for(current, 200), body);
}

void stand_in_runner::begin_stream(const run& current)
{
    auto head = head_for(current, 200);
    head.set(http::field::content_type, "text/event-stream");
    current.exchange->begin(std::move(head));
}

void stand_in_runner::send_event(const run& current, int id)
{
    current.exchange->write("id: " + std::to_string(id) + "\ndata: " + instance + "\n\n");
}

void stand_in_runner::fail(const run& current)
{
    current.exchange->respond(head_for(current, 500), "failed");
}

void stand_in_runner::reject(const run& current, unsigned code, const std::string& retry_after)
{
    auto head = http::make_response(http::status::service_unavailable);
    head.result(code);
    head.set("X-Not-Executed", "1");
    head.set("X-Request-Id", current.id);
    if (!retry_after.empty())
    {
        head.set("Retry-After", retry_after);
    }
    announce_leaving(head);
    current.exchange->respond(std::move(head), {});
}

void stand_in_runner::stop_listening()
{
    listener_.close();
}

void stand_in_runner::on_request(const std::shared_ptr<http::exchange>& request)
{
    ++requests_received;
    const auto& head = request->head();
    run current{.id = std::string(head["X-Request-Id"]),
                .method = std::string(head.method_string()),
                .target = std::string(head.target()),
                .body = request->body(),
                .head = head,
                .exchange = request,
                .cancelled = std::make_shared<bool>(false)};
    if (head["X-Expect-Instance"] != instance)
    {
        auto misdirected = http::make_response(http::status::misdirected_request);
        misdirected.set("X-Instance-Id", instance);
        request->respond(std::move(misdirected), {});
        return;
    }
    request->on_disconnect([cancelled = current.cancelled] { *cancelled = true; });
    runs.push_back(current);
    if (next_behaviours.empty())
    {
        succeed(current, "from " + instance);
        return;
    }
    const auto handle = std::move(next_behaviours.front());
    next_behaviours.pop_front();
    handle(*this, current);
}

http::response_head stand_in_runner::head_for(const run& current, unsigned code) const
{
    auto head = http::make_response(http::status::ok);
    head.result(code);
    head.set("X-Request-Id", current.id);
    head.set("X-Response-Seal", "seal of " + instance);
    announce_leaving(head);
    return head;
}

void stand_in_runner::announce_leaving(http::response_head& head) const
{
    if (leaving)
    {
        head.set("Server-Leaving", "1");
    }
}

}  // namespace users_platform_tests
