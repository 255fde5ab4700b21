#pragma once

#include "libcaraway/net/platform_types.hpp"

#include <QByteArray>
#include <QJsonObject>

#include <optional>
#include <string>
#include <vector>

/// The platform's published formats as pure functions: requests to bytes, answers to values.
namespace caraway::net::platform_codec
{

/// One page of a query; `next` is the key to go on from.
struct query_page
{
    std::vector<platform_row> rows;
    std::optional<QJsonObject> next;
};

QByteArray encode_get(const std::string& pk, const std::string& sk);
/// An empty prefix stands for every row of the partition.
QByteArray encode_query(const std::string& pk, const std::string& sk_prefix,
                        const std::optional<QJsonObject>& start);
QByteArray encode_put(const platform_row& row, const write_condition& condition);
QByteArray encode_remove(const platform_row& row, const write_condition& condition);
QByteArray encode_transact(const std::vector<platform_write>& writes, const std::string& token);

/// The revision that a put under this condition leaves behind.
row_revision written_revision(const platform_row& row, const write_condition& condition);

/// not_found when the answer holds no row, corrupt when it isn't one of ours.
base::result<platform_row> decode_get(const QByteArray& answer);
base::result<query_page> decode_query(const QByteArray& answer);
base::result<vm_list> decode_vms(const QByteArray& answer);

/// What a status other than success says. Of a write it is known that it had no effect, unless
/// the error is unknown_effect.
base::error decode_error(int status, const QByteArray& answer, bool write);

}  // namespace caraway::net::platform_codec
