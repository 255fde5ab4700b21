#include "carawayd/configuration/configuration_keeper.hpp"

#include <QJsonArray>

#include <string>

namespace carawayd::configuration
{

namespace base = caraway::base;

namespace
{

qint64 number(base::config_version version)
{
    return static_cast<qint64>(version);
}

}  // namespace

std::string configuration_keeper::waits_for() const
{
    if (!fetches_.empty())
    {
        const auto& [version, pending] = *fetches_.rbegin();
        return "the document of version " + std::to_string(number(version)) + " from " +
               pending.fetch->waits_for();
    }
    if (retry_scheduled_)
    {
        return "the next attempt to get the document of version " +
               std::to_string(number(tracker_.newest_known()));
    }
    if (refused_)
    {
        return "a newer version: this program refuses the document of version " +
               std::to_string(number(refused_->version));
    }
    if (!current())
    {
        return head_read_at_ && head_error_.empty()
                   ? "the first configuration to be accepted"
                   : "the platform or a peer to say which version is accepted";
    }
    return head_error_.empty() ? "nothing" : "the platform to answer; peers' versions are taken";
}

QJsonObject configuration_keeper::dump() const
{
    QJsonObject state{{"in_force", number(current() ? current()->version : base::config_version{})},
                      {"hash", QString::fromStdString(current() ? current()->hash : "")},
                      {"newest_heard", number(tracker_.newest_known())},
                      {"waits_for", QString::fromStdString(waits_for())},
                      {"last_problem", QString::fromStdString(last_problem_)},
                      {"commands_running", static_cast<qint64>(commands_running_)}};
    QJsonObject head{{"version", number(head_version_)},
                     {"error", QString::fromStdString(head_error_)}};
    if (head_read_at_)
    {
        head["age_s"] = std::chrono::duration<double>(clock_.now() - *head_read_at_).count();
    }
    state["head"] = head;
    return state;
}

}  // namespace carawayd::configuration
