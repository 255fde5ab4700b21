#pragma once

#include "carawayd/traffic/control_link.hpp"
#include "libcaraway/base/clock.hpp"
#include "libcaraway/config/configuration.hpp"
#include "libcaraway/scheduling/node_scheduler.hpp"
#include "libcaraway/scheduling/options.hpp"

#include <QJsonObject>
#include <QObject>
#include <QTimer>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace carawayd::journal
{
class request_journal;
}

namespace carawayd::control
{

struct scheduler_host_options
{
    caraway::scheduling::scheduler_options scheduling;
    caraway::base::node_ref self;
    caraway::base::zone_id zone;
    /// Carries a message to another router.
    std::function<void(const caraway::base::node_ref&, caraway::scheduling::peer_message)> send;
};

/// Runs the scheduler on the control thread: feeds it requests, messages and time, and carries out
/// what it decides.
class scheduler_host : public QObject
{
public:
    scheduler_host(scheduler_host_options options, const caraway::base::clock& clock,
                   journal::request_journal& journal, QObject* parent = nullptr);

    void apply_configuration(std::shared_ptr<const caraway::config::accepted_configuration> value);
    void apply_members(std::vector<caraway::scheduling::member> members);
    void set_draining(bool draining);

    void submit(const traffic::submission& arrived);
    void cancel(caraway::base::request_number number);
    void progress(const std::vector<traffic::progress_note>& notes);
    void attempt_ended(const traffic::attempt_note& note);
    void receive(const caraway::base::node_ref& from,
                 const caraway::scheduling::peer_message& message);
    void observe_load(const caraway::base::upstream_id& upstream, std::uint32_t running,
                      std::uint32_t waiting, caraway::base::duration age);

    /// Requests that wait or run.
    std::size_t requests() const;
    caraway::scheduling::scheduler_snapshot snapshot() const;

private:
    struct entry
    {
        caraway::base::request_id id;
        traffic::traffic_worker* from = nullptr;
    };

    void carry_out();
    void carry_out(const caraway::scheduling::start_attempt& start);
    void carry_out(const caraway::scheduling::give_up& end);
    void carry_out(caraway::scheduling::send_message& send);
    void set_wakeup();

    scheduler_host_options options_;
    const caraway::base::clock& clock_;
    journal::request_journal& journal_;
    caraway::scheduling::node_scheduler scheduler_;
    std::shared_ptr<const caraway::config::accepted_configuration> configuration_;
    std::unordered_map<caraway::base::request_number, entry> requests_;
    QTimer wakeup_;
};

}  // namespace carawayd::control
