#include "deployment.hpp"

#include <algorithm>
#include <array>
#include <iostream>

using namespace siskinpaddle;
using namespace siskinpaddle::review;

namespace {

constexpr int machines = 8;
constexpr int tasks = 5;
constexpr int may_miss = 1;
const std::string job = "9a41c7f20be5d863";
/// Lasting tasks, each on a VM of its own; one of them may be away.
const std::string body =
    R"({"spec":"runs until it is stopped","phases":[{"count":5,"cpu":1000,"mem_mb":256,"estimate_ms":1000,)"
    R"("long_running":true,"max_per_server":1,"may_miss":1}]})";
/// How long after the start of the task its VM crashes: unrelated times.
constexpr std::array<milliseconds, 5> crash_after{1000ms, 2400ms, 600ms, 3300ms, 1700ms};
constexpr milliseconds restart_limit{15'000};
/// A task that has not been at work for this long counts as away.
constexpr milliseconds notice_time{4500};

std::string task_name(int index) {
    return job + ".0.0." + std::to_string(index);
}

/// Whether the task is away at `time`: the system has stopped it, or it has not been at work for
/// `notice_time`. Of tasks that are stopped at the same time the first counts as away for the second.
bool is_away(const std::vector<observed_run>& runs, const std::string& task, const observed_run& stopped) {
    milliseconds last_end{0};
    bool was_stopped = false;
    for (const observed_run& item : runs) {
        if (item.task != task || item.started > stopped.ended) {
            continue;
        }
        const bool ended_before =
            item.ended < stopped.ended || (item.ended == stopped.ended && item.task < stopped.task);
        if (item.is_running || !ended_before) {
            return false;
        }
        if (item.ended >= last_end) {
            last_end = item.ended;
            was_stopped = item.outcome == "stopped";
        }
    }
    return was_stopped || stopped.ended - last_end >= notice_time;
}

/// Ends of tasks by the system's stops while as many others of the step were away as may miss, before any
/// cancelling.
int count_budget_breaches(deployment& system) {
    const std::vector<observed_run> runs = system.runs();
    int breaches = 0;
    for (const observed_run& stopped : runs) {
        if (stopped.outcome != "stopped") {
            continue;
        }
        int others_away = 0;
        for (int index = 0; index < tasks; ++index) {
            const std::string other = task_name(index);
            others_away += other != stopped.task && is_away(runs, other, stopped) ? 1 : 0;
        }
        if (others_away >= may_miss) {
            ++breaches;
            system.note("AVAIL: " + stopped.task + " was stopped at " +
                        std::to_string(stopped.ended.count()) + " while " + std::to_string(others_away) +
                        " others were away");
        }
    }
    return breaches;
}

int run_case(const case_options& options) {
    deployment system(options);
    system.add_machines("desk", machines, 1s);
    system.publish(4, {make_queue("sweeps", "desk")}, {"desk"});
    if (!system.start(2)) {
        return exit_not_run;
    }
    const auto all_at_work = [&] {
        for (int index = 0; index < tasks; ++index) {
            if (system.running(task_name(index)).empty()) {
                return false;
            }
        }
        return true;
    };
    if (!system.wait_until([&] { return system.call(0, "POST", job_path("sweeps", job), body) == 200; },
                           8s) ||
        !system.wait_until(all_at_work, 5s)) {
        return exit_not_run;
    }
    for (const milliseconds after : crash_after) {
        if (!system.wait_until([&] { return !system.running(task_name(0)).empty(); }, restart_limit)) {
            break;
        }
        const observed_run run = system.running(task_name(0)).front();
        system.wait_until([&] { return system.now() >= run.started + after; }, after + 1s);
        if (options.trouble) {
            const std::string name = run.vm.substr(0, run.vm.rfind('-'));
            system.note("crash of " + run.vm);
            system.machine(name).crash();
        }
    }
    system.wait(restart_limit);
    system.call(0, "GET", job_path("sweeps", job));
    const bool is_failed = system.last_body().find("failed") != std::string::npos;
    const bool is_at_work = all_at_work();
    const int breaches = count_budget_breaches(system);
    system.note_runs();
    system.note(std::string("the job is ") + (is_failed ? "shown as failed" : "not shown as failed") +
                (is_at_work ? "; all its tasks are at work" : "; not all its tasks are at work"));
    return breaches > 0 ? exit_broken : exit_held;
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
