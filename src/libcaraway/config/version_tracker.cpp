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

base::error two_documents(const version_ref& known, const version_ref& heard)
{
    return base::make_error(base::errc::corrupt, "two documents under one version: " + text(known) +
                                                     " is known, " + text(heard) + " was heard");
}

}  // namespace

base::result<std::optional<version_ref>> version_tracker::offer(const version_ref& heard,
                                                                version_source by)
{
    const std::optional<version_ref> nothing;
    if (heard.version == base::config_version{})
    {
        return nothing;
    }
    if (in_force_ && heard.version <= in_force_->version)
    {
        if (heard.version == in_force_->version && heard.hash != in_force_->hash)
        {
            return two_documents({in_force_->version, in_force_->hash}, heard);
        }
        return nothing;
    }
    BOOST_OUTCOME_TRY(remember(heard, by));
    const auto known = heard_.find(heard.version);
    if (known == heard_.end() || known->second.fetching || newer_is_on_its_way(heard.version))
    {
        return nothing;
    }
    known->second.fetching = true;
    return std::optional<version_ref>(heard);
}

base::result<void> version_tracker::remember(const version_ref& heard, version_source by)
{
    const auto [known, is_new] =
        heard_.try_emplace(heard.version, heard_version{.hash = heard.hash, .by = by});
    if (is_new && heard_.size() > most_heard)
    {
        heard_.erase(heard_.begin());
        return base::success();
    }
    if (known->second.hash == heard.hash)
    {
        known->second.by = std::max(known->second.by, by);
        return base::success();
    }
    // Two peers that contradict each other: only the platform can tell which one is right.
    if (by != version_source::platform || known->second.by == version_source::platform)
    {
        return two_documents({heard.version, known->second.hash}, heard);
    }
    known->second = heard_version{.hash = heard.hash, .by = by};
    return base::success();
}

bool version_tracker::newer_is_on_its_way(base::config_version than) const
{
    return std::any_of(heard_.upper_bound(than), heard_.end(),
                       [](const auto& newer) { return newer.second.fetching; });
}

base::result<void> version_tracker::fetched(base::config_version version, const QByteArray& bytes)
{
    const auto known = heard_.find(version);
    if (known == heard_.end())
    {
        return base::make_error(base::errc::conflict, "this version is not wanted any more");
    }
    known->second.fetching = false;
    BOOST_OUTCOME_TRY(arrived, document::from_bytes(bytes, known->second.hash));
    // All that is left in heard_ is newer than what is in force, so this is never a step back.
    in_force_ = std::make_shared<const accepted_configuration>(accepted_configuration{
        .version = version, .hash = arrived.hash(), .content = arrived.content()});
    document_ = std::make_shared<const document>(std::move(arrived));
    heard_.erase(heard_.begin(), heard_.upper_bound(version));
    return base::success();
}

void version_tracker::fetch_failed(const version_ref& wanted)
{
    const auto known = heard_.find(wanted.version);
    if (known != heard_.end() && known->second.hash == wanted.hash)
    {
        known->second.fetching = false;
    }
}

std::optional<version_ref> version_tracker::retry()
{
    if (heard_.empty() || heard_.rbegin()->second.fetching)
    {
        return std::nullopt;
    }
    const auto newest = heard_.rbegin();
    newest->second.fetching = true;
    return version_ref{.version = newest->first, .hash = newest->second.hash};
}

base::config_version version_tracker::newest_known() const
{
    if (!heard_.empty())
    {
        return heard_.rbegin()->first;
    }
    return in_force_ ? in_force_->version : base::config_version{};
}

}  // namespace caraway::config
