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

/// Identifies one call, which only the issuing incarnation of a router sends, and at most once.
struct ticket
{
    base::node_ref router;
    std::uint64_t number = 0;

    friend bool operator==(const ticket&, const ticket&) = default;
};

/// Formats the ticket as `<node>.<incarnation>.<number>.0`, the format of an attempt id.
std::string to_text(const ticket& value);
std::optional<ticket> parse_ticket(std::string_view text);

struct ticket_options
{
    /// Maximum number of tickets in memory; beyond it, no further ticket is issued.
    std::size_t capacity = 20000;
    /// Time from issue after which an unused ticket becomes void.
    std::chrono::milliseconds unused_lifetime{60000};
    /// Time from the end of the call after which the ticket is removed and its outcome unknown.
    std::chrono::milliseconds result_retention{300000};
    std::size_t max_stored_body = 4096;
};

/// The ticket was issued by another router: forward the call or redirect the caller to it.
struct redirect_to
{
    base::node_ref router;
    friend bool operator==(const redirect_to&, const redirect_to&) = default;
};

/// Result of using a ticket; `proceed`: send the call now, exactly this once.
using ticket_step = std::variant<proceed, replay, refuse, redirect_to>;

/// Error for a ticket of an ended incarnation: if the ticket was used, its outcome is lost.
caller_error make_void_ticket_error();

/// Runs calls at most once without the store. Holds the tickets of one incarnation of one router in
/// memory; all of them become void when that incarnation ends.
class ticket_registry
{
public:
    ticket_registry(ticket_options options, base::node_ref self);

    /// Issues a ticket. Fails with resource_exhausted if the registry is full.
    base::result<ticket> mint(const base::workspace_id& workspace, base::time_point now);

    /// `fingerprint` is that of once_fingerprint(); using the ticket again requires the same
    /// request.
    ticket_step use(const ticket& value, const base::workspace_id& workspace,
                    const config::sha256_hex& fingerprint, base::time_point now);

    void finish(const ticket& value, const once_answer& answer, base::time_point now);
    /// not_run makes the ticket usable again; any other outcome is stored as unknown.
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
    void set_expiry(std::uint64_t number, entry& value, base::time_point expiry);
    void clear_expiry(std::uint64_t number, const entry& value);
    void remove_expired(base::time_point now);
    ticket_step evaluate_repeat(const entry& found, const config::sha256_hex& fingerprint) const;

    ticket_options options_;
    base::node_ref self_;
    std::uint64_t last_number_ = 0;
    std::unordered_map<std::uint64_t, entry> entries_;
    /// Entries by expiry. Running entries do not expire and are not included.
    std::set<std::pair<base::time_point, std::uint64_t>> expiries_;
};

}  // namespace caraway::attempts
