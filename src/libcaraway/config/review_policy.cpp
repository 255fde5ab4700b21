#include "libcaraway/config/review_policy.hpp"

#include <algorithm>

namespace caraway::config
{

namespace
{

const char* const any_part = "*";
const char* const configuration_parts[] = {"workspaces", "services", "upstreams", "operators",
                                           "review"};

const review_rule* rule_for(const configuration& accepted, const std::string& part)
{
    const auto rule = std::find_if(accepted.review.begin(), accepted.review.end(),
                                   [&](const review_rule& one) { return one.part == part; });
    return rule == accepted.review.end() ? nullptr : &*rule;
}

/// Compares every character even after a mismatch, so that the duration reveals nothing about the
/// position of the first difference.
bool equal_in_constant_time(const sha256_hex& a, const sha256_hex& b)
{
    if (a.size() != b.size())
    {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i)
    {
        difference |= static_cast<unsigned>(a[i] ^ b[i]);
    }
    return difference == 0;
}

bool may_approve(const operator_account& account)
{
    return account.may_approve && !account.key_hashes.empty();
}

}  // namespace

std::uint32_t approvals_for(const configuration& accepted, const std::string& part)
{
    const review_rule* rule = rule_for(accepted, part);
    if (rule == nullptr)
    {
        rule = rule_for(accepted, any_part);
    }
    return rule == nullptr ? default_approvals : rule->approvals;
}

std::uint32_t required_approvals(const configuration& accepted, const std::set<std::string>& parts)
{
    std::uint32_t highest = 0;
    for (const std::string& part : parts)
    {
        highest = std::max(highest, approvals_for(accepted, part));
    }
    return highest;
}

std::set<base::operator_id> counted_approvers(const configuration& accepted,
                                              const change_record& change)
{
    std::set<base::operator_id> counted;
    for (const approval& given : change.approvals)
    {
        const auto account = accepted.operators.find(given.approver);
        const bool matches_change =
            given.hash == change.hash && given.base_version == change.base_version;
        if (matches_change && given.approver != change.proposer &&
            account != accepted.operators.end() && account->second.may_approve)
        {
            counted.insert(given.approver);
        }
    }
    return counted;
}

const operator_account* find_operator(const configuration& accepted, const sha256_hex& key_hash)
{
    const operator_account* found = nullptr;
    for (const auto& [id, account] : accepted.operators)
    {
        for (const sha256_hex& known : account.key_hashes)
        {
            if (equal_in_constant_time(known, key_hash))
            {
                found = &account;
            }
        }
    }
    return found;
}

std::string lockout_reason(const configuration& proposed)
{
    std::uint32_t highest = 0;
    for (const char* part : configuration_parts)
    {
        highest = std::max(highest, approvals_for(proposed, part));
    }
    std::uint32_t approvers = 0;
    bool has_proposer = false;
    bool has_proposer_who_cannot_approve = false;
    for (const auto& [id, account] : proposed.operators)
    {
        const bool can_propose = account.may_propose && !account.key_hashes.empty();
        approvers += may_approve(account) ? 1 : 0;
        has_proposer |= can_propose;
        has_proposer_who_cannot_approve |= can_propose && !may_approve(account);
    }
    if (!has_proposer)
    {
        return "expected at least one operator with a key who may propose; nobody could change "
               "the configuration any more";
    }
    const std::uint32_t others =
        has_proposer_who_cannot_approve || approvers == 0 ? approvers : approvers - 1;
    if (others < highest)
    {
        return "expected " + std::to_string(highest) +
               " operators with a key who may approve beside the proposer, as the review rules "
               "require; there are " +
               std::to_string(others);
    }
    return {};
}

}  // namespace caraway::config
