#include "libstandin/program.hpp"

#include "standin_engine/engine.hpp"

#include <CLI/CLI.hpp>
#include <QCoreApplication>

int main(int argc, char** argv)
{
    standin_engine::engine_options options;
    CLI::App app("A model engine without a model, for tests: OpenAI-compatible, with faults.");
    standin::add_listen_options(app, options.listen);
    app.add_option("--id", options.id, "name in /_stats")->capture_default_str();
    app.add_option("--model", options.model, "model served")->capture_default_str();
    app.add_option("--slots", options.slots, "requests run side by side")
        ->capture_default_str()
        ->check(CLI::PositiveNumber);
    app.add_option("--prefill-ms-per-1k-tokens", options.prefill_ms_per_1k_tokens,
                   "time before the first token, by the prompt's length")
        ->capture_default_str();
    app.add_option("--token-ms", options.token_ms, "time between tokens")->capture_default_str();
    app.add_option("--report-lag-ms", options.report_lag_ms, "age of /load and /metrics")
        ->capture_default_str();
    app.add_option("--prefix-cache", options.prefix_cache_size, "prompt prefixes remembered")
        ->capture_default_str();
    app.add_flag("--checks-fencing", options.checks_fencing,
                 "refuse orders with an old fencing number");
    CLI11_PARSE(app, argc, argv);

    const QCoreApplication application(argc, argv);
    standin_engine::engine engine(options);
    return standin::serve(engine.server(), options.listen);
}
