#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/config/document.hpp"

#include <string>

namespace caraway::ctl
{

/// Reads the files `*.json` of a configuration folder, merges and checks them. The error is about
/// the folder itself; what is wrong with its content is in the report.
base::result<config::check_report> check_folder(const std::string& path);

}  // namespace caraway::ctl
