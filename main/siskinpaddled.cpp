#include "main/entry.hpp"

#include <csignal>
#include <iostream>
#include <tclap/CmdLine.h>

using namespace siskinpaddle;

namespace {

int run(const entry_settings& settings) {
    start_event_log(settings.id, settings.log_level);
    event_loop loop;
    entry process(loop, settings);
    if (const findings problems = process.listen(); !problems.empty()) {
        std::cerr << problems.to_string();
        return exit_failure;
    }
    const auto drain = [&] { process.drain([&loop] { loop.stop(); }); };
    loop.on_signal(SIGTERM, drain);
    loop.on_signal(SIGINT, drain);
    process.start();
    loop.run();
    return exit_success;
}

} // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command_line(
            "Entry process of siskinpaddle: serves callers and operators, and runs the "
            "planner while it holds the control lease. Exit codes: 0 success, 1 failure, 2 invalid settings.",
            ' ', SISKINPADDLE_VERSION);
        TCLAP::ValueArg<std::string> config("c", "config", "Settings file (JSON).", true, "", "FILE",
                                            command_line);
        TCLAP::SwitchArg check("", "check", "Check the settings, print all findings and exit.", command_line);
        command_line.parse(argc, argv);
        const auto settings = load_settings(config.getValue(), parse_entry_settings, std::cerr);
        if (!settings) {
            return exit_invalid_settings;
        }
        if (check.getValue()) {
            std::cout << config.getValue() << ": good\n";
            return exit_success;
        }
        return run(*settings);
    } catch (const std::exception& error) {
        std::cerr << "siskinpaddled: " << error.what() << "\n";
        return exit_failure;
    }
}
