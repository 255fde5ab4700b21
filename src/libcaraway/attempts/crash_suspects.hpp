#pragma once

#include "libcaraway/attempts/caller_error.hpp"
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

/// Recognises a request when its caller sends it again, at whichever router: a hash of workspace,
/// service and body.
enum class request_fingerprint : std::uint64_t
{
};

request_fingerprint fingerprint_of(const base::workspace_id& workspace,
                                   const base::service_id& service, std::string_view body);

/// A short hash of an upstream's id: which upstreams crashed under a request.
enum class upstream_fingerprint : std::uint32_t
{
};

upstream_fingerprint upstream_fingerprint_of(const base::upstream_id& upstream);

/// What routers tell each other of one suspect; state, so that a repeat changes nothing.
struct suspect_entry
{
    request_fingerprint fingerprint{};
    /// Upstreams that crashed while they ran it, in order, each once.
    std::vector<upstream_fingerprint> upstreams{};
    /// It was alone on the last one.
    bool ran_alone = false;
    /// It ran to its end somewhere: it isn't what crashes upstreams.
    bool cleared = false;
    std::uint32_t expires_in_ms = 0;

    friend bool operator==(const suspect_entry&, const suspect_entry&) = default;
};

struct crash_options
{
    /// Refused once this many distinct upstreams crashed under it and no other suspect was there
    /// each time.
    std::uint32_t refusal_threshold = 2;
    /// Refused once this many crashed under it, whoever else was there.
    std::uint32_t unconditional_refusal_threshold = 3;
    std::chrono::milliseconds suspect_lifetime{300000};
    std::chrono::milliseconds refusal_duration{900000};
    /// Suspects that may run at a time at this router.
    std::uint32_t max_quarantined = 1;
    /// Entries kept; with more, those that expire first go.
    std::size_t capacity = 1024;
};

/// How a request may run.
enum class crash_verdict
{
    run,
    quarantine,  ///< Only through begin_quarantine(), at the service's quarantine upstream.
    refuse,
};

/// Finds the request that crashes each upstream that runs it, among those that merely ran beside
/// it. A request that ran to its end is cleared; crashes that a refused request explains no
/// longer count against its neighbours.
class crash_suspects
{
public:
    explicit crash_suspects(crash_options options = {});

    /// An upstream crashed while it ran these. `alone`: known to have run nothing else, of any
    /// router.
    void record_crash(const base::upstream_id& upstream,
                      const std::vector<request_fingerprint>& in_flight, bool ran_alone,
                      base::time_point now);
    /// It ran to its end.
    void record_completed(request_fingerprint fingerprint, base::time_point now);

    crash_verdict verdict(request_fingerprint fingerprint, base::time_point now) const;
    /// Distinct upstreams that crashed under it.
    std::uint32_t crash_count(request_fingerprint fingerprint, base::time_point now) const;
    /// What its caller is told; `result` of the attempts made for this very request.
    caller_error refusal(request_fingerprint fingerprint, outcome result,
                         base::time_point now) const;

    /// Takes a place for a suspect; false when all are taken or it runs already: it waits.
    bool begin_quarantine(request_fingerprint fingerprint);
    void end_quarantine(request_fingerprint fingerprint);
    /// Where suspects run: the same upstream for every router that knows the same upstreams.
    /// Upstreams that already crashed under it come last. Nothing when there are none.
    std::optional<base::upstream_id>
    quarantine_upstream(request_fingerprint fingerprint,
                        const std::vector<base::upstream_id>& live) const;

    /// At most `limit` entries to tell others, those nearest to refusal first.
    std::vector<suspect_entry> entries(std::size_t limit, base::time_point now) const;
    void merge(const std::vector<suspect_entry>& others, base::time_point now);

    std::size_t size() const
    {
        return suspects_.size();
    }

private:
    struct suspect
    {
        std::set<upstream_fingerprint> upstreams;
        bool ran_alone = false;
        bool cleared = false;
        bool refused = false;
        base::time_point expires{};
    };
    using suspect_map = std::map<request_fingerprint, suspect>;

    const suspect* find(request_fingerprint fingerprint, base::time_point now) const;
    std::set<upstream_fingerprint> unexplained(suspect_map::const_reference entry) const;
    bool is_guilty(suspect_map::const_reference entry) const;
    bool is_ambiguous(request_fingerprint fingerprint,
                      const std::set<upstream_fingerprint>& marks) const;
    void judge_all(base::time_point now);
    void merge_one(const suspect_entry& other, base::time_point now);
    void drop_expired(base::time_point now);
    void evict_over_capacity();

    crash_options options_;
    suspect_map suspects_;
    std::set<request_fingerprint> quarantined_;
};

}  // namespace caraway::attempts
