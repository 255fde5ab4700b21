#include "libcaraway/config/schema.hpp"

#include "libcaraway/config/expectation.hpp"
#include "libcaraway/config/json_pointer.hpp"

#include <QJsonArray>
#include <QJsonDocument>

#include <valijson/adapters/qtjson_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string_view>
#include <utility>

namespace caraway::config
{

namespace
{

/// A schema in two forms: as JSON, for messages, and compiled by valijson.
class compiled_schema
{
public:
    explicit compiled_schema(schema_name name)
        : json_(QJsonDocument::fromJson(schema_text(name)).object())
    {
        const QJsonValue root(json_);
        valijson::SchemaParser parser;
        parser.populateSchema(valijson::adapters::QtJsonAdapter(root), compiled_);
    }

    const QJsonObject& json() const
    {
        return json_;
    }
    const valijson::Schema& compiled() const
    {
        return compiled_;
    }

private:
    QJsonObject json_;
    valijson::Schema compiled_;
};

const compiled_schema& schema_of(schema_name name)
{
    static const compiled_schema configuration(schema_name::configuration);
    static const compiled_schema settings(schema_name::settings);
    return name == schema_name::configuration ? configuration : settings;
}

/// Converts a location as valijson reports it ("<root>", "[member]", "[0]", ...) to a JSON pointer.
std::string pointer_of(const std::vector<std::string>& context)
{
    std::string pointer;
    for (const std::string& step : context)
    {
        if (step != "<root>")
        {
            const std::string name = step.substr(1, step.size() - 2);
            pointer = child_pointer(pointer, QString::fromStdString(name));
        }
    }
    return pointer;
}

/// valijson repeats each error once per enclosing level, in messages that begin with this text.
bool is_nested_repetition(std::string_view text)
{
    return text.starts_with("Failed to validate");
}

/// Collects violations by pointer, so that a value that violates two rules is reported once.
class violation_collector
{
public:
    violation_collector(const QJsonObject& schema, const QJsonObject& value)
        : schema_(schema), value_(value)
    {
    }

    void add(const valijson::ValidationResults::Error& error)
    {
        if (is_nested_repetition(error.description))
        {
            return;
        }
        const std::string pointer = pointer_of(error.context);
        const QJsonValue found = value_at(value_, pointer);
        const QJsonObject subschema = subschema_at(schema_, pointer);
        const std::string_view text = error.description;
        if (text.starts_with("Missing required property"))
        {
            add_missing(pointer, found.toObject(), subschema);
        }
        else if (text.starts_with("Object contains a property"))
        {
            add_unknown(pointer, found.toObject(), subschema);
        }
        else
        {
            add({violation_kind::wrong_value, pointer,
                 "expected " + expectation(schema_, subschema) + "; found " +
                     description(subschema, found)});
        }
    }

    std::vector<violation> violations() const
    {
        std::vector<violation> all;
        for (const auto& [pointer, one] : violations_)
        {
            all.push_back(one);
        }
        return all;
    }

private:
    void add(violation one)
    {
        const std::string pointer = one.pointer;
        violations_.emplace(pointer, std::move(one));
    }

    void add_missing(const std::string& pointer, const QJsonObject& object,
                     const QJsonObject& subschema)
    {
        for (const QJsonValue name : subschema.value("required").toArray())
        {
            if (!object.contains(name.toString()))
            {
                const std::string member_pointer = child_pointer(pointer, name.toString());
                add({violation_kind::missing_member, member_pointer,
                     "missing; expected " +
                         expectation(schema_, subschema_at(schema_, member_pointer))});
            }
        }
    }

    void add_unknown(const std::string& pointer, const QJsonObject& object,
                     const QJsonObject& subschema)
    {
        for (const QString& name : object.keys())
        {
            if (!allows_member(subschema, name))
            {
                add({violation_kind::unknown_member, child_pointer(pointer, name),
                     "unknown member; expected " + listed_members(subschema)});
            }
        }
    }

    const QJsonObject& schema_;
    const QJsonObject& value_;
    std::map<std::string, violation> violations_;
};

}  // namespace

std::vector<violation> check_schema(schema_name name, const QJsonObject& value)
{
    const compiled_schema& schema = schema_of(name);
    const QJsonValue root(value);
    valijson::Validator validator;
    valijson::ValidationResults results;
    violation_collector found(schema.json(), value);
    if (!validator.validate(schema.compiled(), valijson::adapters::QtJsonAdapter(root), &results))
    {
        std::for_each(results.begin(), results.end(),
                      [&found](const auto& error) { found.add(error); });
    }
    return found.violations();
}

}  // namespace caraway::config
