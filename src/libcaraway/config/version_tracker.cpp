#include "libcaraway/config/version_tracker.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace caraway::config
{

namespace
{

std::string text(const version_ref& ref)
{
    return "version " + std::to_string(static_cast<std::uint64_t>(ref.version)) + " as " + ref.hash;
}

base::error conflicting_documents(const version_ref& known, const version_ref& announced)
{
    return base::make_error(base::errc::corrupt, "two documents under one version: " + text(known) +
                                                     " is known, " + text(announced) +
                                                     " was heard");
}

}  // namespace

base::result<std::optional<version_ref>> version_tracker::offer(const version_ref& announced,
                                                                version_source source)
{
    const std::optional<version_ref> nothing;
    if (announced.version == base::config_version{})
    {
        return nothing;
    }
    if (in_force_ && announced.version <= in_force_->version)
    {
        if (announced.version == in_force_->version && announced.hash != in_force_->hash)
        {
            return conflicting_documents({in_force_->version, in_force_->hash}, announced);
        }
        return nothing;
    }
    BOOST_OUTCOME_TRY(record_announcement(announced, source));
    const auto known = pending_.find(announced.version);
    if (known == pending_.end() || known->second.fetching ||
        is_newer_being_fetched(announced.version))
    {
        return nothing;
    }
    known->second.fetching = true;
    return std::optional<version_ref>(announced);
}

base::result<void> version_tracker::record_announcement(const version_ref& announced,
                                                        version_source source)
{
    const auto [known, is_new] = pending_.try_emplace(
        announced.version, pending_version{.hash = announced.hash, .source = source});
    if (is_new && pending_.size() > max_pending)
    {
        pending_.erase(pending_.begin());
        return base::success();
    }
    if (known->second.hash == announced.hash)
    {
        known->second.source = std::max(known->second.source, source);
        return base::success();
    }
    // Peers contradict each other; only the platform can resolve which hash is right.
    if (source != version_source::platform || known->second.source == version_source::platform)
    {
        return conflicting_documents({announced.version, known->second.hash}, announced);
    }
    known->second = pending_version{.hash = announced.hash, .source = source};
    return base::success();
}

bool version_tracker::is_newer_being_fetched(base::config_version version) const
{
    return std::any_of(pending_.upper_bound(version), pending_.end(),
                       [](const auto& newer) { return newer.second.fetching; });
}

base::result<void> version_tracker::fetched(base::config_version version, const QByteArray& bytes)
{
    const auto known = pending_.find(version);
    if (known == pending_.end())
    {
        return base::make_error(base::errc::conflict, "this version is not wanted any more");
    }
    known->second.fetching = false;
    BOOST_OUTCOME_TRY(fetched_document, document::from_bytes(bytes, known->second.hash));
    // Every version in pending_ is newer than the one in force, so versions never go back.
    in_force_ = std::make_shared<const accepted_configuration>(
        accepted_configuration{.version = version,
                               .hash = fetched_document.hash(),
                               .content = fetched_document.content()});
    document_ = std::make_shared<const document>(std::move(fetched_document));
    pending_.erase(pending_.begin(), pending_.upper_bound(version));
    return base::success();
}

void version_tracker::fetch_failed(const version_ref& wanted)
{
    const auto known = pending_.find(wanted.version);
    if (known != pending_.end() && known->second.hash == wanted.hash)
    {
        known->second.fetching = false;
    }
}

std::optional<version_ref> version_tracker::retry()
{
    if (pending_.empty() || pending_.rbegin()->second.fetching)
    {
        return std::nullopt;
    }
    const auto newest = pending_.rbegin();
    newest->second.fetching = true;
    return version_ref{.version = newest->first, .hash = newest->second.hash};
}

base::config_version version_tracker::newest_known() const
{
    if (!pending_.empty())
    {
        return pending_.rbegin()->first;
    }
    return in_force_ ? in_force_->version : base::config_version{};
}

}  // namespace caraway::config
