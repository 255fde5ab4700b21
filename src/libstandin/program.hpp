#pragma once

#include <cstdint>
#include <string>

namespace CLI  // NOLINT(readability-identifier-naming): the library's own.
{
class App;
}

namespace standin
{

class http_server;

/// Where a stand-in listens.
struct listen_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;  ///< 0: any free one.
};

void add_listen_options(CLI::App& app, listen_options& options);

/// Listens, says `listening ADDRESS:PORT` on standard output and serves until SIGTERM or SIGINT.
/// Returns the exit code.
int serve(http_server& server, const listen_options& options);

}  // namespace standin
