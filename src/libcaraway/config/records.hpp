#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/base/units.hpp"
#include "libcaraway/config/configuration.hpp"

#include <QByteArray>

#include <string>
#include <tuple>
#include <vector>

namespace caraway::config
{

enum class change_state
{
    open,
    accepted,
    rejected,
};

const char* name(change_state state);

/// An operator's approval of exactly one document on exactly one base; void for any other.
struct approval
{
    base::operator_id approver;
    sha256_hex hash;
    base::config_version base_version{};
    std::string at;  ///< RFC 3339; informational, not used in any decision.

    friend bool operator==(const approval&, const approval&) = default;
};

/// A proposed change: row `change#<id>`. Id, base, hash and proposer are immutable once written.
struct change_record
{
    base::change_id id;
    base::config_version base_version{};
    sha256_hex hash;
    base::operator_id proposer;
    std::string note;
    std::vector<approval> approvals;
    change_state state = change_state::open;

    friend bool operator==(const change_record&, const change_record&) = default;
};

/// The accepted configuration: row `config`/`head`.
struct head_record
{
    base::config_version version{};
    sha256_hex hash;
    base::change_id change;

    friend bool operator==(const head_record&, const head_record&) = default;
};

/// Record of one acceptance, never deleted: row `config`/`log#<version>`.
struct log_record
{
    base::config_version version{};
    sha256_hex hash;
    base::change_id change;
    base::operator_id proposer;
    std::vector<base::operator_id> approvers;
    std::string at;  ///< RFC 3339.

    friend bool operator==(const log_record&, const log_record&) = default;
};

/// Key of a row in the platform's table.
struct row_key
{
    std::string pk;
    std::string sk;

    friend bool operator==(const row_key&, const row_key&) = default;
    friend bool operator<(const row_key& a, const row_key& b)
    {
        return std::tie(a.pk, a.sk) < std::tie(b.pk, b.sk);
    }
};

row_key head_key();
row_key log_key(base::config_version version);
row_key change_key(const base::change_id& id);
/// Name of the object that holds a document: `config/<hash>`.
std::string object_name(const sha256_hex& hash);

QByteArray to_json(const change_record& record);
QByteArray to_json(const head_record& record);
QByteArray to_json(const log_record& record);

/// Parse the bodies of rows. Error: `corrupt` when a body is malformed or a member is invalid.
base::result<change_record> parse_change(const QByteArray& body);
base::result<head_record> parse_head(const QByteArray& body);
base::result<log_record> parse_log(const QByteArray& body);

}  // namespace caraway::config
