#include "carawayd/configuration/configuration_keeper.hpp"
#include "libcaraway/net/platform_client.hpp"

#include <QDateTime>
#include <QMetaObject>
#include <QPointer>

#include <chrono>
#include <utility>

namespace carawayd::configuration
{

namespace base = caraway::base;
namespace config = caraway::config;

namespace
{

std::string rfc3339(std::chrono::system_clock::time_point at)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch());
    return QDateTime::fromMSecsSinceEpoch(ms.count(), Qt::UTC)
        .toString(Qt::ISODateWithMs)
        .toStdString();
}

}  // namespace

void configuration_keeper::propose(const proposal& what, command_callback done)
{
    auto document = config::document::from_bytes(what.document, config::sha256(what.document));
    if (!document)
    {
        QMetaObject::invokeMethod(
            this, [done = std::move(done), error = document.error()] { done(error); },
            Qt::QueuedConnection);
        return;
    }
    run(what.key_hash,
        config::propose_command{.change = what.change,
                                .base_version = what.base_version,
                                .proposed = std::move(document).value(),
                                .note = what.note},
        std::move(done));
}

void configuration_keeper::approve(const change_approval& what, command_callback done)
{
    run(what.key_hash,
        config::approve_command{
            .change = what.change, .base_version = what.base_version, .hash = what.hash},
        std::move(done));
}

void configuration_keeper::reject(const config::sha256_hex& key_hash, const base::change_id& change,
                                  command_callback done)
{
    run(key_hash, config::reject_command{.change = change}, std::move(done));
}

void configuration_keeper::run(const config::sha256_hex& key_hash,
                               decltype(config::command::operation) what, command_callback done)
{
    ++commands_running_;
    const auto started = std::make_shared<command_run>(
        config::command{
            .key_hash = key_hash, .at = rfc3339(clock_.wall_time()), .operation = std::move(what)},
        config::acceptance_options{.bootstrap = options_.bootstrap,
                                   .newest_known =
                                       current() ? current()->version : base::config_version{}},
        platform_,
        [guard = QPointer<configuration_keeper>(this),
         done = std::move(done)](base::result<command_outcome> outcome)
        {
            if (guard)
            {
                guard->take_outcome(std::move(outcome), done);
            }
        });
    started->start();
}

void configuration_keeper::take_outcome(base::result<command_outcome> outcome,
                                        const command_callback& done)
{
    --commands_running_;
    if (!outcome)
    {
        done(std::move(outcome));
        return;
    }
    const config::change_record& change = outcome.value().result.change;
    if (change.state == config::change_state::open)
    {
        queries_.list(change.id, [done, outcome] { done(outcome); });
        return;
    }
    queries_.unlist(change.id);
    take_accepted(outcome.value());
    done(std::move(outcome));
}

// Straight from the command's own hands: an outage right after the acceptance must not keep the
// accepted version from being in force here and handed on to the peers.
void configuration_keeper::take_accepted(const command_outcome& outcome)
{
    if (!outcome.result.accepted_version)
    {
        return;
    }
    const config::version_ref accepted{.version = *outcome.result.accepted_version,
                                       .hash = outcome.result.change.hash};
    if (!outcome.document)
    {
        offer(accepted, config::version_source::platform);
        return;
    }
    const auto heard = tracker_.offer(accepted, config::version_source::platform);
    if (!heard)
    {
        note(heard.error());
    }
    else if (!current() || current()->version < accepted.version)
    {
        take_document(accepted, *outcome.document);
    }
}

}  // namespace carawayd::configuration
