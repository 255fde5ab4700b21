#pragma once

#include <QCoreApplication>

/// The one application object that Qt wants, as a global fixture of a test program.
struct qt_application
{
    int argc = 1;
    char name[5] = "test";
    char* argv[2] = {name, nullptr};
    QCoreApplication qt{argc, argv};
};
