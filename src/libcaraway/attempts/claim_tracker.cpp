#include "libcaraway/attempts/claim_tracker.hpp"

#include <utility>

namespace caraway::attempts
{

claim_tracker::claim_tracker(claim_tracker_options options, base::node_ref self,
                             liveness_lookup is_alive)
    : options_(options), self_(std::move(self)), is_alive_(std::move(is_alive))
{
}

void claim_tracker::begin(base::request_number request)
{
    running_.insert(request);
}

void claim_tracker::give_up(base::request_number request)
{
    if (running_.erase(request) == 0 || options_.max_not_sent == 0)
    {
        return;
    }
    if (not_sent_order_.size() >= options_.max_not_sent)
    {
        not_sent_.erase(not_sent_order_.front());
        not_sent_order_.pop_front();
    }
    not_sent_.insert(request);
    not_sent_order_.push_back(request);
}

void claim_tracker::end(base::request_number request)
{
    running_.erase(request);
}

holder_state claim_tracker::state(const attempt_id& holder) const
{
    if (holder.router != self_)
    {
        return is_alive_(holder.router) ? holder_state::running : holder_state::gone;
    }
    if (not_sent_.contains(holder.request))
    {
        return holder_state::not_sent;
    }
    return running_.contains(holder.request) ? holder_state::running : holder_state::gone;
}

}  // namespace caraway::attempts
