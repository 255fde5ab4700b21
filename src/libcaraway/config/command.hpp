#pragma once

#include "libcaraway/base/ids.hpp"
#include "libcaraway/base/units.hpp"
#include "libcaraway/config/configuration.hpp"
#include "libcaraway/config/document.hpp"

#include <string>
#include <variant>

namespace caraway::config
{

/// Stores a proposed change, and accepts it at once when the rules require no approval.
struct propose_command
{
    base::change_id change;
    base::config_version base_version{};
    document proposed;
    std::string note;
};

/// Approves exactly the document and base that the approver has reviewed, and accepts the change
/// when this completes the required approvals.
struct approve_command
{
    base::change_id change;
    base::config_version base_version{};
    sha256_hex hash;
};

/// Rejects an open change. Allowed for its proposer and for any operator who may approve.
struct reject_command
{
    base::change_id change;
};

/// Accepts a change whose approvals are complete, for instance after a crash between the last
/// approval and the acceptance.
struct settle_command
{
    base::change_id change;
};

/// A command of an operator on the configuration. The key identifies the operator; it is looked up
/// in the accepted configuration, never in the one that the router has in force.
struct command
{
    /// SHA-256 of the key that the operator presented.
    sha256_hex key_hash;
    /// Time of the command, RFC 3339; stored in the rows.
    std::string at;
    std::variant<propose_command, approve_command, reject_command, settle_command> operation;
};

}  // namespace caraway::config
