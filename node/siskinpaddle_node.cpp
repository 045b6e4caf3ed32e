#include "node/node.hpp"

#include <csignal>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

using namespace siskinpaddle;

namespace {

/// Validates the changed settings and logs the findings; a running process doesn't apply any changed setting.
void recheck_settings(const std::string& path) {
    std::ostringstream problems;
    if (load_settings(path, node::parse_node_settings, problems)) {
        log_event(event_id::settings_reloaded, {{"file", path}});
    } else {
        log_event(event_id::settings_refused, {{"file", path}, {"problems", problems.str()}});
    }
}

int run(const node::node_settings& settings, const std::string& path, event_level level) {
    start_event_log(settings.id, level);
    event_loop loop;
    node::node process(loop, settings);
    if (const findings problems = process.listen(); !problems.empty()) {
        std::cerr << problems.to_string();
        return exit_failure;
    }
    const auto stop = [&] { process.stop([&loop] { loop.stop(); }); };
    loop.on_signal(SIGTERM, stop);
    loop.on_signal(SIGINT, stop);
    loop.on_signal(SIGHUP, [&] { recheck_settings(path); });
    process.start();
    loop.run();
    return exit_success;
}

} // namespace

int main(int argc, char** argv) {
    // Ignored until its handler is installed: a settings change during the start must not end the process.
    std::signal(SIGHUP, SIG_IGN);
    try {
        TCLAP::CmdLine line(
            "siskinpaddle node process: accepts clients' jobs, and manages pools and the fleet while it "
            "holds their duties. Exit codes: 0 success, 1 failure, 2 invalid settings.",
            ' ', SISKINPADDLE_VERSION);
        TCLAP::ValueArg<std::string> file("s", "settings", "Settings file (JSON).", true, "", "FILE", line);
        TCLAP::ValueArg<std::string> level("l", "log-level", "debug, info, warning or error.", false, "info",
                                           "LEVEL", line);
        TCLAP::SwitchArg check("", "check", "Check the settings, print all findings and exit.", line);
        line.parse(argc, argv);
        const auto min_level = value_named<event_level>(level.getValue());
        if (!min_level) {
            std::cerr << "--log-level: '" << level.getValue() << "' is not a log level\n";
            return exit_invalid_settings;
        }
        const auto settings = load_settings(file.getValue(), node::parse_node_settings, std::cerr);
        if (!settings) {
            return exit_invalid_settings;
        }
        if (check.getValue()) {
            std::cout << file.getValue() << ": good\n";
            return exit_success;
        }
        return run(*settings, file.getValue(), *min_level);
    } catch (const std::exception& error) {
        std::cerr << "siskinpaddle-node: " << error.what() << "\n";
        return exit_failure;
    }
}
