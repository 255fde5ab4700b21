#pragma once

#include "libcaraway/config/problem.hpp"

#include <QByteArray>
#include <QJsonObject>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace caraway::config
{

/// One file of a configuration folder, as read; files are merged in the order of their names.
struct source_file
{
    std::string name;
    QByteArray bytes;
};

/// Limits on the input. Files beyond the limits on number or size are refused unparsed.
struct merge_limits
{
    std::size_t files = 2000;
    std::size_t file_bytes = std::size_t{1} << 20;
    std::size_t total_bytes = std::size_t{8} << 20;
    /// Nesting of objects and arrays.
    int depth = 16;
};

/// The merged content, and the file from which each member came.
struct merged
{
    QJsonObject content;
    /// Problems of the files: syntax, encoding, duplicate keys, number, size and depth.
    problems found;
    /// Maps a member's JSON pointer to the name of the file that it came from.
    std::map<std::string, std::string> origins;

    /// The file that a pointer's value came from; for a value that is in no file, the file of its
    /// nearest ancestor. Empty when there is none.
    std::string file_of(std::string pointer) const;
};

/// Merges files in the order of their names: objects are merged member by member, null removes a
/// member, and any other value replaces that of earlier files. Files that can't be parsed are left
/// out and reported.
merged merge_files(std::vector<source_file> files, const merge_limits& limits = {});

}  // namespace caraway::config
