#pragma once

#include "libcaraway/base/ids.hpp"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <utility>

namespace caraway::scheduling
{

/// Records which upstream last ran a prompt prefix, as its cache may still contain the prefix.
/// Evicts the least recently used prefix if the capacity, in prefixes, is exceeded.
class prefix_affinity
{
public:
    explicit prefix_affinity(std::size_t capacity);

    void record(std::uint64_t prefix, const base::upstream_id& upstream);
    /// Null if the prefix is unknown. 0 means a request without a prefix and is never recorded.
    const base::upstream_id* find(std::uint64_t prefix) const;

private:
    using entry = std::pair<std::uint64_t, base::upstream_id>;

    std::size_t capacity_;
    std::list<entry> entries_;
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> positions_;
};

}  // namespace caraway::scheduling
