#include "caraway_load/run/fleet_layout.hpp"

#include <QJsonObject>

namespace caraway_load::run
{

fleet::layout layout_of(const workload::scenario& load, const std::string& policy,
                        const QString& programs)
{
    fleet::layout plan;
    plan.routers = load.routers;
    plan.zones = load.zones;
    plan.programs = programs;
    plan.router_arguments = {"--policy", QString::fromStdString(policy)};
    plan.settings = {{"log", QJsonObject{{"level", "warning"}}}};
    for (std::uint32_t i = 0; i < load.engines.count; ++i)
    {
        plan.engines.push_back({.id = "runner-" + std::to_string(i + 1),
                                .model = load.engines.model,
                                .slots = load.engines.slots,
                                .token_ms = load.engines.token_ms,
                                .prefill_ms_per_1k_tokens = load.engines.prefill_ms_per_1k_tokens,
                                .zone = load.zones[i % load.zones.size()]});
    }
    for (std::uint32_t i = 0; i < load.services.count; ++i)
    {
        plan.services.push_back({.id = load.services.service + "-" + std::to_string(i + 1),
                                 .service = load.services.service,
                                 .slots = load.services.slots,
                                 .work_ms = load.services.work_ms,
                                 .zone = load.zones[i % load.zones.size()]});
    }
    for (const auto& workspace : load.workspaces)
    {
        plan.workspaces.push_back(
            {.id = workspace.id, .share = workspace.share, .max_waiting = workspace.max_waiting});
    }
    return plan;
}

}  // namespace caraway_load::run
