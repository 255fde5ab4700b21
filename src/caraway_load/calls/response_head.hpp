#pragma once

#include <QByteArray>

#include <optional>
#include <utility>
#include <vector>

namespace caraway_load::calls
{

/// Head of an answer that keeps to RFC 9112, 2 to 6.
class response_head
{
public:
    /// `lines` is the head up to the empty line. Empty if one of them is malformed, or if they
    /// leave open where the answer ends.
    static std::optional<response_head> parse(const QByteArray& lines);

    int status() const;
    /// Value of the first field with this name, empty if there is none. `name` is lower case.
    QByteArray field(const QByteArray& name) const;
    bool is_chunked() const;
    /// Bytes of the body that follows, if it isn't chunked.
    qint64 body_bytes() const;

private:
    response_head() = default;
    bool read_status(const QByteArray& line);
    bool read_field(const QByteArray& line);
    bool read_framing();
    qsizetype count(const QByteArray& name) const;

    int status_ = 0;
    qint64 body_bytes_ = 0;
    bool is_chunked_ = false;
    /// Names in lower case, and values.
    std::vector<std::pair<QByteArray, QByteArray>> fields_;
};

/// Whether the line is a field (RFC 9112, 5): a name without blanks, a colon, and a value without
/// control characters. Trailers consist of such lines too.
bool is_field_line(const QByteArray& line);

}  // namespace caraway_load::calls
