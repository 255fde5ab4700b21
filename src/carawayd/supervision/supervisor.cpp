#include "carawayd/supervision/supervisor.hpp"

#include "libcaraway/logging/logger.hpp"

#include <QJsonObject>
#include <QString>
#include <QTimer>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace carawayd::supervision
{

using caraway::base::error;

namespace
{

/// A part that has run this long is taken as healthy again; its next back-off starts from the
/// first.
constexpr std::chrono::seconds healthy_after{30};

const caraway::logging::logger& log()
{
    static const caraway::logging::logger instance("supervisor");
    return instance;
}

}  // namespace

supervisor::supervisor(supervisor_options options, const caraway::base::clock& clock,
                       QObject* parent)
    : QObject(parent), options_(std::move(options)), clock_(clock)
{
}

supervisor::~supervisor() = default;

void supervisor::add(child_options options)
{
    auto part = std::make_unique<child>();
    part->options = std::move(options);
    children_.push_back(std::move(part));
}

void supervisor::add(std::unique_ptr<supervisor> below)
{
    auto part = std::make_unique<child>();
    supervisor* raw = below.get();
    part->options.name = raw->name();
    part->options.start = [raw]() -> caraway::base::result<void>
    {
        raw->start();
        return caraway::base::success();
    };
    part->options.stop = [raw]
    {
        raw->stop();
    };
    part->below = std::move(below);
    children_.push_back(std::move(part));
}

void supervisor::start()
{
    stopping_ = false;
    for (const auto& part : children_)
    {
        start_child(*part);
    }
}

void supervisor::stop()
{
    stopping_ = true;
    for (auto part = children_.rbegin(); part != children_.rend(); ++part)
    {
        if ((*part)->now == state::running)
        {
            (*part)->options.stop();
        }
        (*part)->now = state::stopped;
    }
}

void supervisor::child_failed(const std::string& name, const error& why)
{
    child* part = find(name);
    if (part == nullptr)
    {
        std::abort();
    }
    if (part->now != state::running)
    {
        return;
    }
    part->options.stop();
    back_off(*part, why);
}

const std::string& supervisor::name() const
{
    return options_.name;
}

QJsonArray supervisor::snapshot() const
{
    QJsonArray list;
    for (const auto& part : children_)
    {
        QJsonObject entry{{"name", QString::fromStdString(part->options.name)},
                          {"state", text(part->now)},
                          {"restarts", static_cast<qint64>(part->restarts)}};
        if (!part->last_error.empty())
        {
            entry["last_error"] = QString::fromStdString(part->last_error);
        }
        if (part->below)
        {
            entry["children"] = part->below->snapshot();
        }
        list.append(entry);
    }
    return list;
}

void supervisor::start_child(child& part)
{
    const auto started = part.options.start();
    if (!started)
    {
        back_off(part, started.error());
        return;
    }
    part.now = state::running;
    part.started = clock_.now();
}

void supervisor::back_off(child& part, const error& why)
{
    const bool was_healthy =
        part.now == state::running && clock_.now() - part.started > healthy_after;
    part.backoff = was_healthy || part.backoff.count() == 0
                       ? options_.first_backoff
                       : std::min(part.backoff * 2, options_.largest_backoff);
    part.now = state::backing_off;
    part.last_error = why.message;
    ++part.restarts;
    log().error(
        "A part failed and is started again.",
        {{"part", part.options.name}, {"error", why.message}, {"in_ms", part.backoff.count()}});
    QTimer::singleShot(part.backoff, this, [this, name = part.options.name] { restart(name); });
}

void supervisor::restart(const std::string& name)
{
    child* part = find(name);
    if (stopping_ || part == nullptr || part->now != state::backing_off)
    {
        return;
    }
    start_child(*part);
}

supervisor::child* supervisor::find(const std::string& name)
{
    const auto found = std::find_if(children_.begin(), children_.end(),
                                    [&](const auto& part) { return part->options.name == name; });
    return found == children_.end() ? nullptr : found->get();
}

const char* supervisor::text(state value)
{
    switch (value)
    {
    case state::stopped:
        return "stopped";
    case state::running:
        return "running";
    case state::backing_off:
        return "backing_off";
    }
    return "stopped";
}

}  // namespace carawayd::supervision
