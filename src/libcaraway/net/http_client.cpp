#include "libcaraway/net/http_client.hpp"

#include "libcaraway/net/http_client_pool.hpp"

#include <utility>

namespace caraway::net
{

http_client::http_client(QObject* parent)
    : QObject(parent), pool_(std::make_shared<http_client_pool>())
{
}

http_client::~http_client() = default;

std::shared_ptr<http_call> http_client::start(client_request request)
{
    return http_call::create(pool_, std::move(request));
}

std::size_t http_client::calls() const
{
    return pool_->calls;
}

}  // namespace caraway::net
