// Easylogging++ is distributed as a single source file, which must be compiled exactly once.
#include "libcaraway/logging/easylogging_library.hpp"

#include <easylogging++.cc>
