#include "libcaraway/config/records.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <array>
#include <limits>
#include <optional>

namespace caraway::config
{

namespace
{

constexpr std::array states{change_state::open, change_state::accepted, change_state::rejected};
constexpr int version_digits = 20;
constexpr std::size_t hash_digits = 64;

QJsonValue json(const std::string& text)
{
    return QString::fromStdString(text);
}

QJsonValue json(base::config_version version)
{
    return static_cast<qint64>(version);
}

QByteArray compact(const QJsonObject& object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

/// Reads members of one row and records whether any of them was missing or invalid.
class row_reader
{
public:
    explicit row_reader(const QByteArray& body) : object_(QJsonDocument::fromJson(body).object()) {}
    explicit row_reader(const QJsonObject& object) : object_(object) {}

    std::string text(const char* member)
    {
        const QJsonValue value = object_.value(member);
        is_valid_ = is_valid_ && value.isString();
        return value.toString().toStdString();
    }

    /// An identifier; must not be empty.
    std::string id(const char* member)
    {
        std::string read = text(member);
        is_valid_ = is_valid_ && !read.empty();
        return read;
    }

    sha256_hex hash(const char* member)
    {
        std::string read = text(member);
        is_valid_ = is_valid_ && read.size() == hash_digits;
        return read;
    }

    base::config_version version(const char* member)
    {
        const qint64 read = object_.value(member).toInteger(-1);
        is_valid_ = is_valid_ && read >= 0;
        return base::config_version(std::max<qint64>(read, 0));
    }

    QJsonArray array(const char* member)
    {
        const QJsonValue value = object_.value(member);
        is_valid_ = is_valid_ && value.isArray();
        return value.toArray();
    }

    change_state state(const char* member)
    {
        const std::string read = text(member);
        const auto known = std::find_if(states.begin(), states.end(),
                                        [&](change_state one) { return name(one) == read; });
        is_valid_ = is_valid_ && known != states.end();
        return known == states.end() ? change_state::open : *known;
    }

    void require(bool condition)
    {
        is_valid_ = is_valid_ && condition;
    }
    bool is_valid() const
    {
        return is_valid_;
    }

private:
    QJsonObject object_;
    bool is_valid_ = true;
};

base::error corrupt_row(const char* row_name)
{
    return base::make_error(base::errc::corrupt,
                            std::string("row of ") + row_name + " can't be read");
}

QJsonObject approval_json(const approval& given)
{
    return {{"approver", json(given.approver.str())},
            {"hash", json(given.hash)},
            {"base", json(given.base_version)},
            {"at", json(given.at)}};
}

}  // namespace

const char* name(change_state state)
{
    switch (state)
    {
    case change_state::open:
        return "open";
    case change_state::accepted:
        return "accepted";
    case change_state::rejected:
        return "rejected";
    }
    return "open";
}

row_key head_key()
{
    return {.pk = "config", .sk = "head"};
}

row_key log_key(base::config_version version)
{
    const QString digits = QString::number(static_cast<quint64>(version));
    return {.pk = "config",
            .sk = "log#" + digits.rightJustified(version_digits, '0').toStdString()};
}

row_key change_key(const base::change_id& id)
{
    return {.pk = "change#" + id.str(), .sk = "change"};
}

std::string object_name(const sha256_hex& hash)
{
    return "config/" + hash;
}

QByteArray to_json(const change_record& record)
{
    QJsonArray approvals;
    for (const approval& given : record.approvals)
    {
        approvals.append(approval_json(given));
    }
    return compact({{"id", json(record.id.str())},
                    {"base", json(record.base_version)},
                    {"hash", json(record.hash)},
                    {"proposer", json(record.proposer.str())},
                    {"note", json(record.note)},
                    {"approvals", approvals},
                    {"state", name(record.state)}});
}

QByteArray to_json(const head_record& record)
{
    return compact({{"version", json(record.version)},
                    {"hash", json(record.hash)},
                    {"change", json(record.change.str())}});
}

QByteArray to_json(const log_record& record)
{
    QJsonArray approvers;
    for (const base::operator_id& approver : record.approvers)
    {
        approvers.append(json(approver.str()));
    }
    return compact({{"version", json(record.version)},
                    {"hash", json(record.hash)},
                    {"change", json(record.change.str())},
                    {"proposer", json(record.proposer.str())},
                    {"approvers", approvers},
                    {"at", json(record.at)}});
}

base::result<change_record> parse_change(const QByteArray& body)
{
    row_reader row(body);
    change_record record{.id = base::change_id(row.id("id")),
                         .base_version = row.version("base"),
                         .hash = row.hash("hash"),
                         .proposer = base::operator_id(row.id("proposer")),
                         .note = row.text("note"),
                         .approvals = {},
                         .state = row.state("state")};
    for (const QJsonValue value : row.array("approvals"))
    {
        row_reader given(value.toObject());
        record.approvals.push_back({.approver = base::operator_id(given.id("approver")),
                                    .hash = given.hash("hash"),
                                    .base_version = given.version("base"),
                                    .at = given.text("at")});
        row.require(given.is_valid());
    }
    if (!row.is_valid())
    {
        return corrupt_row("a change");
    }
    return record;
}

base::result<head_record> parse_head(const QByteArray& body)
{
    row_reader row(body);
    head_record record{.version = row.version("version"),
                       .hash = row.hash("hash"),
                       .change = base::change_id(row.id("change"))};
    row.require(record.version > base::config_version{});
    if (!row.is_valid())
    {
        return corrupt_row("the accepted version");
    }
    return record;
}

base::result<log_record> parse_log(const QByteArray& body)
{
    row_reader row(body);
    log_record record{.version = row.version("version"),
                      .hash = row.hash("hash"),
                      .change = base::change_id(row.id("change")),
                      .proposer = base::operator_id(row.id("proposer")),
                      .approvers = {},
                      .at = row.text("at")};
    for (const QJsonValue approver : row.array("approvers"))
    {
        row.require(approver.isString());
        record.approvers.emplace_back(approver.toString().toStdString());
    }
    if (!row.is_valid())
    {
        return corrupt_row("the log");
    }
    return record;
}

}  // namespace caraway::config
