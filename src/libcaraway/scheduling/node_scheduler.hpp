#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/config/configuration.hpp"
#include "libcaraway/scheduling/actions.hpp"
#include "libcaraway/scheduling/member.hpp"
#include "libcaraway/scheduling/messages.hpp"
#include "libcaraway/scheduling/options.hpp"
#include "libcaraway/scheduling/request.hpp"
#include "libcaraway/scheduling/snapshot.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace caraway::scheduling
{

/// One router's scheduler. Queues the requests of this router's callers and asks the owners of the
/// upstreams for slots; is itself the owner of some upstreams and the aggregator of some accounts.
///
/// A state machine without I/O. After each call, take the actions and execute them; call tick() at
/// next_wakeup() at the latest. Every request accepted by submit() gets either start_attempt or
/// give_up, unless cancel() is called first; every start_attempt must be followed by finished(),
/// also after cancel(). Not thread-safe: use from one thread only.
class node_scheduler
{
public:
    node_scheduler(scheduler_options options, const base::node_ref& self, base::zone_id zone);
    ~node_scheduler();
    node_scheduler(node_scheduler&&) noexcept;
    node_scheduler& operator=(node_scheduler&&) noexcept;

    void apply_configuration(const config::configuration& content, base::time_point now);
    /// Sets all live routers; this one is added if it is missing. Nothing is granted before the
    /// first call, so make the call once membership has had time to discover the other routers.
    void apply_members(std::vector<member> members, base::time_point now);
    /// A draining router stops being an owner; requests are still accepted.
    void set_draining(bool draining, base::time_point now);

    /// Queues a request, or returns at once why it is rejected.
    std::optional<rejection> submit(request incoming, base::time_point now);
    /// The caller has disconnected. A waiting request is dropped; a running one still needs
    /// finished().
    void cancel(base::request_number number, base::time_point now);
    /// Reports the total cost of a running request so far (absolute, not a difference).
    void progress(base::request_number number, base::cost streamed, base::time_point now);
    /// Ends the attempt, frees its slot and charges its final cost (0 if the attempt did not run).
    void finished(base::request_number number, base::cost total, attempt_result result,
                  base::time_point now);
    /// The upstream refused the running request and asked this router to send nothing for `rest`.
    /// To be followed by finished().
    void record_rest(base::request_number number, std::chrono::milliseconds rest,
                     base::time_point now);
    /// Puts a request whose attempt has finished back at the head of its queue; for a while the
    /// request avoids the same upstream. Returns false if the retry budget or the deadline forbids
    /// a retry; the request is then finished.
    bool retry(base::request_number number, base::time_point now);

    /// Handles a message of another router. The caller has authenticated `from`.
    void receive(const base::node_ref& from, const peer_message& message, base::time_point now);
    /// Handles a load report of an upstream, which is `age` old.
    void observe_load(const base::upstream_id& upstream, base::slots running, base::slots waiting,
                      base::duration age, base::time_point now);

    void tick(base::time_point now);
    std::optional<base::time_point> next_wakeup() const;
    std::vector<action> take_actions();

    scheduler_snapshot snapshot(base::time_point now) const;

private:
    class parts;
    std::unique_ptr<parts> parts_;
};

}  // namespace caraway::scheduling
