#pragma once

#include "libcaraway/base/clock.hpp"
#include "libstandin/exchange.hpp"

#include "standin_platform/service_gate.hpp"
#include "standin_platform/table.hpp"
#include "standin_platform/table_request.hpp"

#include <QHash>

#include <chrono>

namespace standin_platform
{

/// The table by its published JSON interface.
class table_service
{
public:
    table_service(const caraway::base::clock& clock, std::chrono::milliseconds token_lifetime);

    void handle(const service_gate::call_ptr& call);

    service_gate& gate();

private:
    struct done_transaction
    {
        QJsonObject body;
        caraway::base::time_point at;
    };

    standin::answer execute(const table_request& request);
    standin::answer get(const item_key& key) const;
    standin::answer query(const item_range& range) const;
    standin::answer put_or_delete(const write& one);
    standin::answer transact(const table_request& request);
    void forget_old_tokens();

    const caraway::base::clock& clock_;
    std::chrono::milliseconds token_lifetime_;
    service_gate gate_;
    table table_;
    QHash<QString, done_transaction> tokens_;
};

}  // namespace standin_platform
