#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/config/acceptance.hpp"

#include <QByteArray>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace caraway::net
{
class platform_client;
}

namespace carawayd::configuration
{

/// What an operator's command came to.
struct command_outcome
{
    caraway::config::acceptance_result result;
    /// Bytes of the change's document, if the command had them in its hands: with these the
    /// accepting router needs nothing more from the platform to put the version in force.
    std::optional<QByteArray> document;
};

/// Runs one command: carries out the actions that the acceptance asks for, one at a time, and
/// gives it the replies. It keeps itself alive until it has called back.
class command_run : public std::enable_shared_from_this<command_run>
{
public:
    using finished_handler = std::function<void(caraway::base::result<command_outcome>)>;

    command_run(caraway::config::command asked, caraway::config::acceptance_options options,
                caraway::net::platform_client& platform, finished_handler done);

    void start();

private:
    void follow(caraway::config::acceptance_step step);
    void perform(const caraway::config::read_row& action);
    void perform(const caraway::config::put_row& action);
    void perform(const caraway::config::get_object& action);
    void perform(const caraway::config::put_object& action);
    void perform(const caraway::config::transact& action);
    void conclude(caraway::config::acceptance_result result);
    /// Feeds the reply, or ends the command when the platform's data make no sense.
    template <class T>
    void reply(const caraway::base::result<T>& answer, const caraway::config::platform_reply& ok);

    caraway::config::acceptance acceptance_;
    caraway::net::platform_client& platform_;
    finished_handler done_;
    /// The object read or written last; the change's document is always the last of all.
    std::string object_name_;
    QByteArray object_;
};

}  // namespace carawayd::configuration
