#pragma once

#include "libcaraway/config/acceptance.hpp"

#include <map>
#include <string>
#include <vector>

namespace caraway::config::test
{

/// In-memory table and object store of the platform, as far as `acceptance` uses them.
class fake_platform
{
public:
    std::map<row_key, row> rows;
    std::map<std::string, QByteArray> objects;

    platform_reply apply(const platform_action& action)
    {
        return std::visit([this](const auto& one) { return apply_one(one); }, action);
    }

    /// All acceptances, from the log rows.
    std::vector<log_record> log() const
    {
        std::vector<log_record> all;
        for (const auto& [key, row] : rows)
        {
            if (key.sk.starts_with("log#"))
            {
                all.push_back(parse_log(row.body).value());
            }
        }
        return all;
    }

    head_record head() const
    {
        const auto row = rows.find(head_key());
        return row == rows.end() ? head_record{} : parse_head(row->second.body).value();
    }

private:
    platform_reply apply_one(const read_row& action)
    {
        const auto row = rows.find(action.key);
        if (row == rows.end())
        {
            return {reply_status::not_found, {}, {}};
        }
        return {reply_status::ok, row->second, {}};
    }

    platform_reply apply_one(const put_row& action)
    {
        return apply_one(transact{{action}, {}});
    }

    platform_reply apply_one(const get_object& action)
    {
        const auto object = objects.find(action.name);
        if (object == objects.end())
        {
            return {reply_status::not_found, {}, {}};
        }
        return {reply_status::ok, {}, object->second};
    }

    platform_reply apply_one(const put_object& action)
    {
        objects[action.name] = action.bytes;
        return {reply_status::ok, {}, {}};
    }

    platform_reply apply_one(const transact& action)
    {
        for (const put_row& put : action.puts)
        {
            const auto row = rows.find(put.key);
            const bool is_met = put.expected_rev
                                    ? row != rows.end() && row->second.rev == *put.expected_rev
                                    : row == rows.end();
            if (!is_met)
            {
                return {reply_status::conflict, {}, {}};
            }
        }
        for (const put_row& put : action.puts)
        {
            rows[put.key] = {put.expected_rev.value_or(0) + 1, put.body};
        }
        return {reply_status::ok, {}, {}};
    }
};

inline bool is_write(const platform_action& action)
{
    return !std::holds_alternative<read_row>(action) && !std::holds_alternative<get_object>(action);
}

inline const platform_action* action_of(const acceptance_step& step)
{
    return std::get_if<platform_action>(&step);
}

}  // namespace caraway::config::test
