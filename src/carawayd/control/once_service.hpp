#pragma once

#include "carawayd/traffic/control_link.hpp"
#include "libcaraway/attempts/once_coordinator.hpp"
#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <QObject>

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>

namespace caraway::net
{
class platform_client;
}

namespace carawayd::control
{

struct once_service_options
{
    caraway::base::node_ref self;
    caraway::attempts::once_options once;
    /// What membership knows of the holder of a record.
    std::function<caraway::attempts::holder_state(const caraway::attempts::attempt_id&)> holder;
};

/// Keeps calls that may run only once to one run: drives a once_coordinator for each such call
/// against the platform's table service.
class once_service : public QObject
{
public:
    once_service(once_service_options options, caraway::net::platform_client& platform,
                 const caraway::base::clock& clock, QObject* parent = nullptr);
    ~once_service() override;

    void claim(const traffic::claim_request& request);
    void ended(const traffic::claim_end& end);
    void abandoned(caraway::base::request_number number);

    /// Calls whose claim or record is under way; a graceful shutdown waits for these.
    std::size_t pending() const;

private:
    struct entry
    {
        std::unique_ptr<caraway::attempts::once_coordinator> coordinator;
        traffic::traffic_worker* from = nullptr;
        /// The verdict has been given; what follows is only for the record.
        bool answered = false;
    };

    /// Carries the step out, after the pause that the coordinator asks for.
    void follow(caraway::base::request_number number, const caraway::attempts::once_step& step);
    void carry_out(caraway::base::request_number number, const caraway::attempts::once_step& step);
    void write(caraway::base::request_number number, const caraway::attempts::row_key& key,
               const std::string& body, std::optional<std::uint64_t> rev);
    void read(caraway::base::request_number number, const caraway::attempts::row_key& key);
    void answer(caraway::base::request_number number, const traffic::claim_verdict& verdict);
    entry* find(caraway::base::request_number number);

    once_service_options options_;
    caraway::net::platform_client& platform_;
    const caraway::base::clock& clock_;
    std::unordered_map<caraway::base::request_number, entry> entries_;
};

}  // namespace carawayd::control
