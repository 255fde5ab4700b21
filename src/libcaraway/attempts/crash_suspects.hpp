#pragma once

#include "libcaraway/attempts/caller_error.hpp"
#include "libcaraway/attempts/upstream_incarnation.hpp"
#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace caraway::attempts
{

/// Hash of workspace, service and body. Identifies a request when its caller sends it again, to any
/// router.
enum class request_fingerprint : std::uint64_t
{
};

request_fingerprint fingerprint_of(const base::workspace_id& workspace,
                                   const base::service_id& service, std::string_view body);

/// One suspect as sent between routers. Holds state rather than events, so merging an entry again
/// is idempotent.
struct suspect_entry
{
    request_fingerprint fingerprint{};
    /// Crashes of upstreams while they ran the request, sorted, without duplicates.
    std::vector<crash_fingerprint> crashes{};
    /// The request was known to be the only one in flight in one of these crashes.
    bool ran_alone = false;
    /// The request has completed on an upstream, so it is not the cause of the crashes.
    bool cleared = false;
    std::uint32_t expires_in_ms = 0;

    friend bool operator==(const suspect_entry&, const suspect_entry&) = default;
};

struct crash_options
{
    /// Number of crashes of upstreams while running a request before it is refused, provided that
    /// no other suspect was in flight in all of these crashes.
    std::uint32_t refusal_threshold = 2;
    /// Number of crashes after which a request is refused, whatever else was in flight.
    std::uint32_t unconditional_refusal_threshold = 3;
    std::chrono::milliseconds suspect_lifetime{300000};
    std::chrono::milliseconds refusal_duration{900000};
    /// Maximum number of suspects that this router runs concurrently.
    std::uint32_t max_quarantined = 1;
    /// Maximum number of suspects; beyond it, those that expire first are evicted.
    std::size_t capacity = 1024;
};

/// Whether and how a request may run.
enum class crash_verdict
{
    run,
    quarantine,  ///< Only through begin_quarantine(), at the service's quarantine upstream.
    refuse,
};

/// Identifies the request that crashes every upstream that runs it, among the requests that were
/// merely in flight at the same time. A request that completes is cleared. Crashes explained by a
/// refused request no longer count against the others that were in flight.
class crash_suspects
{
public:
    explicit crash_suspects(crash_options options = {});

    /// Records that the upstream crashed while running these requests. `ran_alone`: the upstream is
    /// known to have run nothing else, for any router.
    void record_crash(const upstream_incarnation& upstream,
                      const std::vector<request_fingerprint>& in_flight, bool ran_alone,
                      base::time_point now);
    /// Records that the request ran to completion.
    void record_completed(request_fingerprint fingerprint, base::time_point now);

    crash_verdict verdict(request_fingerprint fingerprint, base::time_point now) const;
    /// Number of processes of upstreams that crashed while running the request.
    std::uint32_t crash_count(request_fingerprint fingerprint, base::time_point now) const;
    /// Error for the caller of a refused request. `result` is the outcome of the attempts already
    /// made for this submission of it.
    caller_error refusal(request_fingerprint fingerprint, outcome result,
                         base::time_point now) const;

    /// Reserves a quarantine slot for a suspect. Returns false if all slots are taken or the
    /// suspect already runs; it has to wait then.
    bool begin_quarantine(request_fingerprint fingerprint);
    void end_quarantine(request_fingerprint fingerprint);
    /// The upstream to run a suspect at. Routers with the same list of upstreams choose the same
    /// one. Upstreams that already crashed while running the request are chosen last. nullopt if
    /// `live` is empty.
    std::optional<base::upstream_id>
    quarantine_upstream(request_fingerprint fingerprint,
                        const std::vector<base::upstream_id>& live) const;

    /// At most `limit` entries for other routers, those closest to being refused first.
    std::vector<suspect_entry> entries(std::size_t limit, base::time_point now) const;
    void merge(const std::vector<suspect_entry>& others, base::time_point now);

    std::size_t size() const
    {
        return suspects_.size();
    }

private:
    struct suspect
    {
        std::set<crash_fingerprint> crashes;
        bool ran_alone = false;
        bool cleared = false;
        bool refused = false;
        base::time_point expires{};
    };
    using suspect_map = std::map<request_fingerprint, suspect>;

    const suspect* find(request_fingerprint fingerprint, base::time_point now) const;
    std::set<crash_fingerprint> unexplained_crashes(suspect_map::const_reference entry) const;
    bool should_refuse(suspect_map::const_reference entry) const;
    bool is_ambiguous(request_fingerprint fingerprint,
                      const std::set<crash_fingerprint>& crashes) const;
    void update_refusals(base::time_point now);
    static void add_crash(suspect& entry, const crash_fingerprint& crash);
    void merge_entry(const suspect_entry& other, base::time_point now);
    void remove_expired(base::time_point now);
    void evict_over_capacity();

    crash_options options_;
    suspect_map suspects_;
    std::set<request_fingerprint> quarantined_;
};

}  // namespace caraway::attempts
