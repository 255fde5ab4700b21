#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/error.hpp"
#include "libcaraway/net/platform_transport.hpp"
#include "libcaraway/net/platform_types.hpp"

#include <QByteArray>

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

namespace caraway::net
{

/// The body of a reply with a status of success; otherwise what is known of the request's effect.
base::result<QByteArray> successful_body(const platform_reply& reply, bool write);

/// One operation under way. Kept apart from its result's type, so that queue, retries and circuit
/// breaker are written once.
class platform_call
{
public:
    platform_call(platform_operation kind, platform_request what, base::time_point now)
        : operation(kind), request(std::move(what)), started(now)
    {
    }
    virtual ~platform_call() = default;
    platform_call(const platform_call&) = delete;
    platform_call& operator=(const platform_call&) = delete;

    /// Keeps the result of one attempt, or the error that stands in its place.
    virtual void take(const platform_reply& reply) = 0;
    virtual void fail(base::error why) = 0;
    /// The error kept last, if any.
    virtual std::optional<base::errc> error() const = 0;
    /// Hands what is kept to the callback.
    virtual void deliver() = 0;

    platform_operation operation;
    platform_request request;
    base::time_point started;
    std::uint32_t attempts = 0;
};

template <class T>
class typed_platform_call final : public platform_call
{
public:
    using decoder = std::function<base::result<T>(const QByteArray&)>;

    typed_platform_call(platform_operation kind, platform_request what, base::time_point now,
                        decoder decode, platform_callback<T> done)
        : platform_call(kind, std::move(what), now), decode_(std::move(decode)),
          done_(std::move(done))
    {
    }

    void take(const platform_reply& reply) override
    {
        const base::result<QByteArray> body = successful_body(reply, request.write);
        result_ = body ? decode_(body.value()) : base::result<T>(body.error());
    }

    void fail(base::error why) override
    {
        result_ = std::move(why);
    }

    std::optional<base::errc> error() const override
    {
        return result_ ? std::nullopt : std::optional(result_.error().code);
    }

    void deliver() override
    {
        done_(std::move(result_));
    }

private:
    decoder decode_;
    platform_callback<T> done_;
    base::result<T> result_ = base::make_error(base::errc::internal, "not attempted");
};

}  // namespace caraway::net
