#pragma once

#include "libcaraway/base/ids.hpp"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <utility>

namespace caraway::scheduling
{

/// Which upstream ran a prompt prefix last, so that its cache may still hold it. Forgets the least
/// recently used.
class prefix_affinity
{
public:
    explicit prefix_affinity(std::size_t capacity);

    void record(std::uint64_t prefix, const base::upstream_id& upstream);
    /// Null if unknown; 0 stands for no prefix and is never known.
    const base::upstream_id* find(std::uint64_t prefix) const;

private:
    using entry = std::pair<std::uint64_t, base::upstream_id>;

    std::size_t capacity_;
    std::list<entry> recent_;
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> places_;
};

}  // namespace caraway::scheduling
