#pragma once

#include <QJsonObject>
#include <QString>

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace standin
{

class exchange;

/// The switches of a stand-in by their names in `/_control`: shown by GET, set by POST. A change
/// with an unknown name or a value of the wrong type is refused whole.
class control_fields
{
public:
    using field = std::variant<bool*, int*, double*, QString*>;

    /// `value` must outlive this object.
    control_fields& add(const char* name, field value);

    QJsonObject show() const;
    /// What is wrong with the change, or nothing.
    std::optional<QString> check(const QJsonObject& change) const;
    /// Sets what was checked before.
    void apply(const QJsonObject& change);

private:
    struct entry
    {
        QString name;
        field value;
    };
    std::vector<entry> entries_;
};

/// Answers `/_control`: shows the fields or changes them; `changed` is called after a change.
void answer_control(exchange& call, control_fields& fields,
                    const std::function<void()>& changed = {});

}  // namespace standin
