#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/membership/messages.hpp"

#include <optional>

namespace caraway::membership
{

/// Fetches a peer's member list page by page: paced, to avoid bursts, and with retries for lost
/// pages.
class sync_session
{
public:
    struct request
    {
        endpoint address{};
        base::node_ref peer{};
        base::node_id after{};
    };

    /// Starts a session with this peer unless one is in progress. The first page is requested at
    /// once.
    void start(const endpoint& address, const base::node_ref& peer, base::time_point now);
    /// Records a received page. A page from a peer other than that of the session is ignored; if no
    /// session is in progress, the page starts one.
    void record_page(const endpoint& address, const base::node_ref& peer,
                     const base::node_id& next_after, base::time_point now);
    /// The member after which the next session starts, which is where the last session was
    /// abandoned: a list that exceeds the send limit of its holder is thus still fetched
    /// completely, over several sessions.
    const base::node_id& resume_after() const
    {
        return resume_after_;
    }
    /// The request to send now, if any; the request is repeated if no page is received.
    std::optional<request> take_due(base::time_point now);
    std::optional<base::time_point> next_deadline() const;

private:
    struct session
    {
        request pending{};
        base::time_point send_at{};
        int attempts = 0;
    };

    std::optional<session> session_;
    base::node_id resume_after_;
};

}  // namespace caraway::membership
