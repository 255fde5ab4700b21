#include "libcaraway/router/daemon.hpp"

#include "libcaraway/router/connection_limits.hpp"
#include "libcaraway/router/settings_change.hpp"

#include <csignal>

namespace caraway::router
{

namespace
{

using std::chrono::milliseconds;

/// Period of digests and of all regular work. Ten a second keep the known loads fresher than the
/// engines' own reports (200 ms), at a few hundred datagrams a second in a fleet of eight.
constexpr milliseconds tick_period{100};
constexpr milliseconds sweep_period{500};
constexpr std::chrono::seconds report_period{1};
/// The settings file may change without a signal. Reading its 2 KB takes a tenth of a millisecond.
constexpr std::chrono::seconds reload_period{2};
/// The loads known from a peer expire after this many digest periods without a digest.
constexpr int max_lost_digests = 5;
/// A longer time between ticks means that the VM was suspended; all known state may be stale.
constexpr milliseconds suspension_threshold{700};
/// How long new requests are still accepted after the router has left the directory: it covers
/// callers that keep a list of routers three times as long as it is valid. A request accepted later
/// could take longer than the grace.
constexpr milliseconds accept_while_stopping{3000};
/// While the router stops, for which the first request of a new connection may be on its way.
constexpr milliseconds first_request_time{1000};
/// Time before SIGKILL at which requests that are still under way are ended.
constexpr milliseconds last_answers_margin{500};
/// Time before SIGKILL at which the process ends, though answers may not have been read.
constexpr milliseconds shutdown_margin{200};

/// How long callers may keep an idle connection, depending on the part of the connections that is
/// in use (0 to 1). Rejected callers retry on a new connection each time: under many rejections
/// their abandoned connections exhausted the file descriptors within the fifteen seconds that the
/// configuration allows.
std::chrono::seconds keep_alive_at(double pressure)
{
    using std::chrono::seconds;
    if (pressure < 0.1)
    {
        return seconds(10);
    }
    return pressure < 0.3 ? seconds(4) : seconds(1);
}

std::uint64_t incarnation_from_wall_clock(const base::clock& clock)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(clock.wall_time().time_since_epoch())
            .count());
}

/// Opens the listener and stores the actual port, as the address may name port 0.
base::result<void> open_listener(http::listener& listener, routing::endpoint& address)
{
    BOOST_OUTCOME_TRY(listener.open(address));
    address.port = listener.port();
    return base::success();
}

bool serves_metrics(const settings& options)
{
    return !options.metrics.ip.empty();
}

}  // namespace

daemon::daemon(boost::asio::io_context& loop, const base::clock& clock, settings options,
               caller_protocol protocol, platform_port platform, telemetry::line_log& log,
               settings_source read_settings)
    : core_(loop, clock, std::move(options), std::move(protocol), log),
      platform_(std::move(platform)), read_settings_(std::move(read_settings)),
      incarnation_(incarnation_from_wall_clock(clock)),
      peers_(core_.options.name, core_.options.zone), relay_(core_.options.name),
      link_(
          core_, peers_, relay_, [this] { return make_digest(); },
          [this](const table_copy& copy) { return apply_copy(copy); },
          [this](std::string_view bytes, const routing::endpoint& sender)
          { origins_.receive(bytes, sender); }),
      origins_(
          core_,
          [this](const routing::endpoint& receiver, const std::string& bytes)
          { link_.send_datagram(receiver, bytes); },
          [this] { return peers_.reachable_keepers(core_.now()); }),
      versions_(core_, platform_,
                {.revision =
                     [this] {
                         return upstreams_->has_read() ? std::optional(upstreams_->revision())
                                                       : std::nullopt;
                     },
                 .apply = [this](const auto& rows, auto revision)
                 { apply_upstreams(rows, revision, "store_check"); },
                 .store_time =
                     [this]
                 {
                     return upstreams_->store_time(core_.now());
                 }}),
      stored_origins_(core_, platform_,
                      {.store_time = [this] { return upstreams_->store_time(core_.now()); },
                       .learned =
                           [this](const auto& stream)
                       {
                           origins_.add(stream);
                       }}),
      signals_(loop)
{
}

base::result<void> daemon::start()
{
    started_ = core_.now();
    open_listeners();
    auto& addresses = core_.options;
    BOOST_OUTCOME_TRY(open_listener(*callers_, addresses.callers));
    BOOST_OUTCOME_TRY(open_listener(*readiness_, addresses.readiness));
    BOOST_OUTCOME_TRY(open_listener(*directory_, addresses.directory));
    BOOST_OUTCOME_TRY(open_listener(*control_, addresses.control));
    if (serves_metrics(addresses))
    {
        BOOST_OUTCOME_TRY(open_listener(*metrics_, addresses.metrics));
    }
    BOOST_OUTCOME_TRY(link_.open(addresses.datagrams));
    core_.receive_peer_updates = [this]
    {
        return link_.receive_pending();
    };
    core_.upstreams_age = [this]
    {
        return relay_.unconfirmed_for(core_.now());
    };
    connect_stream_origins();
    open_tables(platform_);
    // Added once: between removing and adding them a signal would end the process or be lost.
    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
    {
        signals_.add(signal);
    }
    watch_signals();
    core_.log.line("start", {{"router", addresses.name.str()},
                             {"zone", addresses.zone.str()},
                             {"life", incarnation_},
                             {"program", CARAWAY_VERSION}});
    tick();
    return base::success();
}

