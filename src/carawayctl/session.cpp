#include "carawayctl/session.hpp"

#include "libcaraway/rpc/rpc_client.hpp"

#include <optional>
#include <utility>

namespace caraway::ctl
{

namespace
{

/// Whether another router may do better.
bool is_worth_another(base::errc kind)
{
    return kind == base::errc::unavailable || kind == base::errc::timeout ||
           kind == base::errc::unknown_effect;
}

/// A question that got no answer changed nothing.
base::error as_read_error(base::error error)
{
    if (error.code == base::errc::unknown_effect)
    {
        error.code = base::errc::unavailable;
    }
    return error;
}

}  // namespace

session::session(session_options options) : options_(std::move(options)) {}

base::result<QJsonObject> session::ask(const router_address& router, const std::string& method,
                                       const QJsonObject& params) const
{
    rpc::rpc_client client({.host = router.host,
                            .port = router.port,
                            .key = options_.key,
                            .timeout = options_.timeout});
    BOOST_OUTCOME_TRY(answer, client.call(method, params));
    return answer.toObject();
}

base::result<QJsonObject> session::read(const std::string& method, const QJsonObject& params) const
{
    base::error last = base::make_error(base::errc::unavailable, "There is no router to ask.");
    for (const router_address& router : options_.routers)
    {
        auto answer = ask(router, method, params);
        if (answer.has_value() || !is_worth_another(answer.error().code))
        {
            return answer;
        }
        last = as_read_error(std::move(answer).error());
    }
    return last;
}

base::result<QJsonObject> session::write(const std::string& method, const QJsonObject& params) const
{
    std::optional<base::error> unknown;
    base::error last = base::make_error(base::errc::unavailable, "There is no router to ask.");
    for (const router_address& router : options_.routers)
    {
        auto answer = ask(router, method, params);
        if (answer.has_value())
        {
            return answer;
        }
        last = std::move(answer).error();
        if (last.code == base::errc::unknown_effect)
        {
            unknown = last;
        }
        if (!is_worth_another(last.code))
        {
            break;
        }
    }
    if (!unknown)
    {
        return last;
    }
    if (last != *unknown)
    {
        unknown->message += " Then: " + last.message;
    }
    return *unknown;
}

std::vector<router_answer> session::ask_all(const std::string& method,
                                            const QJsonObject& params) const
{
    std::vector<router_answer> answers;
    for (const router_address& router : options_.routers)
    {
        auto answer = ask(router, method, params);
        if (answer.has_error())
        {
            answer = as_read_error(std::move(answer).error());
        }
        answers.push_back({.router = router, .result = std::move(answer)});
    }
    return answers;
}

}  // namespace caraway::ctl
