#pragma once

#include "carawayctl/router_address.hpp"
#include "libcaraway/base/error.hpp"
#include "libcaraway/logging/secret.hpp"

#include <QJsonObject>

#include <chrono>
#include <string>
#include <vector>

namespace caraway::ctl
{

/// What every command gets from the global options.
struct session_options
{
    std::vector<router_address> routers;
    logging::secret key;
    /// For one router's answer.
    std::chrono::milliseconds timeout{10000};
    bool json = false;
};

/// One router's answer, or why there is none.
struct router_answer
{
    router_address router;
    base::result<QJsonObject> result;
};

/// The routers that a command speaks to, as one operator.
class session
{
public:
    explicit session(session_options options);

    const std::vector<router_address>& routers() const
    {
        return options_.routers;
    }
    bool json() const
    {
        return options_.json;
    }

    /// Asks one router after the other until one answers. `unavailable` when none does.
    base::result<QJsonObject> read(const std::string& method, const QJsonObject& params = {}) const;

    /// Like `read`, for a change that has the same effect when it is sent again, whichever router
    /// it reaches. Once a router may have acted without answering, an error of another router says
    /// nothing about that; the result is then `unknown_effect`, unless one router succeeds.
    base::result<QJsonObject> write(const std::string& method, const QJsonObject& params) const;

    /// Asks every router.
    std::vector<router_answer> ask_all(const std::string& method,
                                       const QJsonObject& params = {}) const;

    /// Asks one router, once.
    base::result<QJsonObject> ask(const router_address& router, const std::string& method,
                                  const QJsonObject& params) const;

private:
    session_options options_;
};

}  // namespace caraway::ctl
