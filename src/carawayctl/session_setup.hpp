#pragma once

#include "carawayctl/session.hpp"
#include "libcaraway/base/error.hpp"

#include <string>
#include <vector>

namespace caraway::ctl
{

/// Reads addresses as written on the command line or in CARAWAY_ROUTERS.
base::result<std::vector<router_address>> parse_addresses(const std::vector<std::string>& texts);

/// The operator's key: from the file, if one is named, else from CARAWAY_KEY, else none. A key is
/// never on the command line, where every user of the machine could read it.
base::result<logging::secret> find_key(const std::string& key_file);

}  // namespace caraway::ctl
