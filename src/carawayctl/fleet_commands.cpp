#include "carawayctl/fleet_commands.hpp"

#include "carawayctl/output.hpp"
#include "libcaraway/rpc/methods.hpp"

#include <QJsonArray>

#include <algorithm>
#include <iostream>
#include <optional>
#include <vector>

namespace caraway::ctl
{

namespace
{

constexpr qsizetype shown_hash_characters = 12;

QJsonObject status_object(const router_answer& answer)
{
    QJsonObject out{{"router", QString::fromStdString(answer.router.str())}};
    if (answer.result.has_value())
    {
        out["status"] = answer.result.value();
    }
    else
    {
        out["error"] = error_object(answer.result.error());
    }
    return out;
}

std::vector<std::string> status_row(const router_answer& answer)
{
    if (answer.result.has_error())
    {
        return {answer.router.str(), "-", "-", base::name(answer.result.error().code)};
    }
    const QJsonObject& status = answer.result.value();
    const QJsonObject config = status["config"].toObject();
    const QJsonObject members = status["members"].toObject();
    return {answer.router.str(),      shown(status["node"]),
            shown(status["zone"]),    shown(status["state"]),
            shown(config["version"]), shown(config["hash"].toString().left(shown_hash_characters)),
            shown(members["live"]),   shown(members["suspected"]),
            shown(status["waiting"]), shown(status["running"]),
            shown(status["uptime_s"])};
}

void print_event(const QJsonObject& event)
{
    std::string line =
        "+" + shown(event["at_ms"]) + " ms  " + shown(event["part"]) + "  " + shown(event["what"]);
    for (auto member = event.begin(); member != event.end(); ++member)
    {
        if (member.key() != "at_ms" && member.key() != "part" && member.key() != "what")
        {
            line += "  " + shown(member.key()) + "=" + shown(member.value());
        }
    }
    std::cout << line << '\n';
}

/// The first router that knows the request; else `unavailable` while some router that may know it
/// gave no answer, else `not_found`.
base::result<QJsonObject> find_request(const session& fleet, const std::string& request)
{
    std::optional<base::error> unreached;
    const QJsonObject params{{"request", QString::fromStdString(request)}};
    for (const router_address& router : fleet.routers())
    {
        auto answer = fleet.ask(router, rpc::methods::explain, params);
        if (answer.has_value())
        {
            return answer;
        }
        switch (answer.error().code)
        {
        case base::errc::not_found:
            break;
        case base::errc::unavailable:
        case base::errc::timeout:
        case base::errc::unknown_effect:
            unreached = base::make_error(base::errc::unavailable, answer.error().message);
            break;
        default:
            return answer;
        }
    }
    return unreached.value_or(
        base::make_error(base::errc::not_found, "No router that was asked knows this request."));
}

}  // namespace

exit_code run_status(const session& fleet)
{
    const auto answers = fleet.ask_all(rpc::methods::status);
    text_table table({"ROUTER", "NODE", "ZONE", "STATE", "VERSION", "HASH", "LIVE", "SUSPECTED",
                      "WAITING", "RUNNING", "UPTIME_S"});
    QJsonArray objects;
    exit_code worst = exit_code::ok;
    for (const router_answer& answer : answers)
    {
        objects.append(status_object(answer));
        table.add(status_row(answer));
        if (answer.result.has_error())
        {
            worst = std::max(worst, exit_code_of(answer.result.error().code));
        }
    }
    if (fleet.json())
    {
        print_json({{"routers", objects}});
        return worst;
    }
    table.print();
    for (const router_answer& answer : answers)
    {
        if (answer.result.has_error())
        {
            report(answer.result.error(), false);
        }
    }
    return worst;
}

exit_code run_dump(const session& fleet)
{
    const auto answer = fleet.read(rpc::methods::dump);
    if (answer.has_error())
    {
        return report(answer.error(), fleet.json());
    }
    print_json(answer.value());
    return exit_code::ok;
}

exit_code run_explain(const session& fleet, const std::string& request)
{
    const auto answer = find_request(fleet, request);
    if (answer.has_error())
    {
        return report(answer.error(), fleet.json());
    }
    if (fleet.json())
    {
        print_json(answer.value());
        return exit_code::ok;
    }
    for (const QJsonValue event : answer.value()["events"].toArray())
    {
        print_event(event.toObject());
    }
    return exit_code::ok;
}

exit_code run_drain(const session& fleet)
{
    if (fleet.routers().size() != 1)
    {
        std::cerr << "carawayctl: drain takes exactly one --router: the one to drain.\n";
        return exit_code::usage;
    }
    const auto answer = fleet.write(rpc::methods::drain, {});
    if (answer.has_error())
    {
        return report(answer.error(), fleet.json());
    }
    if (fleet.json())
    {
        print_json(answer.value());
        return exit_code::ok;
    }
    std::cout << fleet.routers().front().str() << " is " << shown(answer.value()["state"]) << ".\n";
    return exit_code::ok;
}

}  // namespace caraway::ctl
