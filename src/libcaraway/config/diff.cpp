#include "libcaraway/config/diff.hpp"

#include "libcaraway/config/json_pointer.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QStringList>

#include <utility>

namespace caraway::config
{

namespace
{

constexpr int shown_hash_digits = 8;
constexpr int hash_length = 64;

/// A value for display to operators, with key hashes truncated to a prefix.
QJsonValue shortened(const QJsonValue& value, const QString& member)
{
    if (value.isObject())
    {
        QJsonObject shown;
        const QJsonObject object = value.toObject();
        for (auto inner = object.begin(); inner != object.end(); ++inner)
        {
            shown[inner.key()] = shortened(inner.value(), inner.key());
        }
        return shown;
    }
    if (value.isArray() && member == "key_hashes")
    {
        QJsonArray shown;
        for (const QJsonValue hash : value.toArray())
        {
            const QString text = hash.toString();
            shown.append(text.size() == hash_length ? text.left(shown_hash_digits) + "..." : text);
        }
        return shown;
    }
    return value;
}

std::string compact(const QJsonValue& value, const QString& member)
{
    if (value.isUndefined())
    {
        return {};
    }
    // QJsonDocument serializes only objects and arrays, so the value is wrapped in an array and the
    // brackets are removed.
    const QByteArray text =
        QJsonDocument(QJsonArray{shortened(value, member)}).toJson(QJsonDocument::Compact);
    return text.mid(1, text.size() - 2).toStdString();
}

change_kind kind_of(const QJsonValue& before, const QJsonValue& after)
{
    if (before.isUndefined())
    {
        return change_kind::added;
    }
    return after.isUndefined() ? change_kind::removed : change_kind::changed;
}

/// Sorted names of the members of either object.
QStringList member_names(const QJsonObject& before, const QJsonObject& after)
{
    QStringList names = before.keys() + after.keys();
    names.sort();
    names.removeDuplicates();
    return names;
}

/// Compares two configurations part by part.
class differ
{
public:
    std::vector<difference> run(const QJsonObject& before, const QJsonObject& after)
    {
        for (const QString& part : member_names(before, after))
        {
            part_ = part.toStdString();
            const std::string pointer = child_pointer("", part);
            if (part == "review")
            {
                compare(before.value(part), after.value(part), pointer, part, "");
                continue;
            }
            compare_part(before.value(part).toObject(), after.value(part).toObject(), pointer);
        }
        return std::move(differences_);
    }

private:
    void compare_part(const QJsonObject& before, const QJsonObject& after,
                      const std::string& pointer)
    {
        for (const QString& id : member_names(before, after))
        {
            const std::string member_pointer = child_pointer(pointer, id);
            const QJsonValue old_value = before.value(id);
            const QJsonValue new_value = after.value(id);
            if (old_value.isUndefined() || new_value.isUndefined())
            {
                compare(old_value, new_value, member_pointer, id, id.toStdString());
                continue;
            }
            compare_members(old_value.toObject(), new_value.toObject(), member_pointer,
                            id.toStdString());
        }
    }

    void compare_members(const QJsonObject& before, const QJsonObject& after,
                         const std::string& pointer, const std::string& id)
    {
        for (const QString& member : member_names(before, after))
        {
            compare(before.value(member), after.value(member), child_pointer(pointer, member),
                    member, id);
        }
    }

    void compare(const QJsonValue& before, const QJsonValue& after, std::string pointer,
                 const QString& member, std::string id)
    {
        if (before == after)
        {
            return;
        }
        differences_.push_back({.part = part_,
                                .id = std::move(id),
                                .kind = kind_of(before, after),
                                .pointer = std::move(pointer),
                                .before = compact(before, member),
                                .after = compact(after, member)});
    }

    std::string part_;
    std::vector<difference> differences_;
};

}  // namespace

const char* name(change_kind kind)
{
    switch (kind)
    {
    case change_kind::added:
        return "added";
    case change_kind::removed:
        return "removed";
    case change_kind::changed:
        return "changed";
    }
    return "changed";
}

std::vector<difference> diff(const QJsonObject& before, const QJsonObject& after)
{
    return differ().run(before, after);
}

std::set<std::string> touched_parts(const QJsonObject& before, const QJsonObject& after)
{
    std::set<std::string> parts;
    for (const QString& part : member_names(before, after))
    {
        if (before.value(part) != after.value(part))
        {
            parts.insert(part.toStdString());
        }
    }
    return parts;
}

}  // namespace caraway::config
