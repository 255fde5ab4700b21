#pragma once

#include "libcaraway/scheduling/messages.hpp"
#include "libcaraway/scheduling/request.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace caraway::scheduling
{

/// The requests waiting at this router: one queue per account, in order of arrival.
class request_queues
{
public:
    void push_back(request incoming);
    /// Inserts a retry at the front of its queue. It is not sent to its last upstream before
    /// `avoid_until`.
    void push_front(request retried, base::time_point avoid_until);

    /// Removes and returns the first request of the account that may be sent to the upstream.
    std::optional<request> take(const account& key, const base::upstream_id& upstream,
                                base::time_point now);
    std::optional<request> remove(base::request_number number);
    /// Removes and returns the requests whose deadline has expired.
    std::vector<request> expire(base::time_point now);
    std::optional<base::time_point> next_deadline() const;

    bool contains(base::request_number number) const;
    /// The first request of the account's queue; null if the queue is empty.
    const request* head(const account& key) const;
    std::uint32_t waiting(const account& key) const;
    std::uint32_t waiting(const base::workspace_id& workspace) const;
    std::uint32_t waiting(const base::service_id& service) const;
    /// Accounts with waiting requests.
    std::vector<account> accounts() const;

private:
    struct entry
    {
        request waiting;
        base::time_point avoid_until;
    };
    using queue = std::list<entry>;

    void insert(const account& key, queue::iterator position, entry added);
    request erase(const account& key, queue::iterator position);

    std::map<account, queue> queues_;
    std::map<base::request_number, std::pair<account, queue::iterator>> positions_;
    std::set<std::pair<base::time_point, base::request_number>> deadlines_;
    std::map<base::workspace_id, std::uint32_t> waiting_by_workspace_;
    std::map<base::service_id, std::uint32_t> waiting_by_service_;
};

/// The account to which a request is charged.
account account_of(const request& counted);

}  // namespace caraway::scheduling
