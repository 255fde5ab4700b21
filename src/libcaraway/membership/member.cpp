#include "libcaraway/membership/member.hpp"

namespace caraway::membership
{

const char* name(member_state state)
{
    switch (state)
    {
    case member_state::joining:
        return "joining";
    case member_state::alive:
        return "alive";
    case member_state::leaving:
        return "leaving";
    case member_state::suspect:
        return "suspect";
    case member_state::dead:
        return "dead";
    case member_state::left:
        return "left";
    }
    return "dead";
}

member_state member::state() const
{
    if (announced == announced_state::left)
    {
        return member_state::left;
    }
    if (judged != verdict::none)
    {
        return judged == verdict::dead ? member_state::dead : member_state::suspect;
    }
    switch (announced)
    {
    case announced_state::joining:
        return member_state::joining;
    case announced_state::alive:
        return member_state::alive;
    case announced_state::leaving:
    case announced_state::left:
        break;
    }
    return member_state::leaving;
}

}  // namespace caraway::membership
