#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/routing/served_versions.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace caraway::routing
{

/// What is kept in the platform's store of the versions that have served, for routers that start
/// when no other is left. Who reads it goes on from `revision` by the changes of the table.
struct version_record
{
    /// The store's revision up to which the record is complete.
    std::uint64_t revision = 0;
    /// When it was written, by the store's clock.
    std::chrono::milliseconds store_time{};
    version_history history;
    /// Hashes of the ids of the upstreams that were listed at `revision`.
    std::set<std::uint64_t> upstreams;
};

std::uint64_t hash_of(const base::upstream_id& id);

/// Encodes the record as CBOR (RFC 8949).
std::string encode(const version_record& record);
/// Errors: `corrupt` if the bytes are anything but one complete record.
base::result<version_record> decode_version_record(std::string_view bytes);

}  // namespace caraway::routing
