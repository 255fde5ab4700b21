#include "libcaraway/config/merge.hpp"

#include "libcaraway/config/json_pointer.hpp"
#include "libcaraway/config/strict_json.hpp"

#include <algorithm>
#include <utility>

namespace caraway::config
{

namespace
{

/// Applies files one after the other, and notes where each member came from.
class merger
{
public:
    explicit merger(merged& into) : into_(into) {}

    void apply(const QJsonObject& patch, const std::string& file)
    {
        file_ = file;
        into_.content = patched(into_.content, patch, "");
    }

private:
    QJsonObject patched(QJsonObject object, const QJsonObject& patch, const std::string& pointer)
    {
        for (auto member = patch.begin(); member != patch.end(); ++member)
        {
            const QString name = member.key();
            const QJsonValue value = member.value();
            const std::string here = child_pointer(pointer, name);
            if (value.isNull())
            {
                object.remove(name);
                replace_origin(here);
            }
            else if (value.isObject())
            {
                const bool extends = object.value(name).isObject();
                if (!extends)
                {
                    replace_origin(here);
                }
                object[name] = patched(object.value(name).toObject(), value.toObject(), here);
            }
            else
            {
                object[name] = value;
                replace_origin(here);
            }
        }
        return object;
    }

    void replace_origin(const std::string& pointer)
    {
        // Members of a value that is gone begin with "<pointer>/"; '0' follows '/' in ASCII.
        into_.origins.erase(into_.origins.lower_bound(pointer + '/'),
                            into_.origins.lower_bound(pointer + '0'));
        into_.origins[pointer] = file_;
    }

    merged& into_;
    std::string file_;
};

std::string bytes_text(std::size_t bytes)
{
    return std::to_string(bytes) + " bytes";
}

/// What is wrong with the files as a whole; their contents aren't looked at in that case.
problems bounds_broken(const std::vector<source_file>& files, const merge_limits& limits)
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
    merged whole;
    whole.found = bounds_broken(files, limits);
    if (!whole.found.empty())
    {
        return whole;
    }
    std::stable_sort(files.begin(), files.end(),
                     [](const source_file& a, const source_file& b) { return a.name < b.name; });
    merger into(whole);
    for (const source_file& file : files)
    {
        if (static_cast<std::size_t>(file.bytes.size()) > limits.file_bytes)
        {
            whole.found.push_back(
                {file.name, "", "expected at most " + bytes_text(limits.file_bytes)});
            continue;
        }
        json_parse_result read = parse_strict_json(file.bytes, limits.depth);
        for (json_error& fault : read.faults)
        {
            whole.found.push_back({file.name, std::move(fault.pointer), std::move(fault.message)});
        }
        if (read.object)
        {
            into.apply(*read.object, file.name);
        }
    }
    return whole;
}

}  // namespace caraway::config
