#pragma once

#include "libcaraway/base/clock.hpp"
#include "libstandin/exchange.hpp"
#include "libstandin/http_server.hpp"

#include "standin_platform/object_store.hpp"
#include "standin_platform/table_service.hpp"
#include "standin_platform/vm_list.hpp"

#include <QJsonArray>
#include <QJsonObject>

#include <chrono>
#include <memory>
#include <optional>

namespace standin_platform
{

/// The platform's three services on one port, and the switches that make them fail.
class platform
{
public:
    /// `token_lifetime`: how long a transaction's token is remembered.
    explicit platform(std::chrono::milliseconds token_lifetime);

    standin::http_server& server();
    vm_list& vms();

private:
    void handle(const service_gate::call_ptr& call);
    void control(standin::exchange& call);
    std::optional<QString> check(const QJsonObject& change);
    std::optional<QString> check_vms(const QJsonValue& change);
    void apply(const QJsonObject& change);
    QJsonObject show();

    caraway::base::machine_clock clock_;
    table_service table_;
    object_store objects_;
    vm_list vms_;
    standin::http_server server_;
};

}  // namespace standin_platform
