#pragma once

#include <QtGlobal>

#include <map>
#include <string>

namespace caraway_load::run
{

/// What a process has used so far, from /proc.
struct process_usage
{
    double cpu_s = 0;
    /// Of its first thread, which in a router is the control thread.
    double main_thread_cpu_s = 0;
    /// By thread name; threads of one name are added up.
    std::map<std::string, double> thread_cpu_s;
    double resident_kb = 0;
    double peak_resident_kb = 0;
};

/// All 0 if there is no such process.
process_usage usage_of(qint64 pid);

/// What this program itself has used.
double own_cpu_s();

/// The machine's load average over the last minute.
double load_average();

}  // namespace caraway_load::run
