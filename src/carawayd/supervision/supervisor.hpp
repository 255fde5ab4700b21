#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/error.hpp"

#include <QJsonArray>
#include <QObject>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace carawayd::supervision
{

/// One part of the daemon, as its supervisor starts and stops it.
struct child_options
{
    std::string name;
    /// Brings the part up; an error makes the supervisor try again after a back-off.
    std::function<caraway::base::result<void>()> start;
    std::function<void()> stop;
};

struct supervisor_options
{
    std::string name;
    std::chrono::milliseconds first_backoff{100};
    std::chrono::milliseconds largest_backoff{5000};
};

/// Starts its parts in order, stops them in reverse, and restarts one that fails, later each time
/// that it fails again. Without it a part that can't get its port, say, would either end the whole
/// process with the requests in flight, or stay down unnoticed; here it shows in the dump and in
/// the log.
class supervisor : public QObject
{
public:
    supervisor(supervisor_options options, const caraway::base::clock& clock,
               QObject* parent = nullptr);
    ~supervisor() override;

    void add(child_options child);
    /// A supervisor below this one; it is started and stopped in its place among the parts.
    void add(std::unique_ptr<supervisor> child);

    void start();
    void stop();

    /// A part reports that it can't go on. An unknown name is a broken invariant.
    void child_failed(const std::string& name, const caraway::base::error& why);

    const std::string& name() const;
    /// The tree from here on, for the dump.
    QJsonArray snapshot() const;

private:
    enum class state
    {
        stopped,
        running,
        backing_off,
    };

    struct child
    {
        child_options options;
        std::unique_ptr<supervisor> below;
        state now = state::stopped;
        std::uint32_t restarts = 0;
        std::chrono::milliseconds backoff{0};
        caraway::base::time_point started;
        std::string last_error;
    };

    void start_child(child& part);
    void back_off(child& part, const caraway::base::error& why);
    void restart(const std::string& name);
    child* find(const std::string& name);
    static const char* text(state value);

    supervisor_options options_;
    const caraway::base::clock& clock_;
    std::vector<std::unique_ptr<child>> children_;
    bool stopping_ = false;
};

}  // namespace carawayd::supervision
