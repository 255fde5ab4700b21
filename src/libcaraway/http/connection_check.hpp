#pragma once

#include "libcaraway/routing/upstream_directory.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace caraway::http
{

/// Whether a process listens at an address.
enum class listening
{
    yes,
    no,       ///< The connection was refused.
    unknown,  ///< No answer within the time-out, or the address can't be reached.
};

/// Opens a connection to `to`, closes it again without sending anything, and calls `done`.
void check_listening(boost::asio::io_context& loop, const routing::endpoint& to,
                     std::chrono::milliseconds timeout, std::function<void(listening)> done);

}  // namespace caraway::http
