#include "carawayctl/accepted_document.hpp"
#include "carawayctl/config_commands.hpp"
#include "carawayctl/folder.hpp"
#include "carawayctl/output.hpp"
#include "libcaraway/config/problem.hpp"
#include "libcaraway/rpc/methods.hpp"

#include <QJsonArray>
#include <QUuid>

#include <iostream>
#include <optional>
#include <utility>

namespace caraway::ctl
{

namespace
{

/// The document of a folder that passes its check; the error tells all problems.
base::result<config::document> valid_document(const std::string& folder)
{
    BOOST_OUTCOME_TRY(checked, check_folder(folder));
    if (!checked.checked)
    {
        return base::make_error(base::errc::invalid_argument,
                                folder + " does not pass its check; see config check. First: " +
                                    config::to_text(config::problems{checked.found.front()}));
    }
    return *checked.checked;
}

void print_outcome(const QJsonObject& change)
{
    std::cout << "change    " << shown(change["id"]) << "\nstate     " << shown(change["state"])
              << "\nbase      " << shown(change["base"]) << "\nhash      " << shown(change["hash"])
              << '\n';
    // Of a change that has ended, a router no longer counts the approvals.
    if (change["state"].toString() == "open")
    {
        std::cout << "approved  " << shown(change["approvals_counted"]) << " of "
                  << shown(change["approvals_required"]) << '\n';
    }
    if (change.contains("version"))
    {
        std::cout << "version   " << shown(change["version"]) << '\n';
    }
}

/// Tells how a command on a change ended. With its effect unknown, says how to find out.
exit_code finish(const session& fleet, const base::result<QJsonObject>& answer,
                 const std::string& change)
{
    if (answer.has_error())
    {
        base::error error = answer.error();
        if (error.code == base::errc::unknown_effect)
        {
            error.message += " It is not known whether the command on change " + change +
                             " took effect; repeat it under the same id, or look at config "
                             "changes.";
        }
        return report(error, fleet.json());
    }
    if (fleet.json())
    {
        print_json(answer.value());
    }
    else
    {
        print_outcome(answer.value());
    }
    return exit_code::ok;
}

/// The member of a list of objects whose `key` is `id`, or nothing.
std::optional<QJsonObject> find_in(const QJsonValue& list, const char* key, const std::string& id)
{
    for (const QJsonValue each : list.toArray())
    {
        if (each[QLatin1String(key)].toString().toStdString() == id)
        {
            return each.toObject();
        }
    }
    return std::nullopt;
}

/// What is known of a change: an open one, or one that has become a version. The latter counts,
/// since a command whose answer was lost is repeated after it has taken effect.
base::result<QJsonObject> find_change(const session& fleet, const std::string& id)
{
    BOOST_OUTCOME_TRY(open, fleet.read(rpc::methods::config_changes));
    if (auto found = find_in(open["changes"], "id", id))
    {
        return *std::move(found);
    }
    BOOST_OUTCOME_TRY(log, fleet.read(rpc::methods::config_log));
    if (const auto version = find_in(log["versions"], "change", id))
    {
        // A change becomes the version after its base.
        return QJsonObject{{"id", QString::fromStdString(id)},
                           {"base", (*version)["version"].toInteger() - 1},
                           {"hash", (*version)["hash"]}};
    }
    return base::make_error(base::errc::not_found,
                            "There is no change " + id + " that is open or accepted.");
}

/// The version that a proposal starts from. The repeat of a proposal must name the one that it
/// named before, even if that is no longer the one in force; it is then known by its id.
base::result<qint64> base_of(const session& fleet, const accepted_document& in_force,
                             const propose_options& options)
{
    if (options.base)
    {
        return *options.base;
    }
    if (options.change.empty())
    {
        return in_force.version;
    }
    const auto known = find_change(fleet, options.change);
    if (known.has_value())
    {
        return known.value()["base"].toInteger();
    }
    if (known.error().code == base::errc::not_found)
    {
        return in_force.version;
    }
    return known.error();
}

}  // namespace

exit_code run_config_propose(const session& fleet, const propose_options& options)
{
    const auto document = valid_document(options.folder);
    if (document.has_error())
    {
        return report(document.error(), fleet.json());
    }
    const auto in_force = fetch_base(fleet);
    if (in_force.has_error())
    {
        return report(in_force.error(), fleet.json());
    }
    const QString hash = QString::fromStdString(document.value().hash());
    // With an id given this may be the repeat of a proposal that has been accepted meanwhile.
    if (options.change.empty() && hash == in_force.value().hash)
    {
        return report(
            base::make_error(base::errc::conflict, "The folder holds what is in force already."),
            fleet.json());
    }
    const auto base_version = base_of(fleet, in_force.value(), options);
    if (base_version.has_error())
    {
        return report(base_version.error(), fleet.json());
    }
    const std::string change =
        options.change.empty() ? QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString()
                               : options.change;
    const auto answer =
        fleet.write(rpc::methods::config_propose,
                    {{"change", QString::fromStdString(change)},
                     {"base", base_version.value()},
                     {"document", QString::fromLatin1(document.value().bytes().toBase64())},
                     {"note", QString::fromStdString(options.note)}});
    return finish(fleet, answer, change);
}

exit_code run_config_approve(const session& fleet, const approve_options& options)
{
    const auto change = find_change(fleet, options.change);
    if (change.has_error())
    {
        return report(change.error(), fleet.json());
    }
    const QString hash = change.value()["hash"].toString();
    if (!options.hash.empty() && hash.toStdString() != options.hash)
    {
        return report(
            base::make_error(base::errc::conflict, "Change " + options.change +
                                                       " has another hash: " + hash.toStdString()),
            fleet.json());
    }
    const auto answer = fleet.write(rpc::methods::config_approve,
                                    {{"change", QString::fromStdString(options.change)},
                                     {"hash", hash},
                                     {"base", change.value()["base"]}});
    return finish(fleet, answer, options.change);
}

exit_code run_config_reject(const session& fleet, const reject_options& options)
{
    const auto answer = fleet.write(rpc::methods::config_reject,
                                    {{"change", QString::fromStdString(options.change)},
                                     {"reason", QString::fromStdString(options.reason)}});
    return finish(fleet, answer, options.change);
}

}  // namespace caraway::ctl
