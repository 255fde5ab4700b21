#include "carawayd/configuration/command_run.hpp"

#include "carawayd/configuration/row_bytes.hpp"
#include "libcaraway/net/platform_client.hpp"

#include <utility>
#include <vector>

namespace carawayd::configuration
{

namespace base = caraway::base;
namespace config = caraway::config;
namespace net = caraway::net;

namespace
{

using base::errc;
using config::reply_status;

net::write_condition to_condition(const config::put_row& put)
{
    return put.expected_rev ? net::write_condition::at(net::row_revision{*put.expected_rev})
                            : net::write_condition::absent();
}

/// Nothing for errors that no repeat can help.
std::optional<reply_status> to_status(errc code)
{
    switch (code)
    {
    case errc::not_found:
        return reply_status::not_found;
    case errc::conflict:
        return reply_status::conflict;
    case errc::unavailable:
    case errc::timeout:
        return reply_status::unavailable;
    case errc::unknown_effect:
        return reply_status::lost;
    default:
        return std::nullopt;
    }
}

}  // namespace

command_run::command_run(config::command asked, config::acceptance_options options,
                         net::platform_client& platform, finished_handler done)
    : acceptance_(std::move(asked), std::move(options)), platform_(platform), done_(std::move(done))
{
}

void command_run::start()
{
    follow(acceptance_.begin());
}

void command_run::follow(config::acceptance_step step)
{
    if (const auto* action = std::get_if<config::platform_action>(&step))
    {
        std::visit([this](const auto& asked) { perform(asked); }, *action);
        return;
    }
    if (auto* error = std::get_if<base::error>(&step))
    {
        done_(std::move(*error));
        return;
    }
    conclude(std::get<config::acceptance_result>(std::move(step)));
}

template <class T>
void command_run::reply(const base::result<T>& answer, const config::platform_reply& ok)
{
    if (answer)
    {
        follow(acceptance_.handle(ok));
        return;
    }
    if (const auto status = to_status(answer.error().code))
    {
        follow(acceptance_.handle({.status = *status, .found = std::nullopt, .object = {}}));
        return;
    }
    done_(answer.error());
}

void command_run::perform(const config::read_row& action)
{
    platform_.get(action.key.pk, action.key.sk,
                  [self = shared_from_this()](const base::result<net::platform_row>& answer)
                  {
                      config::platform_reply ok;
                      if (answer)
                      {
                          ok.found =
                              config::row{.rev = static_cast<std::uint64_t>(answer.value().rev),
                                          .body = body_bytes(answer.value())};
                      }
                      self->reply(answer, ok);
                  });
}

void command_run::perform(const config::put_row& action)
{
    platform_.put(make_row(action.key, action.body), to_condition(action),
                  [self = shared_from_this()](const base::result<net::row_revision>& answer)
                  { self->reply(answer, {}); });
}

void command_run::perform(const config::get_object& action)
{
    platform_.get_object(
        action.name,
        [self = shared_from_this(), name = action.name](const base::result<QByteArray>& answer)
        {
            config::platform_reply ok;
            if (answer)
            {
                self->object_name_ = name;
                self->object_ = answer.value();
                ok.object = answer.value();
            }
            self->reply(answer, ok);
        });
}

void command_run::perform(const config::put_object& action)
{
    object_name_ = action.name;
    object_ = action.bytes;
    platform_.put_object(action.name, action.bytes,
                         [self = shared_from_this()](const base::result<void>& answer)
                         { self->reply(answer, {}); });
}

void command_run::perform(const config::transact& action)
{
    std::vector<net::platform_write> writes;
    writes.reserve(action.puts.size());
    for (const config::put_row& put : action.puts)
    {
        writes.push_back({.what = net::platform_write::kind::put,
                          .row = make_row(put.key, put.body),
                          .condition = to_condition(put)});
    }
    platform_.transact(writes, action.token,
                       [self = shared_from_this()](const base::result<void>& answer)
                       { self->reply(answer, {}); });
}

void command_run::conclude(config::acceptance_result result)
{
    command_outcome outcome{.result = std::move(result), .document = std::nullopt};
    if (object_name_ == config::object_name(outcome.result.change.hash))
    {
        outcome.document = object_;
    }
    done_(std::move(outcome));
}

}  // namespace carawayd::configuration
