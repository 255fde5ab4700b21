#pragma once

#include "libcaraway/attempts/crash_suspects.hpp"
#include "libcaraway/base/clock.hpp"
#include "libcaraway/routing/configuration.hpp"

#include <map>
#include <optional>
#include <vector>

namespace caraway::routing::parts
{

/// Hash of the id of a prompt's part. Equal on all routers.
enum class part_fingerprint : std::uint64_t
{
};

using part_fingerprints = std::vector<part_fingerprint>;

/// The parts that other requests may have as well: all but the last.
part_fingerprints shared_parts(const std::vector<prompt_part>& parts);

/// What a router knows of one suspected part, as sent between routers. Ages, as the clocks of VMs
/// differ.
struct part_evidence
{
    struct crash
    {
        attempts::crash_fingerprint fingerprint{};
        std::chrono::milliseconds age{};

        friend bool operator==(const crash&, const crash&) = default;
    };

    part_fingerprint part{};
    std::vector<crash> crashes{};
    /// Since the sender last saw an answer begin that turned out sound; empty if it saw none.
    std::optional<std::chrono::milliseconds> sound_age{};

    friend bool operator==(const part_evidence&, const part_evidence&) = default;
};

struct part_suspect_options
{
    /// Crashes without a sound answer since the first of them, after which a part is refused. More
    /// than the outages of a zone that follow each other within a short time.
    std::size_t min_crashes = 4;
    /// Crashes closer to each other count as one: a failed rack or switch takes several upstreams
    /// along at once.
    std::chrono::milliseconds min_separation{100};
    /// Time from the first of these crashes before a part is refused. A sound part that many
    /// requests have is seen to be sound within it, even if upstreams that failed together are
    /// found one by one.
    std::chrono::milliseconds settling_time{1000};
    /// Time from a part's newest crash for which it is refused. After it, its requests run, and one
    /// more crash refuses it again.
    std::chrono::seconds refusal_duration{600};
    /// How long a part with fewer crashes is kept after the newest of them.
    std::chrono::seconds suspect_lifetime{120};
    /// How long a part is kept after a sound answer, so that peers that don't know of it yet learn
    /// of it, and don't bring back the crashes before it.
    std::chrono::seconds sound_lifetime{10};
    std::size_t capacity = 256;
    /// Newest crashes that are kept of each part.
    std::size_t max_crashes = 16;
    /// Parts in one digest; of some 30 bytes each, those that are refused of up to 150.
    std::size_t max_digest_entries = 24;
};

/// Finds the parts of prompts that crash each upstream that begins an answer on them, whatever else
/// the request holds.
///
/// A crash counts against all parts of the requests whose answers it ended at their beginning. An
/// answer that begins later, at any upstream, and goes on shows that its parts are sound, and
/// cancels the crashes before it. Sound parts are in many crashes, but in few without a sound
/// answer in between; a part that crashes upstreams never has one.
///
/// What is left is explained by as few parts as possible: the part with the most crashes is the
/// cause, and its crashes don't count against others. Parts with the same crashes are a cause
/// together: only requests that have all of them are refused, so that others show which of the
/// parts are sound.
class part_suspects
{
public:
    explicit part_suspects(const part_suspect_options& options = {});

    bool empty() const
    {
        return suspects_.empty();
    }
    bool refuses(const part_fingerprints& parts, base::time_point now) const;
    /// When the refusal of a request with these parts ends; empty if it isn't refused.
    std::optional<base::time_point> refused_until(const part_fingerprints& parts,
                                                  base::time_point now) const;

    /// Records that an upstream crashed at `at`, when it had at most begun to answer requests with
    /// these parts.
    void record_crash(const attempts::upstream_incarnation& upstream,
                      const part_fingerprints& parts, base::time_point at, base::time_point now);
    /// Records that an answer to a request with these parts began at `began`, and went on.
    void record_sound(const part_fingerprints& parts, base::time_point began);
    /// Removes what has expired.
    void expire(base::time_point now);

    /// Evidence for the digest to the other routers, parts that are refused first.
    std::vector<part_evidence> entries(base::time_point now) const;
    void merge(const std::vector<part_evidence>& peer_entries, base::time_point now);

    /// Parts that only together, or alone, explain at least `min_crashes` crashes.
    struct cause
    {
        part_fingerprints parts;
        std::size_t crashes = 0;
        base::time_point oldest_crash{};
        base::time_point newest_crash{};
    };
    const std::vector<cause>& causes() const
    {
        return causes_;
    }
    /// Whether requests that have all parts of the cause are refused.
    bool is_refused(const cause& found, base::time_point now) const;

private:
    using crash_times = std::map<attempts::crash_fingerprint, base::time_point>;
    struct suspect
    {
        crash_times crashes;
        /// Begin of the newest sound answer that this router saw, and that any router saw.
        std::optional<base::time_point> own_sound;
        std::optional<base::time_point> sound;
    };
    using suspect_map = std::map<part_fingerprint, suspect>;

    bool add_crash(suspect& entry, const attempts::crash_fingerprint& crash,
                   base::time_point at) const;
    static bool add_sound(suspect& entry, base::time_point began);
    base::time_point expiry(const suspect& entry) const;
    std::size_t count_separate(const crash_times& crashes) const;
    void find_causes();
    std::optional<crash_times> most_crashes() const;
    cause take_cause(const crash_times& explained);
    bool is_cause(part_fingerprint part) const;
    void evict_over_capacity();

    part_suspect_options options_;
    suspect_map suspects_;
    std::vector<cause> causes_;
    /// Crashes of each suspect that no cause explains.
    std::map<part_fingerprint, crash_times> unexplained_;
};

}  // namespace caraway::routing::parts
