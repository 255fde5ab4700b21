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
    nlohmann::json out{{"backend", service}, {"address", "127.0.0.1:" + std::to_string(port_)},
                       {"zone", zone},       {"slots", 4},
                       {"state", state},     {"sequence", 1}};
    if (warmup_left_ms)
    {
        out["warmup_left_ms"] = *warmup_left_ms;
    }
    return out.dump();
}

void stand_in_runner::succeed(const run& of, const std::string& body)
{
    of.exchange->respond(head_for(of, 200), body);
}

void stand_in_runner::begin_stream(const run& of)
{
    auto head = head_for(of, 200);
    head.set(http::field::content_type, "text/event-stream");
    of.exchange->begin(std::move(head));
}

void stand_in_runner::event(const run& of, int id)
{
    of.exchange->write("id: " + std::to_string(id) + "\ndata: " + instance + "\n\n");
}

void stand_in_runner::fail(const run& of)
{
    of.exchange->respond(head_for(of, 500), "failed");
}

void stand_in_runner::refuse(const run& of, unsigned code)
{
    auto head = http::make_response(http::status::service_unavailable);
    head.result(code);
    head.set("X-Not-Executed", "1");
    head.set("X-Request-Id", of.id);
    of.exchange->respond(std::move(head), {});
}

void stand_in_runner::stop_listening()
{
    listener_.close();
}

void stand_in_runner::on_request(const std::shared_ptr<http::exchange>& request)
{
    ++arrivals;
    const auto& head = request->head();
    run of{.id = std::string(head["X-Request-Id"]),
           .method = std::string(head.method_string()),
           .target = std::string(head.target()),
           .body = request->body(),
           .head = head,
           .exchange = request,
           .cancelled = std::make_shared<bool>(false)};
    if (head["X-Expect-Instance"] != instance)
    {
        auto other = http::make_response(http::status::misdirected_request);
        other.set("X-Instance-Id", instance);
        request->respond(std::move(other), {});
        return;
    }
    request->on_disconnect([cancelled = of.cancelled] { *cancelled = true; });
    runs.push_back(of);
    if (next.empty())
    {
        succeed(of, "from " + instance);
        return;
    }
    const auto act = std::move(next.front());
    next.pop_front();
    act(*this, of);
}

http::response_head stand_in_runner::head_for(const run& of, unsigned code) const
{
    auto head = http::make_response(http::status::ok);
    head.result(code);
    head.set("X-Request-Id", of.id);
    head.set("X-Response-Seal", "seal of " + instance);
    return head;
}

}  // namespace users_platform_tests
