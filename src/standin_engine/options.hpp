#pragma once

#include "libstandin/program.hpp"

#include <string>

namespace standin_engine
{

/// What an engine is and how fast it works.
struct engine_options
{
    standin::listen_options listen;
    std::string id = "engine";
    std::string model = "model";
    int slots = 4;
    double prefill_ms_per_1k_tokens = 100;
    double token_ms = 20;
    int report_lag_ms = 500;      ///< Age of what `/load` and `/metrics` say.
    int prefix_cache_size = 256;  ///< Prefixes remembered.
    bool checks_fencing = false;
};

}  // namespace standin_engine
