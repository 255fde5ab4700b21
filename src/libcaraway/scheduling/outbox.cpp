#include "libcaraway/scheduling/outbox.hpp"

#include <utility>

namespace caraway::scheduling
{

outbox::outbox(base::node_ref self) : self_(std::move(self)) {}

void outbox::send(const base::node_ref& to, peer_message message)
{
    if (to == self_)
    {
        local_.push_back(std::move(message));
        return;
    }
    actions_.emplace_back(send_message{.to = to, .message = std::move(message)});
}

void outbox::push(action queued)
{
    actions_.push_back(std::move(queued));
}

std::vector<action> outbox::take()
{
    return std::exchange(actions_, {});
}

std::optional<peer_message> outbox::take_local()
{
    if (local_.empty())
    {
        return std::nullopt;
    }
    auto message = std::move(local_.front());
    local_.pop_front();
    return message;
}

}  // namespace caraway::scheduling
