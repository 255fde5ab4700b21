#pragma once

#include "libcaraway/http/timer_queue.hpp"
#include "libcaraway/routing/upstream_directory.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>

namespace client_tests
{

/// Stand-in of an upstream, which answers by the path: `/held` never, `/large` with 3 MB, `/events`
/// with events of 64 KB without end, `/lines` with a head of very many lines, `/endless/` without
/// end what is named behind it (fields, chunks, a body), others with a few bytes. It sends no more
/// than its connection takes.
class stand_in_upstream
{
public:
    stand_in_upstream(boost::asio::io_context& loop, std::string instance);

    /// Value of its row in the platform's table of upstreams.
    std::string entry(const std::string& service) const;
    const std::string& instance() const
    {
        return instance_;
    }

private:
    struct connection;

    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    std::string instance_;
};

}  // namespace client_tests
