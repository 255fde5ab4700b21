#pragma once

#include "libcaraway/http/listener.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace users_platform_tests
{

/// A small stand-in of the platform's store: rows with versions, reading, following, conditions.
/// Written after its published calls; it can be switched off, lose answers and forget its history.
class stand_in_store
{
public:
    stand_in_store(boost::asio::io_context& loop, caraway::http::timer_queue& timers);

    caraway::routing::endpoint address() const;

    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    /// Holds from now on what the other one holds: two views of one store, one of which a router
    /// gets late.
    void become_copy_of(const stand_in_store& other);
    bool has(const std::string& table, const std::string& key) const;
    /// Changes so far can't be followed any more.
    void forget_history();

    /// Answers 503 to all.
    bool away = false;
    /// Takes calls and never answers.
    bool silent = false;
    /// Does what is written and closes the connection without an answer.
    bool loses_answers = false;
    std::map<std::string, int> calls;

private:
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
    };
    struct change
    {
        std::uint64_t version = 0;
        std::string table;
        std::string key;
        /// As it was written then; nothing: removed. Who follows from before gets each change,
        /// not only the last.
        std::optional<std::string> value;
    };
    struct waiter
    {
        std::shared_ptr<caraway::http::exchange> request;
        std::string table;
        std::uint64_t after = 0;
    };

    void answer(const std::shared_ptr<caraway::http::exchange>& request);
    void answer_get(const std::shared_ptr<caraway::http::exchange>& request,
                    const std::string& table);
    void answer_feed(const std::shared_ptr<caraway::http::exchange>& request,
                     const std::string& table, std::uint64_t after, std::chrono::milliseconds hold);
    void answer_transaction(const std::shared_ptr<caraway::http::exchange>& request);
    nlohmann::json changes(const std::string& table, std::uint64_t after) const;
    void note_change(const std::string& table, const std::string& key,
                     std::optional<std::string> value);
    void wake();

    caraway::http::timer_queue& timers_;
    caraway::http::listener listener_;
    std::map<std::string, std::map<std::string, row>> tables_;
    std::vector<change> history_;
    std::uint64_t version_ = 0;
    std::uint64_t forgotten_ = 0;
    std::vector<waiter> waiters_;
};

}  // namespace users_platform_tests