void daemon::open_listeners()
{
    const auto most = limits_of_connections(core_.options);
    const auto caller_limits = [this]
    {
        http::server_limits result{.keep_alive = keep_alive_at(callers_->used_fraction()),
                                   .closing = is_stopping(),
                                   .memory = core_.memory};
        if (const auto table = core_.table())
        {
            const auto& configured = table->accepted().limits;
            result.header_bytes = configured.header_bytes;
            result.body_bytes = configured.body_bytes;
            result.header_timeout = configured.header_timeout;
            result.idle_timeout = configured.idle_timeout;
        }
        return result;
    };
    const auto internal_limits = [this]
    {
        return http::server_limits{.keeps_body = false, .memory = core_.memory};
    };
    const auto make_listener = [&](auto limits_of, auto handler, std::size_t connections)
    {
        auto opened = std::make_unique<http::listener>(core_.loop, core_.timers, limits_of, handler,
                                                       connections);
        opened->set_receive_buffer(core_.memory->limits().receive_buffer);
        return opened;
    };
    callers_ = make_listener(
        caller_limits, [this](const auto& request) { core_.handle(request); }, most.of_callers);
    callers_->set_admission([this] { return door_.admits_more(); });
    callers_->set_door(door_.hooks());
    readiness_ = make_listener(
        internal_limits, [this](const auto& request) { answer_readiness(request); }, most.internal);
    directory_ = make_listener(
        internal_limits, [this](const auto& request) { answer_directory(request); }, most.internal);
    control_ = make_listener(
        internal_limits, [this](const auto& request) { answer_control(request); }, most.internal);
    metrics_ = make_listener(
        internal_limits, [this](const auto& request) { answer_metrics(request); }, 8);
}

void daemon::watch_signals()
{
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
            watch_signals();
        }));
}

void daemon::tick()
{
    const auto now = core_.now();
    link_.receive_pending();
    check_tick_delay(now);
    resume_listening();
    relieve_memory();
    core_.shares.record_occupancy(core_.engine_usage().occupancy());
    core_.load_tracker.expire_peers(now, peers_.digest_period() * max_lost_digests);
    if (now >= next_report_)
    {
        report_second(now);
        next_report_ = now + report_period;
    }
    drop_expired_upstreams(now);
    update_warmups(now);
    record_versions(now);
    core_.health.expire_rests(now);
    core_.expire_waiting();
    core_.apply_new_causes();
    core_.dispatch_waiting();
    choose_table_source(now);
    link_.send_due_digests();
    request_missing_tables(now);
    sync_routers_table(now);
    if (now >= next_sweep_)
    {
        next_sweep_ = now + sweep_period;
        core_.pool.sweep();
        peers_.remove_expired(now);
        origins_.expire();
        core_.crashes.expire(now);
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

void daemon::check_tick_delay(base::time_point now)
{
    const auto elapsed = to_milliseconds(now - last_tick_);
    const bool is_first = last_tick_ == base::time_point{};
    last_tick_ = now;
    if (is_first)
    {
        return;
    }
    if (elapsed > suspension_threshold)
    {
        core_.log.line("stood_still",
                       {{"for_ms", elapsed.count()},
                        {"upstreams_age_ms", to_milliseconds(core_.upstreams_age()).count()},
                        {"unconfirmed", link_.awaits_confirmation()}});
    }
    max_tick_delay_ = std::max(max_tick_delay_, elapsed - tick_period);
    core_.parts.advance(elapsed);
    door_.advance(elapsed);
    const bool was_busy = core_.overload.overloaded();
    core_.overload.record_tick(elapsed - tick_period, core_.active_streams);
    if (was_busy != core_.overload.overloaded())
    {
        core_.log.line("overload", {{"busy", !was_busy},
                                    {"late_ms", (elapsed - tick_period).count()},
                                    {"streams", core_.active_streams},
                                    {"refusals", callers_->refusals()},
                                    {"binds", core_.overload.binding()}});
    }
}

void daemon::relieve_memory()
{
    if (!core_.memory->take_shortage())
    {
        return;
    }
    for (auto* listener : {&callers_, &readiness_, &directory_, &control_, &metrics_})
    {
        (*listener)->relieve(*core_.memory);
    }
}

void daemon::resume_listening()
{
    for (auto* listener : {&callers_, &readiness_, &directory_, &control_, &metrics_})
    {
        (*listener)->resume();
    }
}

void daemon::reload(std::string_view because)
{
    if (!read_settings_)
    {
        return;
    }
    const auto new_settings = read_settings_();
    if (!new_settings)
    {
        // The file may be in the middle of being written: the current settings stay in force.
        if (last_settings_error_ != new_settings.error().message)
        {
            last_settings_error_ = new_settings.error().message;
            core_.log.line("settings_unreadable", {{"because", last_settings_error_}});
        }
        return;
    }
    last_settings_error_.clear();
    const auto change = apply_settings(core_.options, new_settings.value());
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
    core_.reject_from = now + accept_while_stopping;
    core_.log.line(
        "stop", {{"answering", callers_->active_requests()}, {"streams_known", origins_.size()}});
    link_.send_due_digests();
    origins_.hand_over();
}

void daemon::progress_stop(base::time_point now)
{
    const auto elapsed = now - *stopping_since_;
    if (elapsed > core_.options.entry_lifetime + tick_period)
    {
        callers_->close_idle(first_request_time);
    }
    if (elapsed >= accept_while_stopping)
    {
        callers_->refuse_incomplete();
    }
    if (elapsed >= core_.options.grace - last_answers_margin)
    {
        core_.end_requests();
    }
    const bool is_done =
        elapsed > accept_while_stopping + tick_period && callers_->active_requests() == 0;
    if (!is_done && elapsed < core_.options.grace - shutdown_margin)
    {
        return;
    }
    core_.log.line("end", {{"unfinished", callers_->active_requests()}});
    core_.log.flush();
    ended_ = true;
    core_.loop.stop();
}

bool daemon::ready() const
{
    return !is_stopping() && has_tables();
}

}  // namespace caraway::router
