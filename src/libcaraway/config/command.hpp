#pragma once

#include "libcaraway/base/ids.hpp"
#include "libcaraway/base/units.hpp"
#include "libcaraway/config/configuration.hpp"
#include "libcaraway/config/document.hpp"

#include <string>
#include <variant>

namespace caraway::config
{

/// Writes a change down, and accepts it at once when the rules ask for nobody else.
struct propose_command
{
    base::change_id change;
    base::config_version base_version{};
    document proposed;
    std::string note;
};

/// Approves exactly what the approver has seen, and accepts the change when that was the last
/// approval needed.
struct approve_command
{
    base::change_id change;
    base::config_version base_version{};
    sha256_hex hash;
};

/// Ends a change: by its proposer, or by anybody who may approve.
struct reject_command
{
    base::change_id change;
};

/// Accepts a change whose approvals are complete, for instance after a crash in between.
struct settle_command
{
    base::change_id change;
};

/// What an operator asks of the configuration. The key tells who asks; it is looked up in the
/// accepted configuration, never in the one that the router happens to hold.
struct command
{
    /// SHA-256 of the key that the operator presented.
    sha256_hex key_hash;
    /// Time to note in the rows, RFC 3339.
    std::string at;
    std::variant<propose_command, approve_command, reject_command, settle_command> operation;
};

}  // namespace caraway::config
