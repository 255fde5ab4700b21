#pragma once

#include <string>
#include <vector>

namespace caraway::config
{

/// A problem in a file written by an operator: its location and what was expected there.
struct problem
{
    /// The file's name within the folder; empty when the problem isn't in a single file.
    std::string file;
    /// JSON pointer into the file, such as "/workspaces/rotas/share"; empty for the whole file.
    std::string pointer;
    std::string message;

    friend bool operator==(const problem&, const problem&) = default;
};

using problems = std::vector<problem>;

/// One line per problem, "file: pointer: message", as shown to operators.
std::string to_text(const problems& found);

}  // namespace caraway::config
