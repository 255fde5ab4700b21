#pragma once

#include "standin_platform/table.hpp"

#include <boost/outcome.hpp>

#include <QByteArray>
#include <QJsonObject>

#include <string>
#include <vector>

namespace standin_platform
{

/// An error of the table service by its published name.
struct table_error
{
    std::string type;
    std::string message;
};

template <class T>
using table_result =
    boost::outcome_v2::basic_result<T, table_error, boost::outcome_v2::policy::terminate>;

/// Operations of the low-level JSON interface that are served.
enum class operation
{
    get_item,
    put_item,
    delete_item,
    query,
    transact_write_items,
};

/// The published name, as in the request's target.
const char* name(operation what);

/// A part of a partition, in order.
struct item_range
{
    QString pk;
    QString prefix;
    bool forward = true;
    int limit = 0;  ///< 0: no limit.
    std::optional<item_key> after;
};

/// What is asked of the table, read from a request.
struct table_request
{
    operation what = operation::get_item;
    item_key key;               ///< Of GetItem.
    item_range range;           ///< Of Query.
    std::vector<write> writes;  ///< Of the others.
    QString token;              ///< ClientRequestToken of a transaction; may be empty.
    QJsonObject body;

    bool is_write() const;
};

table_result<table_request> parse_table_request(const QByteArray& target, const QByteArray& body);

/// A key in the wire format.
QJsonObject key_attributes(const item_key& key);
item_key key_of(const item& attributes);

}  // namespace standin_platform
