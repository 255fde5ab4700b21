#pragma once

#include "libcaraway/attempts/caller_error.hpp"
#include "libcaraway/attempts/once_coordinator.hpp"
#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/error.hpp"
#include "libcaraway/base/ids.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>

namespace caraway::attempts
{

/// Names one call that the minting life of a router, and only it, will send at most once.
struct ticket
{
    base::node_ref router;
    std::uint64_t number = 0;

    friend bool operator==(const ticket&, const ticket&) = default;
};

/// `<node>.<life>.<number>.0`, an attempt's form.
std::string to_text(const ticket& value);
std::optional<ticket> parse_ticket(std::string_view text);

struct ticket_options
{
    /// Tickets in memory at a time; minting more is refused.
    std::size_t capacity = 20000;
    /// From minting; an unused ticket is void afterwards.
    std::chrono::milliseconds unused_lifetime{60000};
    /// From its call's end; afterwards the ticket is forgotten and its outcome unknown.
    std::chrono::milliseconds result_retention{300000};
    std::size_t max_stored_body = 4096;
};

/// Whom the ticket belongs to is another router: the call goes there, or the caller is told where.
struct redirect_to
{
    base::node_ref router;
    friend bool operator==(const redirect_to&, const redirect_to&) = default;
};

/// proceed: send now, this once.
using ticket_step = std::variant<proceed, replay, refuse, redirect_to>;

/// For a ticket of a life that has ended: if it was used, how that ended is lost.
caller_error make_void_ticket_error();

/// At most once from memory, without the store: tickets of one life of one router. With that life
/// all its tickets are void.
class ticket_registry
{
public:
    ticket_registry(ticket_options options, base::node_ref self);

    /// resource_exhausted when the book is full.
    base::result<ticket> mint(const base::workspace_id& workspace, base::time_point now);

    /// `fingerprint` as of once_fingerprint(): a repeat must be the same request.
    ticket_step use(const ticket& value, const base::workspace_id& workspace,
                    const config::sha256_hex& fingerprint, base::time_point now);

    void finish(const ticket& value, const once_answer& answer, base::time_point now);
    /// not_run makes the ticket usable again; unknown is kept as the ticket's outcome.
    void finish_without_answer(const ticket& value, outcome result, base::time_point now);

    std::size_t size() const
    {
        return entries_.size();
    }

private:
    enum class state
    {
        unused,
        running,
        finished,
        unknown,
    };
    struct entry
    {
        base::workspace_id workspace;
        state status = state::unused;
        config::sha256_hex fingerprint;
        once_answer answer;
        bool has_body = false;
        base::time_point expires;
    };

    entry* find(const ticket& value);
    void set_expiry(std::uint64_t number, entry& value, base::time_point when);
    void clear_expiry(std::uint64_t number, const entry& value);
    void drop_expired(base::time_point now);
    ticket_step repeat(const entry& found, const config::sha256_hex& fingerprint) const;

    ticket_options options_;
    base::node_ref self_;
    std::uint64_t last_number_ = 0;
    std::unordered_map<std::uint64_t, entry> entries_;
    /// Running entries have no expiry and aren't in here.
    std::set<std::pair<base::time_point, std::uint64_t>> expiries_;
};

}  // namespace caraway::attempts
