#include "libcaraway/attempts/ticket_registry.hpp"

namespace caraway::attempts
{

std::string to_text(const ticket& value)
{
    // The format of an attempt id, with the number in place of the request, needs only one parser.
    return to_text(attempt_id{
        .router = value.router, .request = base::request_number{value.number}, .count = 0});
}

std::optional<ticket> parse_ticket(std::string_view text)
{
    const auto id = parse_attempt_id(text);
    if (!id || id->count != 0)
    {
        return std::nullopt;
    }
    return ticket{.router = id->router, .number = static_cast<std::uint64_t>(id->request)};
}

caller_error make_void_ticket_error()
{
    return make_caller_error(error_code::ticket_void,
                             "This ticket is no longer valid. If a request with it was sent "
                             "before, its outcome is unknown.");
}

ticket_registry::ticket_registry(ticket_options options, base::node_ref self)
    : options_(options), self_(std::move(self))
{
}

base::result<ticket> ticket_registry::mint(const base::workspace_id& workspace,
                                           base::time_point now)
{
    remove_expired(now);
    if (entries_.size() >= options_.capacity)
    {
        return base::make_error(base::errc::resource_exhausted, "ticket registry is full");
    }
    const auto number = ++last_number_;
    auto& added = entries_[number];
    added.workspace = workspace;
    set_expiry(number, added, now + options_.unused_lifetime);
    return ticket{.router = self_, .number = number};
}

ticket_step ticket_registry::use(const ticket& value, const base::workspace_id& workspace,
                                 const config::sha256_hex& fingerprint, base::time_point now)
{
    remove_expired(now);
    if (value.router.id != self_.id)
    {
        return redirect_to{value.router};
    }
    auto* const found = find(value);
    if (found == nullptr)
    {
        return refuse{make_void_ticket_error()};
    }
    if (found->workspace != workspace)
    {
        return refuse{make_caller_error(error_code::permission_denied,
                                        "This ticket belongs to another workspace.")};
    }
    if (found->status != state::unused)
    {
        return evaluate_repeat(*found, fingerprint);
    }
    clear_expiry(value.number, *found);
    found->status = state::running;
    found->fingerprint = fingerprint;
    return proceed{};
}

void ticket_registry::finish(const ticket& value, const once_answer& answer, base::time_point now)
{
    auto* const found = find(value);
    if (found == nullptr || found->status != state::running)
    {
        return;
    }
    found->status = state::finished;
    found->answer = answer;
    found->has_body = answer.body.size() <= options_.max_stored_body;
    if (!found->has_body)
    {
        found->answer.body = sha256(answer.body);
    }
    set_expiry(value.number, *found, now + options_.result_retention);
}

void ticket_registry::finish_without_answer(const ticket& value, outcome result,
                                            base::time_point now)
{
    auto* const found = find(value);
    if (found == nullptr || found->status != state::running)
    {
        return;
    }
    const bool not_run = result == outcome::not_run;
    found->status = not_run ? state::unused : state::unknown;
    set_expiry(value.number, *found,
               now + (not_run ? options_.unused_lifetime : options_.result_retention));
}

ticket_registry::entry* ticket_registry::find(const ticket& value)
{
    if (value.router != self_)
    {
        return nullptr;
    }
    const auto position = entries_.find(value.number);
    return position == entries_.end() ? nullptr : &position->second;
}

void ticket_registry::set_expiry(std::uint64_t number, entry& value, base::time_point expiry)
{
    value.expires = expiry;
    expiries_.emplace(expiry, number);
}

void ticket_registry::clear_expiry(std::uint64_t number, const entry& value)
{
    expiries_.erase({value.expires, number});
}

void ticket_registry::remove_expired(base::time_point now)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now)
    {
        entries_.erase(expiries_.begin()->second);
        expiries_.erase(expiries_.begin());
    }
}

ticket_step ticket_registry::evaluate_repeat(const entry& found,
                                             const config::sha256_hex& fingerprint) const
{
    if (found.fingerprint != fingerprint)
    {
        return refuse{make_caller_error(error_code::key_reused,
                                        "This ticket was used with a different request before.")};
    }
    if (found.status == state::running)
    {
        return refuse{make_caller_error(error_code::in_progress,
                                        "The request with this ticket is in flight.",
                                        std::chrono::seconds(1))};
    }
    if (found.status == state::unknown)
    {
        return refuse{make_caller_error(error_code::outcome_unknown,
                                        "The request with this ticket was sent, but its answer was "
                                        "lost.")};
    }
    if (found.has_body)
    {
        return replay{.status = found.answer.status,
                      .content_type = found.answer.content_type,
                      .body = found.answer.body};
    }
    return refuse{make_caller_error(error_code::already_done,
                                    "The request with this ticket was answered with status " +
                                        std::to_string(found.answer.status) +
                                        "; the answer's SHA-256 is " + found.answer.body + ".")};
}

}  // namespace caraway::attempts
