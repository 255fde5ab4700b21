#pragma once

#include "libcaraway/http/timer_queue.hpp"
#include "libcaraway/routing/upstream_directory.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace client_tests
{

/// Bytes that are sent as they are, and what becomes of their connection after a pause.
struct raw_answer
{
    enum class ending
    {
        none,
        close,
        reset,
    };

    std::string bytes;
    ending end = ending::none;
    std::chrono::milliseconds pause{};
};

/// Stand-in of an upstream, which answers by the path: `/held` never, `/large` with 3 MB, `/events`
/// with events of 64 KB without end, `/lines` with a head of very many lines, `/endless/` without
/// end what is named behind it (fields, chunks, a body), others with a few bytes. It sends no more
/// than its connection takes.
class stand_in_upstream
{
public:
    /// Given the target and the id of a request; empty for an answer by the path.
    using raw_answers =
        std::function<std::optional<raw_answer>(const std::string&, const std::string&)>;

    stand_in_upstream(boost::asio::io_context& loop, std::string instance);

    /// Requests for which `answers` has one are answered with it as soon as their head has arrived;
    /// nothing more is read from their connection until the answer is sent, and nothing at all if
    /// the answer ends its connection.
    void answer_heads_with(raw_answers answers);

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
    std::shared_ptr<raw_answers> raw_answers_ = std::make_shared<raw_answers>();
};

}  // namespace client_tests
