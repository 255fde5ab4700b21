#pragma once

#include "libcaraway/net/http_call.hpp"

#include <QObject>

#include <cstddef>
#include <memory>

namespace caraway::net
{

/// Calls upstreams from the thread it lives in; one a thread. Has no limit of its own on concurrent
/// calls, and no queue: whoever starts a call has decided that it may run.
class http_client : public QObject
{
    Q_OBJECT

public:
    explicit http_client(QObject* parent = nullptr);
    ~http_client() override;

    /// Starts a call. Signals come from the event loop, so there is time to connect to them.
    std::shared_ptr<http_call> start(client_request request);

    /// Calls that have not ended.
    std::size_t calls() const;

private:
    std::shared_ptr<http_client_pool> pool_;
};

}  // namespace caraway::net
