#include "libcaraway/config/change_rules.hpp"

#include "libcaraway/config/cross_checks.hpp"
#include "libcaraway/config/diff.hpp"
#include "libcaraway/config/review_policy.hpp"

#include <algorithm>
#include <cctype>
#include <string>
#include <utility>

namespace caraway::config
{

namespace
{

constexpr std::size_t max_id_length = 64;
constexpr std::size_t max_note_bytes = 4096;

std::string text(base::config_version version)
{
    return std::to_string(static_cast<std::uint64_t>(version));
}

bool is_valid_id(const base::change_id& id)
{
    const auto is_valid_character = [](unsigned char c)
    {
        return std::isalnum(c) != 0 || c == '-' || c == '_';
    };
    return !id.empty() && id.str().size() <= max_id_length &&
           std::all_of(id.str().begin(), id.str().end(), is_valid_character);
}

refusal denied(const operator_account& actor, const char* reason)
{
    return base::make_error(base::errc::permission_denied, actor.id.str() + reason);
}

refusal first_error(const document& proposed)
{
    const auto errors = cross_check(proposed.content());
    if (errors.empty())
    {
        return std::nullopt;
    }
    return base::make_error(base::errc::invalid_argument,
                            errors.front().pointer + ": " + errors.front().message);
}

}  // namespace

accepted_state bootstrap_state(const bootstrap_options& bootstrap)
{
    accepted_state state;
    state.content.operators = bootstrap.operators;
    state.content.review.push_back({.part = "*", .approvals = bootstrap.approvals});
    return state;
}

refusal check_base(const accepted_state& accepted, const change_record& change)
{
    if (change.base_version == accepted.version)
    {
        return std::nullopt;
    }
    return base::make_error(base::errc::conflict, "the change is based on version " +
                                                      text(change.base_version) + ", but version " +
                                                      text(accepted.version) +
                                                      " is accepted; propose it again");
}

refusal check_proposal(const accepted_state& accepted, const operator_account& actor,
                       const propose_command& request)
{
    if (!actor.may_propose)
    {
        return denied(actor, " may not propose");
    }
    if (!is_valid_id(request.change) || request.note.size() > max_note_bytes)
    {
        return base::make_error(base::errc::invalid_argument,
                                "expected a change id of at most 64 letters, digits, '-' and '_', "
                                "and a note of at most 4096 bytes");
    }
    if (touched_parts(accepted.json, request.proposed.json()).empty())
    {
        return base::make_error(base::errc::invalid_argument,
                                "nothing differs from version " + text(accepted.version));
    }
    return first_error(request.proposed);
}

refusal check_repeat(const change_record& existing, const operator_account& actor,
                     const propose_command& request)
{
    if (existing.base_version == request.base_version && existing.hash == request.proposed.hash() &&
        existing.proposer == actor.id)
    {
        return std::nullopt;
    }
    return base::make_error(base::errc::conflict, "the change id \"" + request.change.str() +
                                                      "\" is taken by another change");
}

refusal check_approval(const accepted_state& accepted, const operator_account& actor,
                       const change_record& change, const approve_command& request)
{
    if (request.hash != change.hash || request.base_version != change.base_version)
    {
        return base::make_error(base::errc::conflict,
                                "the approval is for document " + request.hash + " on version " +
                                    text(request.base_version) + "; the change is document " +
                                    change.hash + " on version " + text(change.base_version));
    }
    if (!actor.may_approve)
    {
        return denied(actor, " may not approve");
    }
    if (actor.id == change.proposer)
    {
        return denied(actor, " has proposed this change; somebody else must approve it");
    }
    return check_base(accepted, change);
}

refusal check_rejection(const operator_account& actor, const change_record& change)
{
    if (change.state == change_state::accepted)
    {
        return base::make_error(base::errc::conflict, "the change is already accepted as version " +
                                                          text(next(change.base_version)));
    }
    if (actor.id != change.proposer && !actor.may_approve)
    {
        return denied(actor, " may reject only changes of their own");
    }
    return std::nullopt;
}

base::result<review_verdict> review(const accepted_state& accepted, const change_record& change,
                                    const document& proposed)
{
    const auto proposer = accepted.content.operators.find(change.proposer);
    if (proposer == accepted.content.operators.end() || !proposer->second.may_propose)
    {
        return base::make_error(base::errc::permission_denied,
                                change.proposer.str() + " may not propose");
    }
    if (refusal error = first_error(proposed))
    {
        return *std::move(error);
    }
    const auto parts = touched_parts(accepted.json, proposed.json());
    const auto approvers = counted_approvers(accepted.content, change);
    return review_verdict{.required = required_approvals(accepted.content, parts),
                          .approvers = {approvers.begin(), approvers.end()}};
}

bool has_approved(const change_record& change, const base::operator_id& approver)
{
    return std::any_of(change.approvals.begin(), change.approvals.end(),
                       [&](const approval& given)
                       {
                           return given.approver == approver && given.hash == change.hash &&
                                  given.base_version == change.base_version;
                       });
}

base::config_version next(base::config_version version)
{
    return base::config_version(static_cast<std::uint64_t>(version) + 1);
}

}  // namespace caraway::config
