#pragma once

#include "libcaraway/attempts/once_coordinator.hpp"

#include <optional>
#include <variant>

namespace caraway::attempts
{

/// In-memory table with a single row and the conditional writes of the table service.
class fake_table
{
public:
    /// Returns whether the condition was met and the write took effect.
    bool write(const once_step& step)
    {
        ++writes_;
        if (const auto* const insert = std::get_if<insert_row>(&step))
        {
            return !row_ && put(1, insert->body);
        }
        const auto& replace = std::get<replace_row>(step);
        return row_ && row_->rev == replace.expected_rev &&
               put(replace.expected_rev + 1, replace.body);
    }

    read_reply read()
    {
        ++reads_;
        return row_ ? read_reply{read_status::found, *row_} : read_reply{read_status::absent, {}};
    }

    int writes() const
    {
        return writes_;
    }
    int reads() const
    {
        return reads_;
    }

    once_record record() const
    {
        return parse_once_record(row_.value().body).value();
    }

private:
    bool put(std::uint64_t rev, const std::string& body)
    {
        row_ = stored_row{.rev = rev, .body = body};
        return true;
    }

    std::optional<stored_row> row_;
    int writes_ = 0;
    int reads_ = 0;
};

inline bool is_write(const once_step& step)
{
    return std::holds_alternative<insert_row>(step) || std::holds_alternative<replace_row>(step);
}

/// Carries out store actions without faults until a step is no store action, and returns that step.
inline once_step run(once_coordinator& call, fake_table& table, once_step step)
{
    while (true)
    {
        if (is_write(step))
        {
            step = call.on_write(table.write(step) ? write_reply::ok : write_reply::conflict);
        }
        else if (std::holds_alternative<read_row>(step))
        {
            step = call.on_read(table.read());
        }
        else
        {
            return step;
        }
    }
}

}  // namespace caraway::attempts
