#include "libcaraway/config/document.hpp"

#include "libcaraway/config/configuration_json.hpp"
#include "libcaraway/config/cross_checks.hpp"
#include "libcaraway/config/schema.hpp"
#include "libcaraway/config/strict_json.hpp"

#include <QCryptographicHash>
#include <QJsonDocument>

#include <algorithm>
#include <utility>

namespace caraway::config
{

namespace
{

const int max_depth = merge_limits().depth;

/// Whether the pointers are equal or one is an ancestor of the other.
bool overlaps(const std::string& a, const std::string& b)
{
    const std::string& outer = a.size() < b.size() ? a : b;
    const std::string& inner = a.size() < b.size() ? b : a;
    return inner == outer || inner.starts_with(outer + '/');
}

/// Whether a schema violation already covers this value, so that a cross check error on it would
/// only repeat the problem.
bool overlaps_any(const std::string& pointer, const std::vector<violation>& violations)
{
    return std::any_of(violations.begin(), violations.end(),
                       [&](const violation& one) { return overlaps(one.pointer, pointer); });
}

}  // namespace

sha256_hex sha256(const QByteArray& bytes)
{
    return QCryptographicHash::hash(bytes, QCryptographicHash::Sha256).toHex().toStdString();
}

document::document(QByteArray bytes, QJsonObject json)
    : bytes_(std::move(bytes)), hash_(sha256(bytes_)), json_(std::move(json)),
      content_(configuration_from_json(json_))
{
}

base::result<document> document::from_bytes(const QByteArray& bytes, const sha256_hex& expected)
{
    if (bytes.size() > max_bytes)
    {
        return base::make_error(base::errc::corrupt,
                                "document is larger than " + std::to_string(max_bytes) + " bytes");
    }
    const sha256_hex found = sha256(bytes);
    if (found != expected)
    {
        return base::make_error(base::errc::corrupt, "document's bytes have the hash " + found +
                                                         "; expected " + expected);
    }
    const json_parse_result read = parse_strict_json(bytes, max_depth);
    if (!read.errors.empty())
    {
        const json_error& error = read.errors.front();
        return base::make_error(base::errc::invalid_argument, error.pointer + ": " + error.message);
    }
    const auto violations = check_schema(schema_name::configuration, *read.object);
    if (!violations.empty())
    {
        const violation& first = violations.front();
        return base::make_error(base::errc::invalid_argument, first.pointer + ": " + first.message);
    }
    return document(bytes, *read.object);
}

check_report check_files(std::vector<source_file> files)
{
    return check_merged(merge_files(std::move(files)));
}

check_report check_merged(const merged& files)
{
    check_report report{.checked = std::nullopt, .found = files.found};
    // If a file could not be parsed, members that it would have contributed are not reported as
    // missing.
    const bool is_complete = files.found.empty();
    const auto violations = check_schema(schema_name::configuration, files.content);
    for (const violation& one : violations)
    {
        if (is_complete || one.kind != violation_kind::missing_member)
        {
            report.found.push_back({files.file_of(one.pointer), one.pointer, one.message});
        }
    }
    if (!is_complete)
    {
        return report;
    }
    for (cross_check_error& error : cross_check(configuration_from_json(files.content)))
    {
        if (!overlaps_any(error.pointer, violations))
        {
            report.found.push_back({files.file_of(error.pointer), error.pointer, error.message});
        }
    }
    const QByteArray bytes = QJsonDocument(files.content).toJson(QJsonDocument::Compact);
    if (bytes.size() > document::max_bytes)
    {
        report.found.push_back(
            {"", "", "expected at most " + std::to_string(document::max_bytes) + " bytes in all"});
    }
    if (report.found.empty())
    {
        report.checked = document(bytes, files.content);
    }
    return report;
}

}  // namespace caraway::config
