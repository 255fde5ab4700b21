#pragma once

#include "caraway_load/calls/connection.hpp"

#include <map>
#include <memory>
#include <vector>

namespace caraway_load::calls
{

/// The connections of one thread, kept for later requests to the same place.
class connection_pool
{
public:
    /// An idle connection to that place, or a new one; busy as soon as send() is called.
    connection& take(const target& where);
    /// Closes all.
    void clear();

private:
    std::map<target, std::vector<std::unique_ptr<connection>>> kept_;
};

}  // namespace caraway_load::calls
