#include "caraway_load/report/table.hpp"

#include <QString>

namespace caraway_load::report
{

namespace
{

constexpr int name_width = 26;
constexpr double ms_per_second = 1000;
constexpr double percent = 100;

QString row(const char* name, const QString& text)
{
    return QString::fromLatin1(name).leftJustified(name_width) + text + '\n';
}

QString fixed(double value, int digits)
{
    return QString::number(value, 'f', digits);
}

QString milliseconds(const measures::distribution& one)
{
    return QString("%1 / %2 / %3 ms (of %4)")
        .arg(fixed(one.median * ms_per_second, 1), fixed(one.p95 * ms_per_second, 1),
             fixed(one.p99 * ms_per_second, 1))
        .arg(one.count);
}

QString control_row(const control_summary& one)
{
    return QString("%1 B/s out, %2 messages/s, control thread %3 %, process %4 %, %5 MB (mean of "
                   "%6 nodes)")
        .arg(fixed(one.mean.bytes_out, 0), fixed(one.mean.messages_out, 1),
             fixed(one.mean.main_thread_cpu, 2), fixed(one.mean.process_cpu, 1),
             fixed(one.mean.resident_mb, 1))
        .arg(one.nodes);
}

QString seconds_or_never(const std::optional<double>& value)
{
    return value ? fixed(*value, 2) + " s" : QString("not back");
}

QString workspace_rows(const figures& all)
{
    QString text = QString("%1 %2 %3 %4 %5 %6 %7\n")
                       .arg("workspace", -name_width)
                       .arg("share", 6)
                       .arg("sent", 6)
                       .arg("backlogged", 11)
                       .arg("tokens/share", 13)
                       .arg("wait p50/p99 s", 16)
                       .arg("longest s", 10);
    for (const auto& one : all.workspaces)
    {
        text += QString("%1 %2 %3 %4 %5 %6 %7\n")
                    .arg(QString::fromStdString(one.id), -name_width)
                    .arg(one.share, 6)
                    .arg(one.requests, 6)
                    .arg(fixed(one.backlogged * percent, 0) + " %", 11)
                    .arg(one.weighted_service, 13, 'f', 0)
                    .arg(fixed(one.wait_s.median, 2) + " / " + fixed(one.wait_s.p99, 2), 16)
                    .arg(std::max(one.longest_wait_s, one.longest_unserved_wait_s), 10, 'f', 2);
    }
    return text;
}

QString recovery_rows(const figures& all)
{
    QString text;
    for (const auto& one : all.recoveries)
    {
        text +=
            row("after " + QByteArray::fromStdString(one.fault),
                QString("utilisation %1 %, lowest %2 %, back after %3; gap %4, largest %5, back "
                        "after %6")
                    .arg(fixed(one.utilisation_before * percent, 1),
                         fixed(one.utilisation_lowest * percent, 1),
                         seconds_or_never(one.utilisation_back_s), fixed(one.gap_before, 0),
                         fixed(one.gap_during, 0), seconds_or_never(one.gap_back_s)));
    }
    return text;
}

QString request_rows(const figures& all)
{
    QString refused;
    for (const auto& [code, times] : all.refused_by_code)
    {
        refused += QString(" %1: %2").arg(QString::fromStdString(code)).arg(times);
    }
    return row("requests", QString("%1 sent, %2 answered, %3 given up, %4 unfinished, %5 retries, "
                                   "%6 broken connections")
                               .arg(all.requests)
                               .arg(all.answered)
                               .arg(all.given_up)
                               .arg(all.unfinished)
                               .arg(all.retries)
                               .arg(all.broken_connections)) +
           row("refused", refused.isEmpty() ? QString("none") : refused.trimmed()) +
           row("broken promises", QString("%1 (mixed up %2, cut %3, doubled %4, run twice %5)")
                                      .arg(all.broken.sum())
                                      .arg(all.broken.mixed_up)
                                      .arg(all.broken.cut_looked_complete)
                                      .arg(all.broken.doubled_tokens)
                                      .arg(all.broken.plain_run_twice));
}

}  // namespace

std::string to_table(const run::load_run_options& options, const run::run_log& log,
                     const figures& all)
{
    const auto& load = options.load;
    QString text = row("scenario", QString("%1, policy %2, %3 routers, seed %4, load average %5")
                                       .arg(QString::fromStdString(load.name),
                                            QString::fromStdString(options.policy))
                                       .arg(load.routers)
                                       .arg(load.seed)
                                       .arg(log.load_average_to));
    text += row("fairness gap", QString("%1 tokens by share, %2 mean requests (%3 over %4)")
                                    .arg(fixed(all.gap.tokens, 0), fixed(all.gap_in_requests, 1),
                                         QString::fromStdString(load.workspaces[all.gap.more].id),
                                         QString::fromStdString(load.workspaces[all.gap.less].id)));
    text += row("utilisation, work waits",
                QString("%1 % by engines, %2 % by callers (work waited %3 s of %4 s)")
                    .arg(fixed(all.used_by_engines.ratio() * percent, 2),
                         fixed(all.used_by_callers.ratio() * percent, 2),
                         fixed(all.work_waits_s, 1), fixed(all.window.length(), 1)));
    text += row("tokens a second",
                QString("%1 of %2").arg(fixed(all.tokens_per_second, 0), fixed(all.capacity, 0)));
    text += row("first token", milliseconds(all.first_token_s));
    text += row("between tokens", milliseconds(all.between_tokens_s));
    text += row("wait for a slot", milliseconds(all.wait_s));
    text += row("plain answer", milliseconds(all.plain_answer_s));
    text += request_rows(all);
    text += row("control, idle", control_row(all.idle));
    text += row("control, loaded", control_row(all.loaded));
    text += row("load generator", fixed(all.generator_cpu, 0) + " % of a core");
    for (const QString& problem : log.problems)
    {
        text += row("problem", problem);
    }
    return (text + recovery_rows(all) + workspace_rows(all)).toStdString();
}

}  // namespace caraway_load::report
