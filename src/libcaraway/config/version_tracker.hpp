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

/// Who says that a version is the accepted one.
enum class version_source
{
    peer,
    platform,  ///< The head row itself; outranks a peer.
};

/// A version and the document that it stands for.
struct version_ref
{
    base::config_version version{};
    sha256_hex hash;

    friend bool operator==(const version_ref&, const version_ref&) = default;
};

/// Which configuration one router has in force. Versions only go up: an older offer changes
/// nothing, and another document under a known version is refused as `corrupt`.
class version_tracker
{
public:
    /// Hears of an accepted version. Gives back what to fetch, from the object store or from a
    /// peer; nothing when that is in force, older, or on its way already.
    base::result<std::optional<version_ref>> offer(const version_ref& heard, version_source by);

    /// The bytes of a document have arrived, from wherever. In force if they match the hash that
    /// was vouched for and the version is newer than what is; else nothing changes and the error
    /// says why. After an error that version counts as not fetched (see fetch_failed).
    base::result<void> fetched(base::config_version version, const QByteArray& bytes);

    /// A fetch has failed; the next offer or retry() asks for it again.
    void fetch_failed(const version_ref& wanted);

    /// The newest version that was heard of, isn't in force and isn't being fetched: what a timer
    /// fetches when no offer comes.
    std::optional<version_ref> retry();

    /// False on a cold start, until a version that the platform or a peer vouches for is in force.
    bool ready() const
    {
        return in_force_ != nullptr;
    }
    /// Null until ready. Shared with the traffic threads; never modified.
    const std::shared_ptr<const accepted_configuration>& in_force() const
    {
        return in_force_;
    }
    /// The document in force, for peers that ask for it.
    const std::shared_ptr<const document>& document_in_force() const
    {
        return document_;
    }
    /// The newest version heard of, in force or not; 0 when none.
    base::config_version newest_known() const;

private:
    struct heard_version
    {
        sha256_hex hash;
        version_source by = version_source::peer;
        bool fetching = false;
    };

    /// Versions above the one in force that were heard of and not yet put in force.
    static constexpr std::size_t most_heard = 8;

    base::result<void> remember(const version_ref& heard, version_source by);
    bool newer_is_on_its_way(base::config_version than) const;

    std::map<base::config_version, heard_version> heard_;
    std::shared_ptr<const accepted_configuration> in_force_;
    std::shared_ptr<const document> document_;
};

}  // namespace caraway::config
