#pragma once

#include "libcaraway/base/clock.hpp"
#include "libstandin/control_fields.hpp"
#include "libstandin/exchange.hpp"
#include "libstandin/http_server.hpp"

#include "standin_engine/batch.hpp"
#include "standin_engine/engine_faults.hpp"
#include "standin_engine/options.hpp"
#include "standin_engine/order_book.hpp"

#include <memory>

namespace standin_engine
{

/// A model engine's HTTP interface.
class engine
{
public:
    explicit engine(const engine_options& options);

    standin::http_server& server();

private:
    using call_ptr = std::shared_ptr<standin::exchange>;

    void handle(const call_ptr& call);
    void generate(endpoint kind, const call_ptr& call);
    void take_order(standin::exchange& call);
    void control(standin::exchange& call);
    QJsonObject models() const;
    QJsonObject load();
    QByteArray metrics();
    QJsonObject stats();

    engine_options options_;
    caraway::base::machine_clock clock_;
    engine_faults faults_;
    standin::control_fields switches_;
    order_book orders_;
    batch batch_;
    quint64 generations_ = 0;
    standin::http_server server_;
};

}  // namespace standin_engine
