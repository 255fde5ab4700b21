#pragma once

#include "libcaraway/base/error.hpp"

#include <QJsonArray>
#include <QJsonObject>
#include <QString>

#include <cstdint>
#include <string>

namespace caraway_load::workload
{

/// Reads the members of one JSON object into variables. What is absent keeps its value; a wrong
/// type or an unknown member is remembered as the error.
class json_fields
{
public:
    json_fields(const QJsonObject& object, QString place);

    json_fields& number(const char* name, double* target);
    json_fields& count(const char* name, std::uint32_t* target);
    json_fields& text(const char* name, std::string* target);
    /// A member that the caller reads itself.
    QJsonValue take(const char* name);

    /// Nothing left over and nothing wrong.
    caraway::base::result<void> check() const;

private:
    QJsonObject rest_;
    QString place_;
    QString problem_;
};

}  // namespace caraway_load::workload
