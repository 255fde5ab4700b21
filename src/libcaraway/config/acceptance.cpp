#include "libcaraway/config/acceptance.hpp"

#include "libcaraway/config/acceptance_writes.hpp"
#include "libcaraway/config/review_policy.hpp"

#include <utility>

namespace caraway::config
{

namespace
{

std::string text(base::config_version version)
{
    return std::to_string(static_cast<std::uint64_t>(version));
}

const base::change_id& change_of(const command& request)
{
    return std::visit([](const auto& one) -> const base::change_id& { return one.change; },
                      request.operation);
}

}  // namespace

acceptance::acceptance(command request, acceptance_options options)
    : command_(std::move(request)), options_(std::move(options))
{
}

acceptance_step acceptance::begin()
{
    return issue(stage::head, read_row{head_key()});
}

acceptance_step acceptance::handle(const platform_reply& reply)
{
    switch (stage_)
    {
    case stage::head:
        return on_head(reply);
    case stage::change:
        return on_change(reply);
    case stage::accepted:
        return on_accepted(reply);
    case stage::store_proposed:
        return on_stored(reply);
    case stage::write_change:
        return on_written(reply);
    case stage::read_proposed:
        return on_proposed(reply);
    case stage::accept:
        return on_transacted(reply);
    }
    return fail(base::errc::internal, "no such stage");
}

// The head is read before the change: if its version is above the base of a change that is still
// open when read afterwards, another change was accepted on that base. In the opposite order, a
// change that is accepted between the two reads would be reported as a conflict with itself.
acceptance_step acceptance::on_head(const platform_reply& reply)
{
    head_ = {};
    head_rev_.reset();
    if (reply.status == reply_status::ok && reply.found)
    {
        auto read = parse_head(reply.found->body);
        if (!read)
        {
            return fail(read.error().code, read.error().message);
        }
        head_ = std::move(read).value();
        head_rev_ = reply.found->rev;
    }
    else if (reply.status != reply_status::not_found)
    {
        return platform_failure();
    }
    if (head_.version < options_.newest_known)
    {
        return fail(base::errc::corrupt, "the platform says version " + text(head_.version) +
                                             ", but version " + text(options_.newest_known) +
                                             " is in force here; it has lost accepted versions");
    }
    return issue(stage::change, read_row{change_key(change_of(command_))});
}

acceptance_step acceptance::on_change(const platform_reply& reply)
{
    change_ = {};
    change_rev_.reset();
    if (reply.status == reply_status::ok && reply.found)
    {
        auto read = parse_change(reply.found->body);
        if (!read)
        {
            return fail(read.error().code, read.error().message);
        }
        change_ = std::move(read).value();
        change_rev_ = reply.found->rev;
    }
    else if (reply.status != reply_status::not_found)
    {
        return platform_failure();
    }
    if (actor_ && change_rev_ && change_.state == change_state::accepted)
    {
        // This command's write took effect although its reply was lost. The operator isn't looked
        // up again, because the change may have removed that operator's account.
        return finish();
    }
    if (head_.version == base::config_version{})
    {
        accepted_ = bootstrap_state(options_.bootstrap);
        return authorise();
    }
    return issue(stage::accepted, get_object{object_name(head_.hash)});
}

acceptance_step acceptance::on_accepted(const platform_reply& reply)
{
    if (reply.status == reply_status::not_found)
    {
        return fail(base::errc::corrupt,
                    "the document of version " + text(head_.version) + " is missing");
    }
    if (reply.status != reply_status::ok)
    {
        return platform_failure();
    }
    auto read = document::from_bytes(reply.object, head_.hash);
    if (!read)
    {
        return fail(base::errc::corrupt,
                    "the document of version " + text(head_.version) + ": " + read.error().message);
    }
    accepted_ = {
        .version = head_.version, .content = read.value().content(), .json = read.value().json()};
    return authorise();
}

acceptance_step acceptance::authorise()
{
    const operator_account* known = find_operator(accepted_.content, command_.key_hash);
    if (known == nullptr)
    {
        return fail(base::errc::unauthenticated,
                    "no operator of version " + text(head_.version) + " has this key");
    }
    actor_ = *known;
    if (!change_rev_ && !std::holds_alternative<propose_command>(command_.operation))
    {
        return fail(base::errc::not_found,
                    "there is no change \"" + change_of(command_).str() + '"');
    }
    return std::visit([this](const auto& request) { return execute(request); }, command_.operation);
}

acceptance_step acceptance::execute(const propose_command& request)
{
    if (change_rev_)
    {
        if (refusal refused = check_repeat(change_, *actor_, request))
        {
            return *std::move(refused);
        }
        if (change_.state != change_state::open)
        {
            return ended_result();
        }
    }
    else
    {
        if (refusal refused = check_proposal(accepted_, *actor_, request))
        {
            return *std::move(refused);
        }
        change_.id = request.change;
        change_.base_version = request.base_version;
        change_.hash = request.proposed.hash();
        change_.proposer = actor_->id;
        change_.note = request.note;
    }
    if (refusal refused = check_base(accepted_, change_))
    {
        return *std::move(refused);
    }
    return issue(stage::store_proposed,
                 put_object{object_name(request.proposed.hash()), request.proposed.bytes()});
}

acceptance_step acceptance::execute(const approve_command& request)
{
    if (change_.state != change_state::open)
    {
        return ended_result();
    }
    if (refusal refused = check_approval(accepted_, *actor_, change_, request))
    {
        return *std::move(refused);
    }
    if (has_approved(change_, actor_->id))
    {
        return read_proposed();
    }
    change_.approvals.push_back({.approver = actor_->id,
                                 .hash = change_.hash,
                                 .base_version = change_.base_version,
                                 .at = command_.at});
    return write_change();
}

acceptance_step acceptance::execute(const reject_command& /*request*/)
{
    if (change_.state == change_state::rejected)
    {
        return finish();
    }
    if (refusal refused = check_rejection(*actor_, change_))
    {
        return *std::move(refused);
    }
    change_.state = change_state::rejected;
    return write_change();
}

acceptance_step acceptance::execute(const settle_command& /*request*/)
{
    if (change_.state != change_state::open)
    {
        return ended_result();
    }
    if (refusal refused = check_base(accepted_, change_))
    {
        return *std::move(refused);
    }
    return read_proposed();
}

acceptance_step acceptance::on_stored(const platform_reply& reply)
{
    switch (reply.status)
    {
    case reply_status::ok:
        return change_rev_ ? read_proposed() : write_change();
    case reply_status::lost:
    case reply_status::conflict:
        return restart(base::errc::unavailable);  // Named by its hash, so idempotent.
    case reply_status::not_found:
    case reply_status::unavailable:
        break;
    }
    return platform_failure();
}

acceptance_step acceptance::write_change()
{
    return issue(stage::write_change,
                 put_row{change_key(change_.id), change_rev_, to_json(change_)});
}

acceptance_step acceptance::on_written(const platform_reply& reply)
{
    if (auto failure = write_failure(reply))
    {
        return *std::move(failure);
    }
    may_have_written_ = true;
    change_rev_ = change_rev_.value_or(0) + 1;
    return change_.state == change_state::rejected ? finish() : read_proposed();
}

acceptance_step acceptance::read_proposed()
{
    return issue(stage::read_proposed, get_object{object_name(change_.hash)});
}

// The document is accepted as read back from the store, not as sent: a truncated document must
// never come into force, and the hash check here detects one.
acceptance_step acceptance::on_proposed(const platform_reply& reply)
{
    if (reply.status == reply_status::not_found)
    {
        return fail(base::errc::corrupt, "the proposed document is missing; propose it again");
    }
    if (reply.status != reply_status::ok)
    {
        return platform_failure();
    }
    const auto proposed = document::from_bytes(reply.object, change_.hash);
    if (!proposed)
    {
        return fail(proposed.error().code,
                    "the proposed document as stored: " + proposed.error().message);
    }
    auto verdict = review(accepted_, change_, proposed.value());
    if (!verdict)
    {
        return verdict.error();
    }
    required_ = verdict.value().required;
    approvals_ = static_cast<std::uint32_t>(verdict.value().approvers.size());
    return verdict.value().is_approved() ? accept(std::move(verdict.value().approvers)) : finish();
}

acceptance_step acceptance::accept(std::vector<base::operator_id> approvers)
{
    change_.state = change_state::accepted;
    transact writes = acceptance_writes({.change = change_,
                                         .change_rev = change_rev_.value_or(0),
                                         .head_rev = head_rev_,
                                         .approvers = std::move(approvers),
                                         .at = command_.at});
    return issue(stage::accept, std::move(writes));
}

acceptance_step acceptance::on_transacted(const platform_reply& reply)
{
    if (auto failure = write_failure(reply))
    {
        return *std::move(failure);
    }
    return finish();
}

std::optional<acceptance_step> acceptance::write_failure(const platform_reply& reply)
{
    switch (reply.status)
    {
    case reply_status::ok:
        return std::nullopt;
    case reply_status::lost:
        may_have_written_ = true;
        return restart(base::errc::unknown_effect);
    case reply_status::conflict:
        return restart(base::errc::conflict);
    case reply_status::not_found:
    case reply_status::unavailable:
        break;
    }
    return platform_failure();
}

acceptance_step acceptance::ended_result() const
{
    if (change_.state == change_state::accepted)
    {
        return finish();
    }
    return fail(base::errc::conflict, "the change has been rejected");
}

acceptance_step acceptance::issue(stage next_stage, platform_action action)
{
    stage_ = next_stage;
    return action;
}

acceptance_step acceptance::restart(base::errc reason)
{
    if (++rounds_ <= options_.max_rounds)
    {
        return begin();
    }
    if (may_have_written_ || reason != base::errc::conflict)
    {
        return platform_failure();
    }
    return fail(base::errc::conflict, "other routers keep writing to this change; try again");
}

acceptance_step acceptance::fail(base::errc code, std::string message) const
{
    return base::make_error(code, std::move(message));
}

acceptance_step acceptance::platform_failure() const
{
    if (may_have_written_)
    {
        return fail(base::errc::unknown_effect,
                    "the platform has stopped answering; repeat the same command to find out");
    }
    return fail(base::errc::unavailable, "the platform doesn't answer; nothing was written");
}

acceptance_step acceptance::finish() const
{
    acceptance_result result{
        .change = change_, .approvals = approvals_, .required = required_, .accepted_version = {}};
    if (change_.state == change_state::accepted)
    {
        result.accepted_version = next(change_.base_version);
    }
    return result;
}

}  // namespace caraway::config
