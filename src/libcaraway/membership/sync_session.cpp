#include "libcaraway/membership/sync_session.hpp"

namespace caraway::membership
{

namespace
{

constexpr auto page_interval = std::chrono::milliseconds(50);
constexpr auto page_timeout = std::chrono::milliseconds(500);
constexpr int max_attempts = 3;

}  // namespace

void sync_session::start(const endpoint& address, const base::node_ref& peer, base::time_point now)
{
    if (!session_)
    {
        session_ = {.pending = {.address = address, .peer = peer, .after = resume_after_},
                    .send_at = now};
    }
}

void sync_session::record_page(const endpoint& address, const base::node_ref& peer,
                               const base::node_id& next_after, base::time_point now)
{
    if (session_ && session_->pending.peer.id != peer.id)
    {
        return;
    }
    session_.reset();
    resume_after_ = next_after;
    if (!next_after.empty())
    {
        session_ = {.pending = {.address = address, .peer = peer, .after = next_after},
                    .send_at = now + page_interval};
    }
}

std::optional<sync_session::request> sync_session::take_due(base::time_point now)
{
    if (!session_ || now < session_->send_at)
    {
        return std::nullopt;
    }
    if (session_->attempts == max_attempts)
    {
        session_.reset();
        return std::nullopt;
    }
    ++session_->attempts;
    session_->send_at = now + page_timeout;
    return session_->pending;
}

std::optional<base::time_point> sync_session::next_deadline() const
{
    if (!session_)
    {
        return std::nullopt;
    }
    return session_->send_at;
}

}  // namespace caraway::membership
