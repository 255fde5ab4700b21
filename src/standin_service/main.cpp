#include "libstandin/program.hpp"

#include "standin_service/plain_service.hpp"

#include <CLI/CLI.hpp>
#include <QCoreApplication>

int main(int argc, char** argv)
{
    standin_service::service_options options;
    CLI::App app("A plain service that counts its calls, for tests, with faults.");
    standin::add_listen_options(app, options.listen);
    app.add_option("--id", options.id, "name in answers")->capture_default_str();
    app.add_option("--slots", options.slots, "calls run side by side")
        ->capture_default_str()
        ->check(CLI::PositiveNumber);
    app.add_option("--work-ms", options.work_ms, "time that a call takes")->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    const QCoreApplication application(argc, argv);
    standin_service::plain_service service(options);
    return standin::serve(service.server(), options.listen);
}
