#pragma once

// Includes Easylogging++ with the options of this project. Every use must include this file instead
// of the library's header, since the macros change the layout of the library's types. By default
// the library writes a log file to the working directory, installs crash signal handlers and reads
// the command line. These are disabled: the VMs have no disks, and the program itself handles
// crashes and arguments.
#define ELPP_THREAD_SAFE
#define ELPP_NO_DEFAULT_LOG_FILE
#define ELPP_NO_LOG_TO_FILE
#define ELPP_DISABLE_LOG_FILE_FROM_ARG
#define ELPP_DISABLE_DEFAULT_CRASH_HANDLING

#include <easylogging++.h>
