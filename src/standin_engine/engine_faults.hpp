#pragma once

#include "libstandin/call_faults.hpp"

#include <QString>

namespace standin_engine
{

/// The engine's own faults beside those of any upstream.
struct engine_faults
{
    standin::call_faults call;
    QString crash_on;           ///< A prompt with this text ends the process when it starts.
    bool stall = false;         ///< Nothing is generated; all stays open.
    int cut_after_tokens = -1;  ///< The answer breaks off after so many tokens; -1 is off.
    bool cut_clean = false;     ///< A cut stream ends its chunks properly, without `[DONE]`.
    int cut_count = -1;         ///< How many answers are cut; -1 means all.

    void add_to(standin::control_fields& fields)
    {
        call.add_to(fields);
        fields.add("crash_on", &crash_on)
            .add("stall", &stall)
            .add("cut_after_tokens", &cut_after_tokens)
            .add("cut_clean", &cut_clean)
            .add("cut_count", &cut_count);
    }
};

}  // namespace standin_engine
