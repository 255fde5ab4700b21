// The operators' tool: one command, one answer, one exit status.

#include "carawayctl/command_line.hpp"
#include "libcaraway/logging/logger.hpp"

#include <QCoreApplication>

int main(int argc, char** argv)
{
    // Qt tells on standard error what the tool reports by itself.
    caraway::logging::setup({.threshold = caraway::logging::level::error});
    const QCoreApplication application(argc, argv);
    return static_cast<int>(caraway::ctl::command_line().run(argc, argv));
}
