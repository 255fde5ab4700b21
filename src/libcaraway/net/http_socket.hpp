#pragma once

#include <QtGlobal>

#include <chrono>
#include <string>

class QHostAddress;

namespace caraway::net
{

/// Options of a connection from a caller. Something between the two ends can lose track of a
/// connection; without probes it would then stay open for good. So TCP probes an idle one, and
/// gives up one whose data isn't acknowledged for `unacknowledged`.
void set_liveness_options(qintptr descriptor, std::chrono::milliseconds unacknowledged);

/// Makes closing the socket send a reset, so that the caller can't take what came for all.
void set_reset_on_close(qintptr descriptor);

/// Whether bytes wait in the kernel.
bool has_unread_bytes(qintptr descriptor);

/// Without the form that IPv4 addresses have on an IPv6 socket.
std::string address_text(const QHostAddress& address);

}  // namespace caraway::net
