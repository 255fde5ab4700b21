#include "libcaraway/router/daemon.hpp"

#include "libcaraway/router/settings_change.hpp"

#include <csignal>

namespace caraway::router
{

namespace
{

using std::chrono::milliseconds;

/// Digests, and all that is looked after regularly. Ten a second keep the load board fresher than
/// the engines' own reports (200 ms) at a few hundred datagrams a second in a fleet of eight.
constexpr milliseconds tick_period{100};
constexpr milliseconds sweep_period{500};
constexpr std::chrono::seconds rate_period{1};
/// The settings file may change without a signal; reading its 2 KB takes a tenth of a millisecond.
constexpr std::chrono::seconds reload_period{2};
/// Digests of a peer that may be lost before what it told no longer counts.
constexpr int lost_digests = 5;
/// A tick so late means that the machine stood still; all that was known may be old.
constexpr milliseconds suspended_after{700};
/// Callers that keep a list three times as long as they are told still come in this time after a
/// router has left the lists; a request taken later could outlast the grace.
constexpr milliseconds serve_while_stopping{3000};
/// Before SIGKILL, for the last answers to be sent.
constexpr milliseconds last_moment{500};
/// Descriptors that aren't callers': the system's own, and those towards upstreams.
constexpr std::size_t descriptors_kept = 700;

/// How long callers may keep a connection between requests. Callers that are refused come back on a
/// new connection each time; where many do, those that they left behind took all descriptors within
/// the fifteen seconds that the configuration allows.
std::chrono::seconds keep_alive_at(double pressure)
{
    using std::chrono::seconds;
    if (pressure < 0.1)
    {
        return seconds(10);
    }
    return pressure < 0.3 ? seconds(4) : seconds(1);
}

std::uint64_t now_as_life(const base::clock& clock)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(clock.wall_time().time_since_epoch())
            .count());
}

/// Opens it and notes the port if any would do.
base::result<void> open_at(http::listener& of, routing::endpoint& address)
{
    BOOST_OUTCOME_TRY(of.open(address));
    address.port = of.port();
    return base::success();
}

bool serves_metrics(const settings& of)
{
    return !of.metrics.ip.empty();
}

}  // namespace

daemon::daemon(boost::asio::io_context& loop, const base::clock& clock, settings options,
               caller_protocol protocol, platform_port platform, telemetry::line_log& log,
               settings_source reread)
    : core_(loop, clock, std::move(options), std::move(protocol), log),
      platform_(std::move(platform)), reread_(std::move(reread)), incarnation_(now_as_life(clock)),
      peers_(core_.options.name, core_.options.zone), relay_(core_.options.name),
      link_(
          core_, peers_, relay_, [this] { return make_digest(); },
          [this](const table_copy& copy) { return apply_copy(copy); }),
      signals_(loop)
{
}

base::result<void> daemon::start()
{
    started_ = core_.now();
    open_listeners();
    auto& at = core_.options;
    BOOST_OUTCOME_TRY(open_at(*callers_, at.callers));
    BOOST_OUTCOME_TRY(open_at(*readiness_, at.readiness));
    BOOST_OUTCOME_TRY(open_at(*directory_, at.directory));
    BOOST_OUTCOME_TRY(open_at(*control_, at.control));
    if (serves_metrics(at))
    {
        BOOST_OUTCOME_TRY(open_at(*metrics_, at.metrics));
    }
    BOOST_OUTCOME_TRY(link_.open(at.datagrams));
    core_.receive_peer_updates = [this]
    {
        link_.hear_waiting();
    };
    open_tables(platform_);
    watch_signals();
    core_.log.line("start", {{"router", at.name.str()},
                             {"zone", at.zone.str()},
                             {"life", incarnation_},
                             {"program", CARAWAY_VERSION}});
    tick();
    return base::success();
}

void daemon::open_listeners()
{
    const auto most = core_.options.max_descriptors;
    const auto others = most / 16;
    const auto for_callers = most - std::min(most / 2, descriptors_kept + 3 * others);
    const auto limits = [this]
    {
        http::server_limits out{.keep_alive = keep_alive_at(callers_->pressure()),
                                .closing = is_stopping()};
        if (const auto table = core_.table())
        {
            const auto& from = table->accepted().limits;
            out.header_bytes = from.header_bytes;
            out.body_bytes = from.body_bytes;
            out.header_timeout = from.header_timeout;
            out.idle_timeout = from.idle_timeout;
        }
        return out;
    };
    const auto own_limits = []
    {
        return http::server_limits{};
    };
    const auto make = [&](auto limits_of, auto handler, std::size_t connections)
    {
        return std::make_unique<http::listener>(core_.loop, core_.timers, limits_of, handler,
                                                connections);
    };
    callers_ = make(
        limits, [this](const auto& request) { core_.handle(request); }, for_callers);
    callers_->set_admission([this]
                            { return core_.overload.take_connection(core_.active_streams); });
    readiness_ = make(
        own_limits, [this](const auto& request) { answer_readiness(request); }, others);
    directory_ = make(
        own_limits, [this](const auto& request) { answer_directory(request); }, others);
    control_ = make(
        own_limits, [this](const auto& request) { answer_control(request); }, others);
    metrics_ = make(
        own_limits, [this](const auto& request) { answer_metrics(request); }, 8);
}

