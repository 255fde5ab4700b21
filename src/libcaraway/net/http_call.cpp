#include "libcaraway/net/http_call.hpp"

#include "libcaraway/net/http_attempt.hpp"

#include <QThread>

#include <utility>

namespace caraway::net
{

http_call::http_call() = default;

http_call::~http_call() = default;

std::shared_ptr<http_call> http_call::create(const std::shared_ptr<http_client_pool>& pool,
                                             client_request request)
{
    // The last pointer may be dropped by a slot of this very object.
    std::shared_ptr<http_call> call(new http_call,
                                    [](http_call* dropped)
                                    {
                                        dropped->blockSignals(true);
                                        if (dropped->thread() == QThread::currentThread())
                                        {
                                            dropped->attempt_->discard();
                                        }
                                        dropped->deleteLater();
                                    });
    call->attempt_ = std::make_unique<http_attempt>(*call, pool, std::move(request));
    call->attempt_->start();
    return call;
}

void http_call::abort()
{
    attempt_->abort();
}

void http_call::set_paused(bool paused)
{
    attempt_->set_paused(paused);
}

}  // namespace caraway::net
