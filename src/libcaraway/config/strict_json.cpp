#include "libcaraway/config/strict_json.hpp"

#include "libcaraway/config/json_pointer.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QSet>

namespace caraway::config
{

namespace
{

/// More are of no help to anybody.
constexpr std::size_t most_faults = 100;

QString unquoted(const QByteArray& quoted)
{
    if (!quoted.contains('\\'))
    {
        return QString::fromUtf8(quoted.mid(1, quoted.size() - 2));
    }
    return QJsonDocument::fromJson('[' + quoted + ']').array().at(0).toString();
}

/// Walks over the bytes of a valid JSON text and looks at its structure only. A text is small
/// enough for that (see merge_limits), and one pass suffices.
class structure_scan
{
public:
    structure_scan(const QByteArray& bytes, int max_depth) : bytes_(bytes), max_depth_(max_depth) {}

    void run()
    {
        while (at_ < bytes_.size() && faults_.size() < most_faults)
        {
            step();
        }
    }

    bool too_deep() const
    {
        return too_deep_;
    }
    const std::vector<json_error>& faults() const
    {
        return faults_;
    }

private:
    struct frame
    {
        bool is_object = false;
        bool awaits_name = false;
        std::size_t index = 0;
        QString name;
        QSet<QString> names;
    };

    void step()
    {
        switch (bytes_[at_])
        {
        case '{':
        case '[':
            open(bytes_[at_] == '{');
            break;
        case '}':
        case ']':
            frames_.pop_back();
            break;
        case ',':
            frames_.back().awaits_name = frames_.back().is_object;
            ++frames_.back().index;
            break;
        case '"':
            text();
            return;
        default:
            break;
        }
        ++at_;
    }

    void open(bool is_object)
    {
        if (static_cast<int>(frames_.size()) == max_depth_)
        {
            too_deep_ = true;
            faults_.push_back(
                {pointer(), "nested deeper than " + std::to_string(max_depth_) + " levels"});
        }
        frames_.emplace_back();
        frames_.back().is_object = is_object;
        frames_.back().awaits_name = is_object;
    }

    void text()
    {
        const qsizetype begin = at_++;
        while (bytes_[at_] != '"')
        {
            at_ += bytes_[at_] == '\\' ? 2 : 1;
        }
        ++at_;
        if (frames_.back().awaits_name)
        {
            member(bytes_.mid(begin, at_ - begin));
        }
    }

    void member(const QByteArray& quoted)
    {
        frame& object = frames_.back();
        object.awaits_name = false;
        object.name = unquoted(quoted);
        if (object.names.contains(object.name))
        {
            faults_.push_back({pointer(), "member stands twice in this object"});
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
    qsizetype at_ = 0;
    bool too_deep_ = false;
    std::vector<frame> frames_;
    std::vector<json_error> faults_;
};

std::string place(const QByteArray& bytes, qsizetype offset)
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
        const std::string what = failure.error == QJsonParseError::IllegalUTF8String
                                     ? "invalid UTF-8"
                                     : "invalid JSON: " + failure.errorString().toStdString();
        return {.object = std::nullopt,
                .faults = {{"", what + " at " + place(bytes, failure.offset)}}};
    }
    if (!parsed.isObject())
    {
        return {.object = std::nullopt, .faults = {{"", "expected an object"}}};
    }
    structure_scan scan(bytes, max_depth);
    scan.run();
    json_parse_result read{.object = std::nullopt, .faults = scan.faults()};
    if (!scan.too_deep())
    {
        read.object = parsed.object();
    }
    return read;
}

}  // namespace caraway::config
