#pragma once

#include "carawayctl/exit_code.hpp"
#include "libcaraway/base/error.hpp"

#include <QJsonObject>
#include <QJsonValue>

#include <string>
#include <vector>

namespace caraway::ctl
{

/// Prints an object on standard output, indented.
void print_json(const QJsonObject& object);

/// {code, message}, as errors appear in answers in JSON.
QJsonObject error_object(const base::error& error);

/// Tells an error: as `{"error": {code, message}}` on standard output where JSON is wanted, else as
/// a sentence on standard error. Gives the exit code that goes with it.
exit_code report(const base::error& error, bool json);

/// Text of a router on one line, safe for a terminal; numbers and lists too, "-" for nothing.
std::string shown(const QJsonValue& value);

/// A table with aligned columns, printed on standard output.
class text_table
{
public:
    explicit text_table(std::vector<std::string> header);

    void add(std::vector<std::string> row);
    void print() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

}  // namespace caraway::ctl
