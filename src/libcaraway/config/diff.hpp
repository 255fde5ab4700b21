#pragma once

#include "libcaraway/config/document.hpp"

#include <QJsonObject>

#include <set>
#include <string>
#include <vector>

namespace caraway::config
{

enum class change_kind
{
    added,
    removed,
    changed,
};

const char* name(change_kind kind);

/// One difference between two configurations, for human review.
struct difference
{
    std::string part;  ///< "workspaces", "services", "upstreams", "operators" or "review".
    std::string id;    ///< Id of the workspace, service, ...; empty in "review".
    change_kind kind = change_kind::changed;
    std::string pointer;
    /// Values as compact JSON: `before` is empty when added, `after` when removed. Key hashes are
    /// shortened.
    std::string before;
    std::string after;

    friend bool operator==(const difference&, const difference&) = default;
};

/// Differences in the order of their pointers. An added or removed entry of a part is one
/// difference; a changed entry gives one difference per changed member.
std::vector<difference> diff(const QJsonObject& before, const QJsonObject& after);

/// The parts that differ, under the names that review rules use.
std::set<std::string> touched_parts(const QJsonObject& before, const QJsonObject& after);

}  // namespace caraway::config
