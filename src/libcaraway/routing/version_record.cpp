#include "libcaraway/routing/version_record.hpp"

#include "libcaraway/routing/cbor_reader.hpp"
#include "libcaraway/routing/cbor_writer.hpp"
#include "libcaraway/scheduling/stable_hash.hpp"

namespace caraway::routing
{

namespace
{

using std::chrono::milliseconds;

/// First field of each record.
constexpr std::string_view record_kind = "versions";
constexpr std::size_t field_count = 6;
constexpr std::size_t version_field_count = 3;

std::uint64_t whole_milliseconds(base::duration time)
{
    return static_cast<std::uint64_t>(std::chrono::ceil<milliseconds>(time).count());
}

milliseconds read_milliseconds(cbor_reader& in)
{
    return milliseconds(in.integer<std::uint32_t>());
}

listed_version read_version(cbor_reader& in)
{
    in.array(version_field_count);
    return {.service = base::service_id(std::string(in.text())),
            .software = base::software_version(std::string(in.text())),
            .age = read_milliseconds(in)};
}

}  // namespace

std::uint64_t hash_of(const base::upstream_id& id)
{
    return scheduling::stable_hash(id.str());
}

std::string encode(const version_record& record)
{
    std::string bytes;
    cbor_writer out(bytes);
    out.array(field_count);
    out.text(record_kind);
    out.unsigned_integer(record.revision);
    out.unsigned_integer(static_cast<std::uint64_t>(record.store_time.count()));
    // Rounded down: a longer time would claim more than is known.
    out.unsigned_integer(static_cast<std::uint64_t>(
        std::chrono::floor<milliseconds>(record.history.complete_for).count()));
    out.array(record.history.versions.size());
    for (const auto& each : record.history.versions)
    {
        out.array(version_field_count);
        out.text(each.service.str());
        out.text(each.software.str());
        out.unsigned_integer(whole_milliseconds(each.age));
    }
    out.array(record.upstreams.size());
    for (const auto hash : record.upstreams)
    {
        out.unsigned_integer(hash);
    }
    return bytes;
}

base::result<version_record> decode_version_record(std::string_view bytes)
{
    cbor_reader in(bytes);
    version_record record;
    in.array(field_count);
    const bool is_record = in.text() == record_kind;
    record.revision = in.integer<std::uint64_t>();
    record.store_time = milliseconds(in.integer<std::int64_t>());
    record.history.complete_for = read_milliseconds(in);
    for (auto left = in.array(); left > 0 && !in.failed(); --left)
    {
        record.history.versions.push_back(read_version(in));
    }
    for (auto left = in.array(); left > 0 && !in.failed(); --left)
    {
        record.upstreams.insert(in.integer<std::uint64_t>());
    }
    if (!is_record || in.failed() || !in.at_end())
    {
        return base::make_error(base::errc::corrupt, "Row is not a record of served versions.");
    }
    return record;
}

}  // namespace caraway::routing
