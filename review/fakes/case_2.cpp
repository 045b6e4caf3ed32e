#include "deployment.hpp"

#include <csignal>
#include <iostream>

using namespace siskinpaddle;
using namespace siskinpaddle::review;

namespace {

const std::string job = "c3d90e57a1b8f246";
const std::string task = job + ".0.0.0";
const std::string body = R"({"spec":"runs until it is stopped","phases":[{"count":1,"cpu":1000,"mem_mb":256,)"
                         R"("estimate_ms":1000,"long_running":true}]})";
constexpr int nodes = 2;
/// A task that lasts has to be at work again this long after its last run, if the last seven seconds are
/// calm.
constexpr milliseconds restart_bound{9000};
constexpr milliseconds restart_delay{1000};

/// All processes are killed right after the configuration is acknowledged, and start again.
void kill_all(deployment& system) {
    for (int node = 0; node < nodes; ++node) {
        system.signal_node(node, SIGKILL);
    }
    system.wait(restart_delay);
    for (int node = 0; node < nodes; ++node) {
        system.restart_node(node);
    }
}

int run_case(const case_options& options) {
    deployment system(options);
    system.add_machines("desk", 2, 1s);
    system.add_machines("agency", 2, 1s);
    const std::vector<std::string> pools{"desk", "agency"};
    system.publish(4, {make_queue("sweeps", "desk"), make_queue("quotes", "agency")}, pools);
    if (!system.start(nodes)) {
        return exit_not_run;
    }
    if (!system.wait_until([&] { return system.call(0, "POST", job_path("sweeps", job), body) == 200; },
                           8s) ||
        !system.wait_until([&] { return !system.running(task).empty(); }, 5s)) {
        return exit_not_run;
    }
    system.wait(2s);
    if (options.trouble && options.part != "kill") {
        system.publish(7, {make_queue("quotes", "agency")}, pools);
        system.wait(100ms);
    }
    if (options.trouble && options.part != "config") {
        kill_all(system);
    }
    // Nothing happens from here on. A pool's new owner waits for a silent VM for less than eleven seconds.
    system.wait(20s);
    const bool came_back = system.wait_until([&] { return !system.running(task).empty(); }, 20s);
    milliseconds last_end{0};
    for (const observed_run& item : system.runs()) {
        last_end = std::max(last_end, item.ended);
    }
    const milliseconds away = came_back ? milliseconds(0) : system.now() - last_end;
    system.note("LOST: the job's task has not been at work for " + std::to_string(away.count()) + " ms");
    if (options.trouble) {
        system.publish(9, {make_queue("sweeps", "desk"), make_queue("quotes", "agency")}, pools);
        system.wait_until([&] { return !system.running(task).empty(); }, 15s);
        system.call(0, "GET", job_path("sweeps", job));
    }
    system.note_runs();
    return away > restart_bound ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv) {
    case_options options;
    if (!read_options(argc, argv, options)) {
        return exit_not_run;
    }
    try {
        return run_case(options);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return exit_not_run;
    }
}
