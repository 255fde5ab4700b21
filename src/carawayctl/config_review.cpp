#include "carawayctl/accepted_document.hpp"
#include "carawayctl/config_commands.hpp"
#include "carawayctl/folder.hpp"
#include "carawayctl/output.hpp"
#include "libcaraway/config/diff.hpp"
#include "libcaraway/logging/escape.hpp"
#include "libcaraway/rpc/methods.hpp"

#include <QFileInfo>
#include <QJsonArray>
#include <QJsonDocument>

#include <iostream>

namespace caraway::ctl
{

namespace
{

QJsonArray problem_objects(const config::problems& found)
{
    QJsonArray out;
    for (const config::problem& each : found)
    {
        out.append(QJsonObject{{"file", QString::fromStdString(each.file)},
                               {"pointer", QString::fromStdString(each.pointer)},
                               {"message", QString::fromStdString(each.message)}});
    }
    return out;
}

exit_code report_problems(const config::problems& found, bool json)
{
    if (json)
    {
        print_json({{"ok", false}, {"problems", problem_objects(found)}});
    }
    else
    {
        std::cerr << config::to_text(found) << '\n';
    }
    return exit_code::refused;
}

/// What a folder is compared with.
base::result<QJsonObject> comparison(const session& fleet, const std::string& against)
{
    if (!QFileInfo(QString::fromStdString(against)).isDir())
    {
        if (against.empty())
        {
            BOOST_OUTCOME_TRY(base, fetch_base(fleet));
            return base.json;
        }
        BOOST_OUTCOME_TRY(version, fetch_document(fleet, against));
        return version.json;
    }
    BOOST_OUTCOME_TRY(checked, check_folder(against));
    if (!checked.checked)
    {
        return base::make_error(base::errc::invalid_argument,
                                against + " does not pass its check.");
    }
    return checked.checked->json();
}

QJsonObject difference_object(const config::difference& each)
{
    return {{"kind", config::name(each.kind)},
            {"part", QString::fromStdString(each.part)},
            {"id", QString::fromStdString(each.id)},
            {"pointer", QString::fromStdString(each.pointer)},
            {"before", QString::fromStdString(each.before)},
            {"after", QString::fromStdString(each.after)}};
}

std::string printable(const std::string& text)
{
    return logging::printable(QString::fromStdString(text));
}

void print_difference(const config::difference& each)
{
    switch (each.kind)
    {
    case config::change_kind::added:
        std::cout << "+ " << printable(each.pointer) << "  " << each.after << '\n';
        break;
    case config::change_kind::removed:
        std::cout << "- " << printable(each.pointer) << "  " << each.before << '\n';
        break;
    case config::change_kind::changed:
        std::cout << "~ " << printable(each.pointer) << "  " << each.before << " -> " << each.after
                  << '\n';
        break;
    }
}

void print_differences(const QJsonObject& before, const QJsonObject& after, bool json)
{
    const auto differences = config::diff(before, after);
    QJsonArray touched;
    for (const std::string& part : config::touched_parts(before, after))
    {
        touched.append(QString::fromStdString(part));
    }
    if (json)
    {
        QJsonArray objects;
        for (const config::difference& each : differences)
        {
            objects.append(difference_object(each));
        }
        print_json({{"differences", objects}, {"touched", touched}});
        return;
    }
    for (const config::difference& each : differences)
    {
        print_difference(each);
    }
    std::cout << differences.size() << (differences.size() == 1 ? " difference" : " differences")
              << "; parts touched: " << shown(touched) << '\n';
}

}  // namespace

exit_code run_config_check(const std::string& folder, bool json)
{
    const auto report_of_folder = check_folder(folder);
    if (report_of_folder.has_error())
    {
        return report(report_of_folder.error(), json);
    }
    const config::check_report& checked = report_of_folder.value();
    if (!checked.checked)
    {
        return report_problems(checked.found, json);
    }
    const QString hash = QString::fromStdString(checked.checked->hash());
    if (json)
    {
        print_json({{"ok", true}, {"hash", hash}, {"problems", QJsonArray{}}});
        return exit_code::ok;
    }
    std::cout << "The configuration is valid.\nhash  " << hash.toStdString() << '\n';
    return exit_code::ok;
}

exit_code run_config_diff(const session& fleet, const diff_options& options)
{
    const auto folder = check_folder(options.folder);
    if (folder.has_error())
    {
        return report(folder.error(), fleet.json());
    }
    if (!folder.value().checked)
    {
        return report_problems(folder.value().found, fleet.json());
    }
    const auto before = comparison(fleet, options.against);
    if (before.has_error())
    {
        return report(before.error(), fleet.json());
    }
    print_differences(before.value(), folder.value().checked->json(), fleet.json());
    return exit_code::ok;
}

exit_code run_config_show(const session& fleet, const std::string& version)
{
    const auto document = fetch_document(fleet, version);
    if (document.has_error())
    {
        return report(document.error(), fleet.json());
    }
    const accepted_document& found = document.value();
    if (fleet.json())
    {
        print_json({{"version", found.version}, {"hash", found.hash}, {"document", found.json}});
        return exit_code::ok;
    }
    std::cerr << "version " << found.version << ", hash " << found.hash.toStdString() << '\n';
    print_json(found.json);
    return exit_code::ok;
}

exit_code run_config_log(const session& fleet)
{
    const auto answer = fleet.read(rpc::methods::config_log);
    if (answer.has_error())
    {
        return report(answer.error(), fleet.json());
    }
    if (fleet.json())
    {
        print_json(answer.value());
        return exit_code::ok;
    }
    text_table table({"VERSION", "AT", "CHANGE", "PROPOSER", "APPROVERS", "HASH"});
    for (const QJsonValue entry : answer.value()["versions"].toArray())
    {
        table.add({shown(entry["version"]), shown(entry["at"]), shown(entry["change"]),
                   shown(entry["proposer"]), shown(entry["approvers"]), shown(entry["hash"])});
    }
    table.print();
    return exit_code::ok;
}

exit_code run_config_changes(const session& fleet)
{
    const auto answer = fleet.read(rpc::methods::config_changes);
    if (answer.has_error())
    {
        return report(answer.error(), fleet.json());
    }
    if (fleet.json())
    {
        print_json(answer.value());
        return exit_code::ok;
    }
    text_table table({"CHANGE", "STATE", "BASE", "PROPOSER", "APPROVED_BY", "HASH", "NOTE"});
    for (const QJsonValue change : answer.value()["changes"].toArray())
    {
        QJsonArray approvers;
        for (const QJsonValue approval : change["approvals"].toArray())
        {
            approvers.append(approval["approver"]);
        }
        table.add({shown(change["id"]), shown(change["state"]), shown(change["base"]),
                   shown(change["proposer"]), shown(approvers), shown(change["hash"]),
                   shown(change["note"])});
    }
    table.print();
    return exit_code::ok;
}

}  // namespace caraway::ctl
