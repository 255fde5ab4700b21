#include "libcaraway/membership/messages.hpp"

#include <tuple>

namespace caraway::membership
{

bool supersedes(const member_update& a, const member_update& b)
{
    return std::tuple(a.node.life, a.refutations, a.judged) >
           std::tuple(b.node.life, b.refutations, b.judged);
}

}  // namespace caraway::membership
