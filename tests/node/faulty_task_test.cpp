#include "node/node_deployment.hpp"

#include <algorithm>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

const std::string faulty_job = "00000000000000fa";
const std::string sound_job = "00000000000000aa";

/// A task is started at most twice more after three VMs have crashed while running it.
constexpr std::size_t max_starts = 5;

/// Starts of the task that its VMs have seen, and crashes of VMs while they ran it.
struct task_run_counts {
    std::size_t starts = 0;
    std::size_t crashes = 0;
};

task_run_counts count_task_runs(const node_deployment& d, const std::string& task) {
    task_run_counts counts;
    for (const auto& machine : d.machines) {
        for (const fakes::vm_run& item : machine->runs()) {
            counts.starts += item.run.task == task ? 1 : 0;
            counts.crashes += item.run.task == task && item.run.outcome == "crashed" ? 1 : 0;
        }
    }
    return counts;
}

} // namespace

// Guards against a task that crashes VM after VM because no crash evidence is recorded against it.
TEST_CASE("a task that crashes every VM that starts it is given up, and what ran beside it completes") {
    struct row {
        const char* name = "";
        std::size_t machines = 0;
        std::optional<std::size_t> owner_killed_after; ///< Number of crashes.
    };
    const std::array rows{row{"one owner", 3, {}}, row{"a pool of two VMs", 2, {}},
                          row{"an owner that is killed after the first crash", 3, 1},
                          row{"an owner that is killed after the second crash", 3, 2}};
    for (const row& item : rows) {
        INFO(std::string(item.name));
        node_deployment d;
        for (std::size_t i = 0; i < item.machines; ++i) {
            d.add_machine("m" + std::to_string(i + 1), 400ms);
        }
        d.start_node("n1");
        d.wait_until_serving("n1");
        const std::string body = d.job_body(3, fakes::task_vm::crash_payload(1));
        CHECK(d.call("n1", "POST", "/quotes/" + sound_job, d.job_body(2)).code == 200);
        CHECK(d.call("n1", "POST", "/quotes/" + faulty_job, body).code == 200);
        std::string node = "n1";
        const std::string task = faulty_job + ".0.0.1";
        if (item.owner_killed_after) {
            REQUIRE(d.until([&] { return count_task_runs(d, task).crashes >= *item.owner_killed_after; }));
            d.kill_node("n1");
            d.start_node("n2");
            node = "n2";
        }
        CHECK(d.until([&] {
            return count_task_runs(d, task).starts > max_starts ||
                   d.call(node, "GET", "/quotes/" + faulty_job).body.find("\"failed\"") != std::string::npos;
        }));
        CHECK(count_task_runs(d, task).starts <= max_starts);
        CHECK(d.reaches_phase(node, sound_job, "completed"));
    }
}
