#include "libstandin/json.hpp"
#include "libstandin/program.hpp"

#include "standin_platform/platform.hpp"

#include <CLI/CLI.hpp>
#include <QCoreApplication>
#include <QFile>

namespace
{

constexpr int ten_minutes_ms = 600'000;

/// Reads `{"vms": [...]}`. False when the file is no such list.
bool load_vms(const std::string& path, standin_platform::vm_list& vms)
{
    QFile file(QString::fromStdString(path));
    if (!file.open(QIODevice::ReadOnly))
    {
        return false;
    }
    const auto content = standin::parse_object(file.readAll());
    if (!content || !(*content)[QLatin1String("vms")].isArray())
    {
        return false;
    }
    const QJsonArray list = (*content)[QLatin1String("vms")].toArray();
    if (standin_platform::vm_list::check(list))
    {
        return false;
    }
    vms.preload(list);
    return true;
}

}  // namespace

int main(int argc, char** argv)
{
    standin::listen_options listen;
    std::string vms_file;
    int token_lifetime_ms = ten_minutes_ms;
    CLI::App app("The platform's table service, object store and VM list, in memory, for tests.");
    standin::add_listen_options(app, listen);
    app.add_option("--vms", vms_file, "JSON file with the first list of VMs")
        ->check(CLI::ExistingFile);
    app.add_option("--token-lifetime-ms", token_lifetime_ms,
                   "how long a transaction's token is remembered")
        ->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    const QCoreApplication application(argc, argv);
    standin_platform::platform platform{std::chrono::milliseconds(token_lifetime_ms)};
    if (!vms_file.empty() && !load_vms(vms_file, platform.vms()))
    {
        std::fprintf(stderr, "%s: no list of VMs\n", vms_file.c_str());
        return 1;
    }
    return standin::serve(platform.server(), listen);
}
