#pragma once

#include <QJsonObject>
#include <QString>
#include <QStringList>

#include <cstdint>
#include <string>
#include <vector>

namespace fleet
{

/// A stand-in model engine of a test fleet.
struct engine_layout
{
    std::string id;
    std::string model = "planner";
    std::uint32_t slots = 8;
    std::uint32_t token_ms = 10;
    std::uint32_t prefill_ms_per_1k_tokens = 50;
    std::string zone = "zone-a";
    bool checks_fencing = false;
};

/// A stand-in plain service of a test fleet.
struct service_layout
{
    std::string id;
    std::string service = "dispatch";
    std::uint32_t slots = 8;
    std::uint32_t work_ms = 5;
    std::string zone = "zone-a";
};

struct workspace_layout
{
    std::string id;
    double share = 1;
    std::uint32_t max_waiting = 256;
};

/// What a test fleet consists of; every process listens on its own loopback address.
struct layout
{
    std::uint32_t routers = 3;
    /// The loopback network to use, 127.<network>; 0: any that no other fleet has.
    int network = 0;
    std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
    std::vector<engine_layout> engines;
    std::vector<service_layout> services;
    std::vector<workspace_layout> workspaces;
    /// Merged into each router's settings.
    QJsonObject settings;
    /// Further arguments of each router, as --policy.
    QStringList router_arguments;
    /// Where the programs are.
    QString programs;
};

/// Three routers, two engines, one plain service and three workspaces, for a first look and for
/// tests.
layout small_layout(const QString& programs);

}  // namespace fleet
