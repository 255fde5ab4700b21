#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/config/configuration.hpp"
#include "libcaraway/config/merge.hpp"
#include "libcaraway/config/problem.hpp"

#include <QByteArray>
#include <QJsonObject>

#include <memory>
#include <optional>
#include <vector>

namespace caraway::config
{

/// SHA-256 in lower-case hex, as used to name documents and to store keys.
sha256_hex sha256(const QByteArray& bytes);

/// A complete configuration that has passed the schema: its canonical bytes (members sorted, no
/// whitespace), the hash that names it, and its typed content. Immutable.
class document
{
public:
    /// Size limit of a document that is read or written.
    static constexpr qsizetype max_bytes = 4 << 20;

    /// Parses bytes from the object store or from a peer. Errors: `corrupt` when they are larger
    /// than `max_bytes` or don't match the hash, `invalid_argument` when they match but violate the
    /// schema.
    static base::result<document> from_bytes(const QByteArray& bytes, const sha256_hex& expected);

    const QByteArray& bytes() const
    {
        return bytes_;
    }
    const sha256_hex& hash() const
    {
        return hash_;
    }
    const QJsonObject& json() const
    {
        return json_;
    }
    const configuration& content() const
    {
        return content_;
    }

private:
    friend struct check_report check_merged(const merged& files);

    document(QByteArray bytes, QJsonObject json);

    QByteArray bytes_;
    sha256_hex hash_;
    QJsonObject json_;
    configuration content_;
};

/// Result of checking a folder; `checked` is set exactly when there is no problem.
struct check_report
{
    std::optional<document> checked;
    problems found;
};

/// Merges a folder's files and applies the schema and the cross checks. Reports all problems, not
/// only the first.
check_report check_files(std::vector<source_file> files);
check_report check_merged(const merged& files);

}  // namespace caraway::config
