#include "carawayd/admin/rpc_methods.hpp"

#include "carawayd/admin/change_json.hpp"
#include "carawayd/configuration/configuration_keeper.hpp"
#include "carawayd/control/ask.hpp"
#include "carawayd/control/control_plane.hpp"
#include "carawayd/journal/request_journal.hpp"
#include "libcaraway/rpc/methods.hpp"
#include "libcaraway/rpc/rpc_endpoint.hpp"

#include <QJsonArray>

#include <optional>
#include <string>
#include <utility>

namespace carawayd::admin
{

using caraway::base::errc;
using caraway::base::make_error;
using caraway::base::result;
using caraway::rpc::rpc_call;

namespace methods = caraway::rpc::methods;

namespace
{

using reply = std::function<void(result<QJsonValue>)>;
/// Answers one call on the control thread, now or later.
using control_method = std::function<void(const rpc_call&, const reply&)>;

constexpr std::size_t most_log_entries = 200;

std::string text(const rpc_call& call, const char* name)
{
    return call.params[QLatin1String(name)].toString().toStdString();
}

caraway::base::config_version version(const rpc_call& call, const char* name)
{
    return caraway::base::config_version(
        static_cast<std::uint64_t>(call.params[QLatin1String(name)].toInteger()));
}

result<void> require(const rpc_call& call, std::initializer_list<const char*> names)
{
    for (const char* name : names)
    {
        if (call.params[QLatin1String(name)].isUndefined())
        {
            return make_error(errc::invalid_argument,
                              std::string("The parameter \"") + name + "\" is missing.");
        }
    }
    return caraway::base::success();
}

void add(caraway::rpc::rpc_endpoint& endpoint, const rpc_context& context, const char* name,
         std::initializer_list<const char*> required, control_method method)
{
    const std::vector<const char*> names(required);
    endpoint.add(name,
                 [&control = context.control, &clock = context.clock, names,
                  method = std::move(method)](const rpc_call& call) -> result<QJsonValue>
                 {
                     for (const char* wanted : names)
                     {
                         BOOST_OUTCOME_TRY(require(call, {wanted}));
                     }
                     return control::ask<QJsonValue>(&control, clock, call.deadline,
                                                     [call, method](const reply& done)
                                                     { method(call, done); });
                 });
}

/// Passes a command's outcome on as the change that it is about.
configuration::configuration_keeper::command_callback change_reply(const reply& done)
{
    return [done](const result<configuration::command_outcome>& outcome)
    {
        if (!outcome)
        {
            done(outcome.error());
            return;
        }
        done(QJsonValue(to_json(outcome.value().result)));
    };
}

void show(const rpc_context& context, const rpc_call& call, const reply& done)
{
    auto& keeper = context.control.keeper();
    const auto wanted = version(call, "version");
    const auto& current = keeper.current();
    const auto& document = keeper.current_document();
    if (current && (call.params["version"].isUndefined() || wanted == current->version))
    {
        done(QJsonValue(document_json(current->version, current->hash, document->bytes())));
        return;
    }
    if (call.params["version"].isUndefined())
    {
        done(make_error(errc::not_found, "No configuration is in force yet."));
        return;
    }
    keeper.queries().show(
        wanted,
        [done](const result<configuration::stored_document>& found)
        {
            if (!found)
            {
                done(found.error());
                return;
            }
            const auto& value = found.value();
            done(QJsonValue(document_json(value.version, value.hash, value.bytes)));
        });
}

void propose(const rpc_context& context, const rpc_call& call, const reply& done)
{
    const auto bytes = QByteArray::fromBase64Encoding(call.params["document"].toString().toLatin1(),
                                                      QByteArray::AbortOnBase64DecodingErrors);
    if (bytes.decodingStatus != QByteArray::Base64DecodingStatus::Ok)
    {
        done(make_error(errc::invalid_argument, "The parameter \"document\" is no base64."));
        return;
    }
    context.control.keeper().propose({.key_hash = call.key_hash,
                                      .change = caraway::base::change_id(text(call, "change")),
                                      .base_version = version(call, "base"),
                                      .document = bytes.decoded,
                                      .note = text(call, "note")},
                                     change_reply(done));
}

void add_configuration_methods(caraway::rpc::rpc_endpoint& endpoint, const rpc_context& context)
{
    add(endpoint, context, methods::config_show, {},
        [context](const auto& call, const auto& done) { show(context, call, done); });
    add(endpoint, context, methods::config_propose, {"change", "base", "document"},
        [context](const auto& call, const auto& done) { propose(context, call, done); });
    add(endpoint, context, methods::config_approve, {"change", "hash", "base"},
        [context](const auto& call, const auto& done)
        {
            context.control.keeper().approve(
                {.key_hash = call.key_hash,
                 .change = caraway::base::change_id(text(call, "change")),
                 .base_version = version(call, "base"),
                 .hash = text(call, "hash")},
                change_reply(done));
        });
    add(endpoint, context, methods::config_reject, {"change"},
        [context](const auto& call, const auto& done)
        {
            context.control.keeper().reject(
                call.key_hash, caraway::base::change_id(text(call, "change")), change_reply(done));
        });
    add(endpoint, context, methods::config_changes, {},
        [context](const auto&, const auto& done)
        {
            context.control.keeper().queries().changes(
                [done](const auto& found)
                { found ? done(QJsonValue(changes_json(found.value()))) : done(found.error()); });
        });
    add(endpoint, context, methods::config_log, {},
        [context](const auto&, const auto& done)
        {
            context.control.keeper().queries().log(
                most_log_entries, [done](const auto& found)
                { found ? done(QJsonValue(log_json(found.value()))) : done(found.error()); });
        });
}

void add_fault_method(caraway::rpc::rpc_endpoint& endpoint, const rpc_context& context)
{
    add(endpoint, context, "debug.cut", {"peers"},
        [context](const auto& call, const auto& done)
        {
            std::set<caraway::membership::endpoint> peers;
            const QJsonArray listed = call.params["peers"].toArray();
            for (const QJsonValueConstRef entry : listed)
            {
                const QJsonObject peer = entry.toObject();
                peers.insert({peer["address"].toString().toStdString(),
                              static_cast<std::uint16_t>(peer["port"].toInt())});
            }
            context.control.set_cut(peers);
            done(QJsonValue(QJsonObject{{"cut", static_cast<int>(peers.size())}}));
        });
}

}  // namespace

void add_rpc_methods(caraway::rpc::rpc_endpoint& endpoint, const rpc_context& context)
{
    add(endpoint, context, methods::status, {},
        [context](const auto&, const auto& done) { done(QJsonValue(context.control.status())); });
    add(endpoint, context, methods::dump, {},
        [context](const auto&, const auto& done) { done(QJsonValue(context.dump())); });
    add(endpoint, context, methods::drain, {},
        [context](const auto&, const auto& done)
        {
            context.drain();
            done(QJsonValue(QJsonObject{{"state", "draining"}}));
        });
    endpoint.add(
        methods::explain,
        [&journal = context.journal](const rpc_call& call) -> result<QJsonValue>
        {
            BOOST_OUTCOME_TRY(require(call, {"request"}));
            const auto events = journal.events(caraway::base::request_id(text(call, "request")));
            if (!events)
            {
                return make_error(errc::not_found, "This router doesn't remember that request.");
            }
            return QJsonValue(QJsonObject{{"events", *events}});
        });
    add_configuration_methods(endpoint, context);
    if (context.allow_faults)
    {
        add_fault_method(endpoint, context);
    }
}

}  // namespace carawayd::admin
