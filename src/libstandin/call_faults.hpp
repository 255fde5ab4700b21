#pragma once

#include "libstandin/control_fields.hpp"
#include "libstandin/exchange.hpp"

#include <QString>

namespace standin
{

/// Counts down a fault that strikes the next N times; -1 means always. True when it strikes now.
bool strikes(int& remaining);

/// Faults that any HTTP upstream may show, by the names of their switches.
struct call_faults
{
    int close_after_read = 0;   ///< Next N requests are run, the connection closed without answer.
    int reset_after_read = 0;   ///< Likewise, with a TCP reset.
    int late_ms = 0;            ///< The answer is held back that long.
    int status = 0;             ///< Not run, answered with this status; 0 is off.
    int status_count = -1;      ///< How many requests get `status`; -1 means all.
    int retry_after_s = 0;      ///< Sent with `status` as Retry-After; 0 is off.
    int redirect = 0;           ///< Not run, 307 to this port of the same address; 0 is off.
    int silent_accept = 0;      ///< Next N connections are accepted and never read; -1 means all.
    bool silence_open = false;  ///< Set once: all connections open now go silent for good.

    void add_to(control_fields& fields);
    /// Answers in place of the service, without a run, if a fault says so. `error_body` makes the
    /// body of an error status.
    bool refuse(exchange& call, const std::function<QByteArray(int)>& error_body);
    /// Ends a call that has been run without an answer, if a fault says so.
    bool lose_answer(exchange& call);
};

class http_server;

/// Carries out the switches that concern connections, all but that of `asking`.
void apply_connection_faults(call_faults& faults, http_server& server, const exchange& asking);

}  // namespace standin
