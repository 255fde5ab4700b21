#pragma once

#include "libcaraway/base/error.hpp"

#include <QObject>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace caraway::net
{

class http_worker;

/// Listens in its own thread and hands each connection to one of several workers, in turn, each in
/// whatever thread it lives in. The workers must outlive the acceptor.
class http_acceptor : public QObject
{
    Q_OBJECT

public:
    explicit http_acceptor(std::vector<http_worker*> workers, QObject* parent = nullptr);
    ~http_acceptor() override;

    /// Port 0 takes any free one. Errors: invalid_argument for what is no IP address, unavailable
    /// when the address can't be had.
    base::result<void> listen(const std::string& address, std::uint16_t port);
    /// The port in use, 0 when not listening.
    std::uint16_t port() const;
    /// Stops listening; connections already handed on are left alone.
    void close();

private:
    class listener;
    std::unique_ptr<listener> listener_;
};

}  // namespace caraway::net
