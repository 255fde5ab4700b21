#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/config/configuration.hpp"
#include "libcaraway/config/document.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>

namespace caraway::config
{

/// The source of the information that a version is accepted.
enum class version_source
{
    peer,
    platform,  ///< The head row itself; takes precedence over a peer.
};

/// A version and the hash of its document.
struct version_ref
{
    base::config_version version{};
    sha256_hex hash;

    friend bool operator==(const version_ref&, const version_ref&) = default;
};

/// Tracks the configuration that one router has in force. Versions are monotonic: an older version
/// is ignored, and a different document under a known version is refused as `corrupt`.
class version_tracker
{
public:
    /// Records an accepted version. Returns the version to fetch, from the object store or from a
    /// peer; empty when the version is in force, older, or when it or a newer one is being fetched.
    /// Error: `corrupt` when another document is known under this version.
    base::result<std::optional<version_ref>> offer(const version_ref& announced,
                                                   version_source source);

    /// Processes the fetched bytes of a document, from any source. The version comes into force if
    /// the bytes match the announced hash and the version is newer than the one in force; else
    /// nothing changes and an error is returned. After an error the version counts as not fetched
    /// (see fetch_failed). Errors: `conflict` when the version isn't pending, else those of
    /// document::from_bytes.
    base::result<void> fetched(base::config_version version, const QByteArray& bytes);

    /// Records that a fetch has failed; the next offer() or retry() returns the version again.
    void fetch_failed(const version_ref& wanted);

    /// The newest pending version, unless it is being fetched: for a timer that repeats failed
    /// fetches when no further offer arrives. Marks the version as being fetched.
    std::optional<version_ref> retry();

    /// False after a cold start, until a version announced by the platform or a peer is in force.
    bool ready() const
    {
        return in_force_ != nullptr;
    }
    /// Null until ready. Shared with the traffic threads; immutable.
    const std::shared_ptr<const accepted_configuration>& in_force() const
    {
        return in_force_;
    }
    /// The document in force, for peers that request it; null until ready.
    const std::shared_ptr<const document>& document_in_force() const
    {
        return document_;
    }
    /// The newest known version, in force or pending; 0 when there is none.
    base::config_version newest_known() const;

private:
    struct pending_version
    {
        sha256_hex hash;
        version_source source = version_source::peer;
        bool fetching = false;
    };

    /// Limit on pending versions: announced, newer than the one in force, and not yet in force.
    static constexpr std::size_t max_pending = 8;

    base::result<void> record_announcement(const version_ref& announced, version_source source);
    bool is_newer_being_fetched(base::config_version version) const;

    std::map<base::config_version, pending_version> pending_;
    std::shared_ptr<const accepted_configuration> in_force_;
    std::shared_ptr<const document> document_;
};

}  // namespace caraway::config
