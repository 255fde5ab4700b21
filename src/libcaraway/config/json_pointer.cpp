#include "libcaraway/config/json_pointer.hpp"

#include <QJsonArray>
#include <QJsonObject>
#include <QStringList>

namespace caraway::config
{

std::string child_pointer(const std::string& parent, const QString& member)
{
    QString escaped = member;
    escaped.replace('~', "~0").replace('/', "~1");
    return parent + '/' + escaped.toStdString();
}

std::string child_pointer(const std::string& parent, std::size_t index)
{
    return parent + '/' + std::to_string(index);
}

std::string parent_pointer(const std::string& pointer)
{
    const auto slash = pointer.rfind('/');
    return slash == std::string::npos ? std::string() : pointer.substr(0, slash);
}

std::optional<std::vector<QString>> pointer_steps(const std::string& pointer)
{
    if (pointer.empty())
    {
        return std::vector<QString>();
    }
    if (pointer.front() != '/')
    {
        return std::nullopt;
    }
    std::vector<QString> steps;
    for (QString step : QString::fromStdString(pointer).mid(1).split('/'))
    {
        steps.push_back(step.replace("~1", "/").replace("~0", "~"));
    }
    return steps;
}

QJsonValue value_at(QJsonValue root, const std::string& pointer)
{
    const auto steps = pointer_steps(pointer);
    if (!steps)
    {
        return QJsonValue(QJsonValue::Undefined);
    }
    for (const QString& step : *steps)
    {
        if (root.isArray())
        {
            bool is_index = false;
            const int index = step.toInt(&is_index);
            root = is_index ? root.toArray().at(index) : QJsonValue(QJsonValue::Undefined);
        }
        else
        {
            root = root.toObject().value(step);
        }
    }
    return root;
}

}  // namespace caraway::config
