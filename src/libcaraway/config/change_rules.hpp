#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/config/bootstrap.hpp"
#include "libcaraway/config/command.hpp"
#include "libcaraway/config/configuration.hpp"
#include "libcaraway/config/document.hpp"
#include "libcaraway/config/records.hpp"

#include <QJsonObject>

#include <cstdint>
#include <optional>
#include <vector>

namespace caraway::config
{

/// The accepted configuration as read from the platform; version 0 means that there is none.
struct accepted_state
{
    base::config_version version{};
    configuration content;
    QJsonObject json;
};

/// State before the first accepted configuration: operators and review rule of the settings.
accepted_state bootstrap_state(const bootstrap_options& bootstrap);

/// The error for an operation that isn't allowed; empty when it is allowed.
using refusal = std::optional<base::error>;

/// Refuses a change whose base isn't the accepted version (`conflict`). Approvals are bound to the
/// base, so they become void together with it.
refusal check_base(const accepted_state& accepted, const change_record& change);

/// Whether this operator may propose this change. Errors: `permission_denied`,
/// `invalid_argument`.
refusal check_proposal(const accepted_state& accepted, const operator_account& actor,
                       const propose_command& request);

/// Whether an existing change of this id equals the proposed one; `conflict` when it differs.
refusal check_repeat(const change_record& existing, const operator_account& actor,
                     const propose_command& request);

/// Whether this operator may approve, and the approval names the stored document and base. Errors:
/// `permission_denied`, `conflict`.
refusal check_approval(const accepted_state& accepted, const operator_account& actor,
                       const change_record& change, const approve_command& request);

refusal check_rejection(const operator_account& actor, const change_record& change);

/// Result of applying the review rules to a change.
struct review_verdict
{
    std::uint32_t required = 0;
    std::vector<base::operator_id> approvers;

    bool is_approved() const
    {
        return approvers.size() >= required;
    }
};

/// Applies the accepted configuration's rules. Errors, regardless of approvals: `permission_denied`
/// when the proposer may not propose, `invalid_argument` when the document fails a cross check.
base::result<review_verdict> review(const accepted_state& accepted, const change_record& change,
                                    const document& proposed);

/// Whether the change already has a valid approval by this operator.
bool has_approved(const change_record& change, const base::operator_id& approver);

base::config_version next(base::config_version version);

}  // namespace caraway::config
