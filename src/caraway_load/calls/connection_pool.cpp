#include "caraway_load/calls/connection_pool.hpp"

namespace caraway_load::calls
{

connection& connection_pool::take(const target& where)
{
    auto& there = kept_[where];
    connection* found = nullptr;
    for (auto one = there.begin(); one != there.end();)
    {
        if ((*one)->idle() && !(*one)->reusable())
        {
            // Not at once: this may be called from one of its own hooks.
            (*one).release()->deleteLater();
            one = there.erase(one);
            continue;
        }
        if ((*one)->idle() && found == nullptr)
        {
            found = one->get();
        }
        ++one;
    }
    if (found == nullptr)
    {
        there.push_back(std::make_unique<connection>(where));
        found = there.back().get();
    }
    return *found;
}

void connection_pool::clear()
{
    for (auto& [where, connections] : kept_)
    {
        for (auto& one : connections)
        {
            one->abandon();
        }
    }
    kept_.clear();
}

}  // namespace caraway_load::calls
