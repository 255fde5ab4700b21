#include "libcaraway/config/strict_json.hpp"

#include "libcaraway/config/json_pointer.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QSet>

namespace caraway::config
{

namespace
{

/// Limit on reported errors; longer lists don't help the reader.
constexpr std::size_t max_errors = 100;

QString unquoted(const QByteArray& quoted)
{
    if (!quoted.contains('\\'))
    {
        return QString::fromUtf8(quoted.mid(1, quoted.size() - 2));
    }
    return QJsonDocument::fromJson('[' + quoted + ']').array().at(0).toString();
}

/// Scans the bytes of a syntactically valid JSON text in one pass and checks its structure only:
/// duplicate members and nesting depth. Texts are small enough for that (see merge_limits).
class structure_scanner
{
public:
    structure_scanner(const QByteArray& bytes, int max_depth) : bytes_(bytes), max_depth_(max_depth)
    {
    }

    void run()
    {
        while (position_ < bytes_.size() && errors_.size() < max_errors)
        {
            step();
        }
    }

    bool is_too_deep() const
    {
        return is_too_deep_;
    }
    const std::vector<json_error>& errors() const
    {
        return errors_;
    }

private:
    struct frame
    {
        bool is_object = false;
        bool expects_name = false;
        std::size_t index = 0;
        QString name;
        QSet<QString> names;
    };

    void step()
    {
        switch (bytes_[position_])
        {
        case '{':
        case '[':
            open(bytes_[position_] == '{');
            break;
        case '}':
        case ']':
            frames_.pop_back();
            break;
        case ',':
            frames_.back().expects_name = frames_.back().is_object;
            ++frames_.back().index;
            break;
        case '"':
            text();
            return;
        default:
            break;
        }
        ++position_;
    }

    void open(bool is_object)
    {
        if (static_cast<int>(frames_.size()) == max_depth_)
        {
            is_too_deep_ = true;
            errors_.push_back(
                {pointer(), "nested deeper than " + std::to_string(max_depth_) + " levels"});
        }
        frames_.emplace_back();
        frames_.back().is_object = is_object;
        frames_.back().expects_name = is_object;
    }

    void text()
    {
        const qsizetype begin = position_++;
        while (bytes_[position_] != '"')
        {
            position_ += bytes_[position_] == '\\' ? 2 : 1;
        }
        ++position_;
        if (frames_.back().expects_name)
        {
            member(bytes_.mid(begin, position_ - begin));
        }
    }

    void member(const QByteArray& quoted)
    {
        frame& object = frames_.back();
        object.expects_name = false;
        object.name = unquoted(quoted);
        if (object.names.contains(object.name))
        {
            errors_.push_back({pointer(), "member stands twice in this object"});
        }
        object.names.insert(object.name);
    }

    std::string pointer() const
    {
        std::string text;
        for (const frame& level : frames_)
        {
            text = level.is_object ? child_pointer(text, level.name)
                                   : child_pointer(text, level.index);
        }
        return text;
    }

    const QByteArray& bytes_;
    int max_depth_;
    qsizetype position_ = 0;
    bool is_too_deep_ = false;
    std::vector<frame> frames_;
    std::vector<json_error> errors_;
};

std::string line_and_column(const QByteArray& bytes, qsizetype offset)
{
    const QByteArray before = bytes.left(offset);
    const qsizetype line = before.count('\n') + 1;
    const qsizetype column = before.size() - before.lastIndexOf('\n');
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

}  // namespace

json_parse_result parse_strict_json(const QByteArray& bytes, int max_depth)
{
    QJsonParseError failure;
    const QJsonDocument parsed = QJsonDocument::fromJson(bytes, &failure);
    if (failure.error != QJsonParseError::NoError)
    {
        const std::string message = failure.error == QJsonParseError::IllegalUTF8String
                                        ? "invalid UTF-8"
                                        : "invalid JSON: " + failure.errorString().toStdString();
        return {.object = std::nullopt,
                .errors = {{"", message + " at " + line_and_column(bytes, failure.offset)}}};
    }
    if (!parsed.isObject())
    {
        return {.object = std::nullopt, .errors = {{"", "expected an object"}}};
    }
    structure_scanner scanner(bytes, max_depth);
    scanner.run();
    json_parse_result read{.object = std::nullopt, .errors = scanner.errors()};
    if (!scanner.is_too_deep())
    {
        read.object = parsed.object();
    }
    return read;
}

}  // namespace caraway::config
