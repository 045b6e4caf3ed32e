#include "deployment.hpp"

#include <iostream>

using namespace siskinpaddle;
using namespace siskinpaddle::review;

namespace {

/// A job that ends, and one that lasts until it is cancelled.
const std::string booking = "5c0e7a21d94b36f8";
const std::string settlement = "71f3be08c25a9d64";
const std::string booking_body =
    R"({"spec":"book one seat","phases":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":1000}]})";
const std::string settlement_body = R"({"spec":"runs until it is stopped","phases":[{"count":1,"cpu":1000,)"
                                    R"("mem_mb":256,"estimate_ms":1000,"long_running":true}]})";
constexpr milliseconds run_time{1000};
constexpr milliseconds accept_limit{8000};

std::string first_task(const std::string& job) {
    return job + ".0.0.0";
}

bool submit(deployment& system, const std::string& job, const std::string& body) {
    return system.wait_until([&] { return system.call(0, "POST", job_path("seats", job), body) == 200; },
                             accept_limit);
}

/// Starts of a task while another run of it was at work, or after one had ended as done.
int count_second_runs(deployment& system) {
    const std::vector<observed_run> runs = system.runs();
    int found = 0;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t later = i + 1; later < runs.size(); ++later) {
            const bool is_second = runs[i].task == runs[later].task &&
                                   (runs[later].started < runs[i].ended || runs[i].outcome == "done");
            if (is_second) {
                ++found;
                system.note("TWICE: " + runs[later].task + " started on " + runs[later].vm + " at " +
                            std::to_string(runs[later].started.count()) + "; its run on " + runs[i].vm +
                            (runs[i].outcome == "done" ? " had ended as done" : " was at work"));
            }
        }
    }
    return found;
}

/// Asks both nodes for both jobs; returns how many answers say that there is no such job.
int count_denials(deployment& system) {
    int denials = 0;
    for (const std::string& job : {booking, settlement}) {
        for (int node = 0; node < 2; ++node) {
            if (system.call(node, "GET", job_path("seats", job)) == 410) {
                ++denials;
                system.note("LOST: 410 for an accepted job");
            }
        }
    }
    return denials;
}

int run_case(const case_options& options) {
    deployment system(options);
    system.add_machines("desk", 2, run_time);
    system.add_machines("agency", 2, run_time);
    const std::vector<std::string> pools{"desk", "agency"};
    system.publish(4, {make_queue("seats", "desk"), make_queue("quotes", "agency")}, pools);
    if (!system.start(2) || !submit(system, booking, booking_body) ||
        !submit(system, settlement, settlement_body) ||
        !system.wait_until([&] { return !system.running(first_task(settlement)).empty(); }, 5s)) {
        return exit_not_run;
    }
    system.wait(3s);
    if (system.call(0, "GET", job_path("seats", booking)) != 200) {
        return exit_not_run;
    }
    if (options.trouble && options.part == "steps") {
        system.publish(6, {make_queue("quotes", "agency")}, pools);
        system.wait(config_apply_time);
    }
    if (options.trouble) {
        system.publish(7, {make_queue("seats", "agency"), make_queue("quotes", "agency")}, pools);
    }
    system.wait(std::max(visible_time, config_apply_time) + contact_time);
    const int denials = count_denials(system);
    // The requests arrive once more, seconds after they were accepted.
    system.call(1, "POST", job_path("seats", booking), booking_body);
    system.call(1, "POST", job_path("seats", settlement), settlement_body);
    system.wait(4s);
    const int second_runs = count_second_runs(system);
    system.call(0, "DELETE", job_path("seats", settlement));
    system.wait(cancel_time + contact_time);
    for (const observed_run& item : system.running(first_task(settlement))) {
        system.note("the cancelled job's task is still at work on " + item.vm);
    }
    system.note_runs();
    return denials > 0 || second_runs > 0 ? exit_broken : exit_held;
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
