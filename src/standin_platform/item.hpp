#pragma once

#include <QJsonObject>
#include <QString>

#include <compare>

namespace standin_platform
{

/// Key of an item: partition and place in it.
struct item_key
{
    QString pk;
    QString sk;

    friend bool operator==(const item_key&, const item_key&) = default;
    friend std::strong_ordering operator<=>(const item_key& a, const item_key& b)
    {
        const int partitions = a.pk.compare(b.pk);
        return partitions != 0 ? partitions <=> 0 : a.sk.compare(b.sk) <=> 0;
    }
};

/// An item as its attributes in the wire format, `{"pk": {"S": "..."}, ...}`.
using item = QJsonObject;

}  // namespace standin_platform
