#pragma once

#include "libcaraway/http/listener.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace users_platform_tests
{

/// Stand-in of the platform's store, after its published interface: versioned rows, reads,
/// following of changes and conditional writes. Can be unavailable, drop answers and discard its
/// history.
class stand_in_store
{
public:
    stand_in_store(boost::asio::io_context& loop, caraway::http::timer_queue& timers);

    caraway::routing::endpoint address() const;

    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    /// Replaces the content by that of the other store, to model a delayed view of one store.
    void copy_from(const stand_in_store& other);
    bool has_row(const std::string& table, const std::string& key) const;
    /// Whether a call for changes of the table is waiting for them.
    bool holds_call(const std::string& table) const;
    /// The connections of the calls that are being held fall silent: they are never answered. New
    /// connections work.
    void silence_held_calls();
    /// Discards the changes so far; following from before them is answered with 410.
    void discard_history();

    /// Answers all calls with 503.
    bool unavailable = false;
    /// Accepts calls and never answers them.
    bool unresponsive = false;
    /// Answers writes with 503, as a view of another store that must get no revisions of its own.
    bool refuses_writes = false;
    /// Applies writes, then closes the connection without an answer.
    bool drops_answers = false;
    /// Followers get only the last change of each row.
    bool merges_changes = false;
    /// Rows in one answer to a read; the next part is read from the last row's key.
    std::size_t rows_per_answer = 500;
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
        /// Value written by this change; nullopt if the row was removed. A client that follows from
        /// an earlier version gets every change, not only the last of each row.
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
                    const std::string& table, const std::string& from);
    void answer_feed(const std::shared_ptr<caraway::http::exchange>& request,
                     const std::string& table, std::uint64_t after,
                     std::chrono::milliseconds hold_time);
    void answer_transaction(const std::shared_ptr<caraway::http::exchange>& request);
    nlohmann::json changes(const std::string& table, std::uint64_t after) const;
    /// Whether a later change of the same row is in the history.
    bool is_superseded(const change& past_change) const;
    /// The store's steady clock, in milliseconds.
    std::int64_t now_ms() const;
    void record_change(const std::string& table, const std::string& key,
                       std::optional<std::string> value);
    void notify_waiters();

    caraway::http::timer_queue& timers_;
    caraway::http::listener listener_;
    std::map<std::string, std::map<std::string, row>> tables_;
    std::vector<change> history_;
    std::uint64_t version_ = 0;
    std::uint64_t discarded_up_to_ = 0;
    std::vector<waiter> waiters_;
    std::vector<waiter> silenced_;
};

}  // namespace users_platform_tests