void daemon::watch_signals()
{
    signals_.add(SIGTERM);
    signals_.add(SIGINT);
    signals_.add(SIGHUP);
    signals_.async_wait(owner_.guard(
        [this](const boost::system::error_code& error, int signal)
        {
            if (error)
            {
                return;
            }
            if (signal == SIGHUP)
            {
                reload("signal");
            }
            else
            {
                stop();
            }
            signals_.clear();
            watch_signals();
        }));
}

void daemon::tick()
{
    const auto now = core_.now();
    notice_lateness(now);
    resume_listening();
    core_.load_tracker.drop_old_peers(now, peers_.period() * lost_digests);
    if (now >= next_rate_)
    {
        report_second(now);
        next_rate_ = now + rate_period;
    }
    drop_expired_upstreams(now);
    update_warmups(now);
    core_.expire_waiting();
    core_.dispatch_waiting();
    choose_table_source(now);
    link_.tell();
    request_missing_tables(now);
    sync_routers_table(now);
    if (now >= next_sweep_)
    {
        next_sweep_ = now + sweep_period;
        core_.pool.sweep();
        peers_.forget_old(now);
        update_limits_per_router();
        core_.set_share_capacity();
    }
    if (now >= next_reload_)
    {
        next_reload_ = now + reload_period;
        reload("file");
    }
    if (is_stopping())
    {
        progress_stop(now);
    }
    core_.log.flush();
    core_.timers.after(tick_period, [this] { tick(); });
}

void daemon::notice_lateness(base::time_point now)
{
    const auto since = to_milliseconds(now - last_tick_);
    const bool first = last_tick_ == base::time_point{};
    last_tick_ = now;
    if (first)
    {
        return;
    }
    if (since > suspended_after)
    {
        core_.log.line("stood_still", {{"for_ms", since.count()}});
    }
    latest_tick_ = std::max(latest_tick_, since - tick_period);
    const bool was_busy = core_.overload.busy();
    core_.overload.note_tick(since - tick_period, core_.active_streams);
    if (was_busy != core_.overload.busy())
    {
        core_.log.line("overload", {{"busy", !was_busy},
                                    {"late_ms", (since - tick_period).count()},
                                    {"streams", core_.active_streams},
                                    {"refusals", callers_->refusals()}});
    }
}

void daemon::resume_listening()
{
    for (auto* each : {&callers_, &readiness_, &directory_, &control_, &metrics_})
    {
        (*each)->resume();
    }
}

void daemon::reload(std::string_view because)
{
    if (!reread_)
    {
        return;
    }
    const auto next = reread_();
    if (!next)
    {
        // A file that is being written; what is in force stays.
        if (settings_fault_ != next.error().message)
        {
            settings_fault_ = next.error().message;
            core_.log.line("settings_unreadable", {{"because", settings_fault_}});
        }
        return;
    }
    settings_fault_.clear();
    const auto change = apply_settings(core_.options, next.value());
    if (!change.any())
    {
        return;
    }
    core_.retries.set_options(core_.options.retries);
    core_.shares.set_window(core_.options.share_window);
    platform_.set_store_address(core_.options.store);
    core_.log.line(
        "reload",
        {{"because", because}, {"applied", change.applied}, {"need_restart", change.need_restart}});
}

void daemon::stop()
{
    if (is_stopping())
    {
        return;
    }
    const auto now = core_.now();
    stopping_since_ = now;
    core_.reject_from = now + serve_while_stopping;
    core_.log.line("stop", {{"answering", callers_->answering()}});
    link_.tell();
}

void daemon::progress_stop(base::time_point now)
{
    const auto since = now - *stopping_since_;
    if (since > core_.options.entry_lifetime + tick_period)
    {
        callers_->close_idle();
    }
    const bool served = since > serve_while_stopping + tick_period && callers_->answering() == 0;
    if (!served && since < core_.options.grace - last_moment)
    {
        return;
    }
    core_.log.line("end", {{"unfinished", callers_->answering()}});
    core_.log.flush();
    ended_ = true;
    core_.loop.stop();
}

bool daemon::ready() const
{
    return !is_stopping() && has_tables();
}

}  // namespace caraway::router
