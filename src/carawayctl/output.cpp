#include "carawayctl/output.hpp"

#include "libcaraway/logging/escape.hpp"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <iostream>
#include <utility>

namespace caraway::ctl
{

namespace
{

constexpr std::size_t column_gap = 2;

/// Columns that a terminal gives a text: characters, not bytes.
std::size_t width(const std::string& text)
{
    return static_cast<std::size_t>(QString::fromStdString(text).size());
}

}  // namespace

void print_json(const QJsonObject& object)
{
    std::cout << QJsonDocument(object).toJson(QJsonDocument::Indented).toStdString() << std::flush;
}

QJsonObject error_object(const base::error& error)
{
    return {{"code", base::name(error.code)}, {"message", QString::fromStdString(error.message)}};
}

exit_code report(const base::error& error, bool json)
{
    if (json)
    {
        print_json({{"error", error_object(error)}});
    }
    else
    {
        std::cerr << "carawayctl: " << logging::printable(QString::fromStdString(error.message))
                  << " (" << base::name(error.code) << ")\n";
    }
    return exit_code_of(error.code);
}

std::string shown(const QJsonValue& value)
{
    switch (value.type())
    {
    case QJsonValue::String:
        return value.toString().isEmpty() ? "-" : logging::printable(value.toString());
    case QJsonValue::Null:
    case QJsonValue::Undefined:
        return "-";
    case QJsonValue::Array:
    {
        std::string out;
        for (const QJsonValue element : value.toArray())
        {
            out += (out.empty() ? "" : ",") + shown(element);
        }
        return out.empty() ? "-" : out;
    }
    default:
    {
        // As JSON, without the brackets of the array that carries it.
        const QByteArray text = QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact);
        return text.mid(1, text.size() - 2).toStdString();
    }
    }
}

text_table::text_table(std::vector<std::string> header) : rows_{std::move(header)} {}

void text_table::add(std::vector<std::string> row)
{
    rows_.push_back(std::move(row));
}

void text_table::print() const
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows_)
    {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            widths[i] = std::max(widths[i], width(row[i]));
        }
    }
    for (const auto& row : rows_)
    {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            const bool last = i + 1 == row.size();
            line += row[i];
            line += last ? "" : std::string(widths[i] - width(row[i]) + column_gap, ' ');
        }
        std::cout << line << '\n';
    }
    std::cout << std::flush;
}

}  // namespace caraway::ctl
