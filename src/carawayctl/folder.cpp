#include "carawayctl/folder.hpp"

#include <QDir>
#include <QFile>

#include <utility>
#include <vector>

namespace caraway::ctl
{

namespace
{

base::error unreadable(const QString& path, const QString& why)
{
    return base::make_error(base::errc::invalid_argument,
                            path.toStdString() + " can't be read: " + why.toStdString());
}

base::result<config::source_file> read_file(const QDir& folder, const QString& name)
{
    QFile file(folder.filePath(name));
    if (!file.open(QIODevice::ReadOnly))
    {
        return unreadable(file.fileName(), file.errorString());
    }
    // One byte more than allowed is enough for the check to refuse the file.
    const auto limit = static_cast<qint64>(config::merge_limits{}.file_bytes) + 1;
    return config::source_file{.name = name.toStdString(), .bytes = file.read(limit)};
}

}  // namespace

base::result<config::check_report> check_folder(const std::string& path)
{
    const QDir folder(QString::fromStdString(path));
    if (!folder.exists())
    {
        return unreadable(folder.path(), QStringLiteral("no such folder"));
    }
    const QStringList names = folder.entryList({QStringLiteral("*.json")}, QDir::Files, QDir::Name);
    if (names.isEmpty())
    {
        return unreadable(folder.path(), QStringLiteral("it holds no *.json files"));
    }
    std::vector<config::source_file> files;
    for (const QString& name : names)
    {
        BOOST_OUTCOME_TRY(file, read_file(folder, name));
        files.push_back(std::move(file));
    }
    return config::check_files(std::move(files));
}

}  // namespace caraway::ctl
