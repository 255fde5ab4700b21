#include "libcaraway/config/problem.hpp"

namespace caraway::config
{

std::string to_text(const problems& found)
{
    std::string text;
    for (const problem& one : found)
    {
        if (!text.empty())
        {
            text += '\n';
        }
        for (const std::string& place : {one.file, one.pointer})
        {
            text += place.empty() ? "" : place + ": ";
        }
        text += one.message;
    }
    return text;
}

}  // namespace caraway::config
