#include "carawayd/control/scheduler_host.hpp"

#include "carawayd/journal/request_journal.hpp"
#include "carawayd/traffic/traffic_worker.hpp"

#include <QString>

#include <algorithm>
#include <utility>
#include <variant>

namespace carawayd::control
{

using caraway::base::request_number;
using caraway::scheduling::attempt_result;

namespace
{

constexpr const char* journal_part = "scheduler";

}  // namespace

scheduler_host::scheduler_host(scheduler_host_options options, const caraway::base::clock& clock,
                               journal::request_journal& journal, QObject* parent)
    : QObject(parent), options_(std::move(options)), clock_(clock), journal_(journal),
      scheduler_(options_.scheduling, options_.self, options_.zone)
{
    wakeup_.setSingleShot(true);
    wakeup_.setTimerType(Qt::PreciseTimer);
    connect(&wakeup_, &QTimer::timeout, this,
            [this]
            {
                scheduler_.tick(clock_.now());
                carry_out();
            });
}

void scheduler_host::apply_configuration(
    std::shared_ptr<const caraway::config::accepted_configuration> value)
{
    configuration_ = std::move(value);
    scheduler_.apply_configuration(configuration_->content, clock_.now());
    carry_out();
}

void scheduler_host::apply_members(std::vector<caraway::scheduling::member> members)
{
    scheduler_.apply_members(std::move(members), clock_.now());
    carry_out();
}

void scheduler_host::set_draining(bool draining)
{
    scheduler_.set_draining(draining, clock_.now());
    carry_out();
}

void scheduler_host::submit(const traffic::submission& arrived)
{
    const request_number number = arrived.request.number;
    const auto refused = scheduler_.submit(arrived.request, clock_.now());
    if (refused)
    {
        arrived.from->post_give_up(number, *refused);
    }
    else
    {
        requests_.emplace(number, entry{.id = arrived.id, .from = arrived.from});
    }
    carry_out();
}

void scheduler_host::cancel(request_number number)
{
    scheduler_.cancel(number, clock_.now());
    carry_out();
}

void scheduler_host::progress(const std::vector<traffic::progress_note>& notes)
{
    for (const auto& note : notes)
    {
        scheduler_.progress(note.request, note.streamed, clock_.now());
    }
    carry_out();
}

void scheduler_host::attempt_ended(const traffic::attempt_note& note)
{
    const auto now = clock_.now();
    if (note.requested_rest)
    {
        scheduler_.record_rest(note.request, *note.requested_rest, now);
    }
    scheduler_.finished(note.request, note.total, note.result, now);
    const auto found = requests_.find(note.request);
    if (found != requests_.end() && !note.retry)
    {
        requests_.erase(found);
    }
    else if (found != requests_.end() && !scheduler_.retry(note.request, now))
    {
        const entry over = found->second;
        requests_.erase(found);
        over.from->post_give_up(
            note.request,
            {.code = caraway::base::errc::resource_exhausted,
             .reason = "No further attempt: its deadline or the retry budget forbids."});
    }
    carry_out();
}

void scheduler_host::receive(const caraway::base::node_ref& from,
                             const caraway::scheduling::peer_message& message)
{
    scheduler_.receive(from, message, clock_.now());
    carry_out();
}

void scheduler_host::observe_load(const caraway::base::upstream_id& upstream, std::uint32_t running,
                                  std::uint32_t waiting, caraway::base::duration age)
{
    scheduler_.observe_load(upstream, running, waiting, age, clock_.now());
    carry_out();
}

std::size_t scheduler_host::requests() const
{
    return requests_.size();
}

caraway::scheduling::scheduler_snapshot scheduler_host::snapshot() const
{
    return scheduler_.snapshot(clock_.now());
}

void scheduler_host::carry_out()
{
    for (auto& action : scheduler_.take_actions())
    {
        std::visit([this](auto& one) { carry_out(one); }, action);
    }
    set_wakeup();
}

void scheduler_host::carry_out(const caraway::scheduling::start_attempt& start)
{
    const auto found = requests_.find(start.request);
    const auto& upstreams = configuration_->content.upstreams;
    const auto target = upstreams.find(start.upstream);
    if (found == requests_.end() || target == upstreams.end())
    {
        // The configuration took the upstream away after the grant: the slot is given back unused.
        scheduler_.finished(start.request, caraway::base::cost(), attempt_result::refused,
                            clock_.now());
        return;
    }
    journal_.record(found->second.id, journal_part, "granted a slot",
                    {{"upstream", QString::fromStdString(start.upstream.str())},
                     {"owner", QString::fromStdString(start.owner.id.str())},
                     {"grant", static_cast<qint64>(start.grant)},
                     {"charged", start.estimate.value()}});
    found->second.from->post_start(
        start.request,
        {.id = target->first, .host = target->second.host, .port = target->second.port});
}

void scheduler_host::carry_out(const caraway::scheduling::give_up& end)
{
    const auto found = requests_.find(end.request);
    if (found == requests_.end())
    {
        return;
    }
    const entry over = found->second;
    requests_.erase(found);
    over.from->post_give_up(end.request, end.answer);
}

void scheduler_host::carry_out(caraway::scheduling::send_message& send)
{
    options_.send(send.to, std::move(send.message));
}

void scheduler_host::set_wakeup()
{
    const auto next = scheduler_.next_wakeup();
    if (!next)
    {
        wakeup_.stop();
        return;
    }
    const auto left = std::max(*next - clock_.now(), caraway::base::duration::zero());
    wakeup_.start(std::chrono::ceil<std::chrono::milliseconds>(left));
}

}  // namespace carawayd::control
