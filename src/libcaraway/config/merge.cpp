#include "libcaraway/config/merge.hpp"

#include "libcaraway/config/json_pointer.hpp"
#include "libcaraway/config/strict_json.hpp"

#include <algorithm>
#include <utility>

namespace caraway::config
{

namespace
{

/// Applies files one after the other, and records which file each member came from.
class merger
{
public:
    explicit merger(merged& result) : result_(result) {}

    void apply(const QJsonObject& patch, const std::string& file)
    {
        current_file_ = file;
        result_.content = patched(result_.content, patch, "");
    }

private:
    QJsonObject patched(QJsonObject object, const QJsonObject& patch, const std::string& pointer)
    {
        for (auto member = patch.begin(); member != patch.end(); ++member)
        {
            const QString name = member.key();
            const QJsonValue value = member.value();
            const std::string member_pointer = child_pointer(pointer, name);
            if (value.isNull())
            {
                object.remove(name);
                replace_origin(member_pointer);
            }
            else if (value.isObject())
            {
                const bool is_extended = object.value(name).isObject();
                if (!is_extended)
                {
                    replace_origin(member_pointer);
                }
                object[name] =
                    patched(object.value(name).toObject(), value.toObject(), member_pointer);
            }
            else
            {
                object[name] = value;
                replace_origin(member_pointer);
            }
        }
        return object;
    }

    void replace_origin(const std::string& pointer)
    {
        // Pointers to members of the replaced value begin with "<pointer>/"; '0' follows '/' in
        // ASCII, so the range covers exactly these pointers.
        result_.origins.erase(result_.origins.lower_bound(pointer + '/'),
                              result_.origins.lower_bound(pointer + '0'));
        result_.origins[pointer] = current_file_;
    }

    merged& result_;
    std::string current_file_;
};

std::string bytes_text(std::size_t bytes)
{
    return std::to_string(bytes) + " bytes";
}

/// Violated limits on the number and total size of the files; with any of them the files are not
/// parsed.
problems exceeded_limits(const std::vector<source_file>& files, const merge_limits& limits)
{
    problems found;
    std::size_t total = 0;
    for (const source_file& file : files)
    {
        total += static_cast<std::size_t>(file.bytes.size());
    }
    if (files.size() > limits.files)
    {
        found.push_back({"", "", "expected at most " + std::to_string(limits.files) + " files"});
    }
    if (total > limits.total_bytes)
    {
        found.push_back(
            {"", "", "expected at most " + bytes_text(limits.total_bytes) + " in all files"});
    }
    return found;
}

}  // namespace

std::string merged::file_of(std::string pointer) const
{
    while (true)
    {
        const auto origin = origins.find(pointer);
        if (origin != origins.end())
        {
            return origin->second;
        }
        if (pointer.empty())
        {
            return {};
        }
        pointer = parent_pointer(pointer);
    }
}

merged merge_files(std::vector<source_file> files, const merge_limits& limits)
{
    merged result;
    result.found = exceeded_limits(files, limits);
    if (!result.found.empty())
    {
        return result;
    }
    std::stable_sort(files.begin(), files.end(),
                     [](const source_file& a, const source_file& b) { return a.name < b.name; });
    merger file_merger(result);
    for (const source_file& file : files)
    {
        if (static_cast<std::size_t>(file.bytes.size()) > limits.file_bytes)
        {
            result.found.push_back(
                {file.name, "", "expected at most " + bytes_text(limits.file_bytes)});
            continue;
        }
        json_parse_result read = parse_strict_json(file.bytes, limits.depth);
        for (json_error& error : read.errors)
        {
            result.found.push_back({file.name, std::move(error.pointer), std::move(error.message)});
        }
        if (read.object)
        {
            file_merger.apply(*read.object, file.name);
        }
    }
    return result;
}

}  // namespace caraway::config
