#include "net/loop_until.hpp"
#include "soak/load_generator.hpp"

#include <filesystem>
#include <iostream>
#include <tclap/CmdLine.h>

using namespace siskinpaddle;
using namespace siskinpaddle::soak;

namespace {

constexpr int exit_violation = 1;
constexpr int exit_usage_error = 2;
constexpr milliseconds update_interval = 50ms;
constexpr milliseconds check_interval = 1s;
/// Time after the end of the last fault within which all accepted jobs must be finished and the newest
/// configuration must be in force: the maximum time that a new owner waits for VMs (10.7 s), the leases of
/// both previous owners, the execution of the jobs, and the sum of these again for a busy machine.
constexpr milliseconds recovery_timeout = 60s;
constexpr std::size_t max_problems_shown = 20;

/// A fake VM has 4000 millicores; a task needs 500.
constexpr check_bounds bounds{.max_runs_per_vm = 8, .max_start_after_cancel = 15s};
/// Without faults, the owner knows a job before the client gets the answer; `visible_within` is slack for a
/// busy machine.
constexpr check_bounds final_bounds{
    .max_runs_per_vm = 8, .max_start_after_cancel = 15s, .visible_within = milliseconds(1000)};
/// A VM registers again immediately when its capacity changes. The check allows for the platform's bound on
/// the time since an owner's last contact, plus one heartbeat interval.
constexpr milliseconds contact_time = 3s;
constexpr milliseconds heartbeat = 1500ms;
constexpr capacity_bounds vm_capacity_bounds{.task_millicores = task_need.cpu_millicores,
                                             .lag = contact_time + heartbeat};
/// An owner starts tasks by a limit for as long as its configuration may be in force, and a start may be in
/// flight for 1.5 s.
constexpr account_bounds limit_bounds{
    .revocation = 0ms, .key_lag = 0ms, .limit_lag = configuration_time + milliseconds(2000)};
/// Time within which each node must report a count once no job waits: the maximum age of a cached count plus
/// the duration of about ten requests.
constexpr milliseconds count_timeout = 8s;

/// An owner measures for two seconds what the accounts ask for; seconds at the begin and end are partial.
constexpr std::int64_t displaced_seconds = 4;

struct soak_options {
    test_cluster_settings cluster;
    std::uint64_t seed = 1;
    milliseconds length{0};
    bool hard_load = false;
    bool checks_shares = false;
};

/// Executes one plan and runs the checks during and after it.
class soak_run {
  public:
    soak_run(event_loop& loop, soak_options options)
        : m_loop(loop), m_options(std::move(options)), m_cluster(loop, m_options.cluster, m_options.seed),
          m_load_generator(loop, m_cluster, m_options.seed, m_options.hard_load) {}

    /// Runs the plan. Returns the violations found; empty if there were none.
    std::vector<std::string> run() {
        if (!m_cluster.start()) {
            return {"the deployment can't be started"};
        }
        m_load_generator.start();
        run_faults();
        m_load_generator.stop_submitting();
        // Accepted jobs may wait for a limit that was lowered for as long as it lasts.
        m_cluster.raise_limits();
        const bool has_recovered = wait_for_recovery() && wait_for_burst();
        if (has_recovered) {
            wait_for_last_counts();
        }
        check();
        if (!has_recovered) {
            add_unfinished();
        }
        return m_problems;
    }

    [[nodiscard]] std::string summary() const {
        std::size_t accepted = 0;
        std::size_t completed = 0;
        std::size_t given_up = 0;
        for (const auto& [id, job] : m_load_generator.jobs()) {
            given_up += job.failed ? 1 : 0;
            accepted += job.accepted != timestamp(0) ? 1 : 0;
            completed += job.completed ? 1 : 0;
        }
        std::string text = "jobs " + std::to_string(m_load_generator.jobs().size()) + " accepted " +
                           std::to_string(accepted) + " completed " + std::to_string(completed) +
                           " given up " + std::to_string(given_up) + " runs " +
                           std::to_string(m_cluster.runs().size()) + " answers";
        for (const auto& [code, count] : m_load_generator.answers()) {
            text +=
                " " + (code == 0 ? std::string("none") : std::to_string(code)) + ":" + std::to_string(count);
        }
        std::size_t most_waiting = 0;
        for (const waiting_range& item :
             waiting_ranges(m_load_generator.jobs(), m_cluster.runs(), m_load_generator.counts(), bounds)) {
            most_waiting = std::max(most_waiting, item.least);
        }
        return text + ", counts " + std::to_string(m_load_generator.counts().size()) + " of up to " +
               std::to_string(most_waiting) + " jobs that waited";
    }

  private:
    void run_faults() {
        const std::vector<planned_fault> plan = make_plan(m_options.seed, m_options.length);
        const timestamp begin = event_loop::now();
        std::vector<bool> is_started(plan.size());
        std::vector<bool> is_ended(plan.size());
        const auto advance = [&] {
            const milliseconds age = event_loop::now() - begin;
            bool has_remaining = age < m_options.length;
            for (std::size_t i = 0; i < plan.size(); ++i) {
                if (!is_started[i] && age >= plan[i].start_offset) {
                    is_started[i] = true;
                    m_cluster.apply(plan[i]);
                }
                if (is_started[i] && !is_ended[i] && age >= plan[i].start_offset + plan[i].duration) {
                    is_ended[i] = true;
                    m_cluster.revert(plan[i]);
                }
                has_remaining = has_remaining || !is_ended[i];
            }
            return !has_remaining;
        };
        run_until(advance, m_options.length + recovery_timeout);
    }

    bool wait_for_recovery() {
        return run_until([this] { return is_recovered(); }, recovery_timeout);
    }

    /// Submits the final burst after all faults, and checks the counts that are reported meanwhile.
    bool wait_for_burst() {
        const std::size_t first = m_load_generator.counts().size();
        m_load_generator.submit_burst();
        const bool has_recovered = wait_for_recovery();
        check_counts_from(first);
        return has_recovered;
    }

    /// Waits until each node has reported a count that was made after the last job stopped waiting, and
    /// checks these counts.
    void wait_for_last_counts() {
        const timestamp from = event_loop::now() + final_bounds.max_count_age;
        run_until([&] { return event_loop::now() >= from; }, count_timeout);
        const std::size_t first = m_load_generator.counts().size();
        const auto have_all_reported = [&] {
            std::set<std::uint32_t> reporting_nodes;
            for (const reported_count& item : std::span(m_load_generator.counts()).subspan(first)) {
                reporting_nodes.insert(item.node);
            }
            return reporting_nodes.size() == m_cluster.nodes();
        };
        run_until(have_all_reported, count_timeout);
        check_counts_from(first);
    }

    void check_counts_from(std::size_t first) {
        for (const std::string& item : check_final_counts(m_load_generator.jobs(), m_cluster.runs(),
                                                          std::span(m_load_generator.counts()).subspan(first),
                                                          final_bounds, m_cluster.nodes())) {
            add_problem(item);
        }
    }

    void add_unfinished() {
        for (const std::string& id : unfinished_jobs(m_load_generator.jobs())) {
            add_problem("accepted and not completed: " + id);
        }
        for (const std::string& item : runs_left_after_cancel(m_load_generator.jobs(), m_cluster.runs())) {
            add_problem("still running after the cancellation of its job: " + item);
        }
        if (m_load_generator.count_up_to_date_nodes() < m_cluster.nodes()) {
            add_problem("the newest configuration is not in force everywhere");
        }
    }

    [[nodiscard]] bool is_recovered() const {
        return m_load_generator.all_submits_resolved() && unfinished_jobs(m_load_generator.jobs()).empty() &&
               m_load_generator.count_up_to_date_nodes() == m_cluster.nodes() &&
               runs_left_after_cancel(m_load_generator.jobs(), m_cluster.runs()).empty();
    }

    bool run_until(const std::function<bool()>& condition, milliseconds timeout) {
        timestamp updated_at(0);
        timestamp checked_at = event_loop::now();
        return tests::loop_until(
            m_loop,
            [&] {
                const timestamp now = event_loop::now();
                m_cluster.switch_slow_nodes();
                if (now - updated_at >= update_interval) {
                    updated_at = now;
                    m_cluster.update();
                }
                if (now - checked_at >= check_interval) {
                    checked_at = now;
                    check();
                }
                return condition();
            },
            timeout);
    }

    void check() {
        for (const std::string& item :
             check_runs(m_load_generator.jobs(), m_cluster.runs(), bounds, event_loop::now())) {
            add_problem(item);
        }
        check_vms();
        check_accounts();
        const std::span<const reported_count> counts(m_load_generator.counts());
        for (const std::string& item : check_counts(m_load_generator.jobs(), m_cluster.runs(),
                                                    counts.subspan(m_checked_counts), bounds)) {
            add_problem(item);
        }
        m_checked_counts = counts.size();
        for (const std::string& item : m_cluster.problems()) {
            add_problem(item);
        }
        for (const std::string& item : m_load_generator.problems()) {
            add_problem(item);
        }
    }

    void check_accounts() {
        std::map<std::string, std::size_t> account_of;
        for (const auto& [id, job] : m_load_generator.jobs()) {
            account_of[id] = job.account;
        }
        for (const std::string& item :
             check_account_limits(m_cluster.runs(), account_of, m_cluster.accounts().limits(), limit_bounds,
                                  event_loop::now())) {
            add_problem(item);
        }
        if (m_options.checks_shares) {
            for (const std::string& item :
                 check_shares(m_load_generator.judged(), account_script::weights, displaced_seconds)) {
                add_problem(item);
            }
        }
    }

    void check_vms() {
        for (const std::string& item : check_capacity(m_cluster.runs(), m_cluster.capacities(),
                                                      vm_capacity_bounds, event_loop::now())) {
            add_problem(item);
        }
        const auto had_contact = [this](const vm_run& item) {
            return m_cluster.had_contact(item.run.token, item.run.started_at, contact_time);
        };
        for (const std::string& item :
             check_crashes(m_load_generator.jobs(), m_cluster.runs(), had_contact)) {
            add_problem(item);
        }
    }

    /// Records a problem once, since each check reports the same problems again.
    void add_problem(const std::string& problem) {
        const std::string kind = problem.substr(0, problem.find(" ["));
        if (m_known_problems.insert(kind).second) {
            m_problems.push_back(problem);
        }
    }

    event_loop& m_loop;
    soak_options m_options;
    test_cluster m_cluster;
    load_generator m_load_generator;
    std::vector<std::string> m_problems;
    std::set<std::string> m_known_problems;
    std::size_t m_checked_counts = 0; ///< Number of counts that check_counts() has processed.
};

void print_plan(const soak_options& options) {
    for (const planned_fault& item : make_plan(options.seed, options.length)) {
        std::cout << item.start_offset.count() << " ms for " << item.duration.count() << " ms "
                  << name_of(item.kind) << " " << item.target << "\n";
    }
}

int run_soak(const soak_options& options) {
    std::filesystem::create_directories(options.cluster.folder);
    event_loop loop;
    soak_run run(loop, options);
    const std::vector<std::string> problems = run.run();
    std::cout << "seed " << options.seed << ": " << (problems.empty() ? "good" : "BROKEN") << ", "
              << run.summary() << "\n";
    for (std::size_t i = 0; i < problems.size() && i < max_problems_shown; ++i) {
        std::cout << "  " << problems[i] << "\n";
    }
    return problems.empty() ? 0 : exit_violation;
}

} // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine line(
            "Runs node processes of siskinpaddle on loopback, injects faults by a plan that is derived "
            "from a seed, and checks what clients, VMs and the store observe. Exit codes: 0 no violations, "
            "1 violations found, 2 invalid usage.",
            ' ', SISKINPADDLE_VERSION);
        TCLAP::ValueArg<std::string> program("", "node", "The node program.", true, "", "FILE", line);
        TCLAP::ValueArg<std::string> folder("", "folder", "Directory for the nodes' settings files and logs.",
                                            true, "", "FOLDER", line);
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the plan.", false, 1, "N", line);
        TCLAP::ValueArg<std::uint32_t> seconds("", "seconds", "Period in which faults start, in seconds.",
                                               false, 15, "S", line);
        TCLAP::ValueArg<std::uint32_t> nodes("", "nodes", "Number of node processes.", false, 3, "N", line);
        TCLAP::ValueArg<std::uint32_t> vms("", "vms", "Number of fake VMs.", false, 4, "N", line);
        TCLAP::SwitchArg plan("", "plan", "Only print the plan.", line);
        TCLAP::SwitchArg hard_load("", "hard-load", "Accounts are hot for some seconds; some tasks run long.",
                                   line);
        TCLAP::SwitchArg shares("", "shares", "Check that accounts get their shares of a full pool.", line);
        line.parse(argc, argv);
        soak_options options;
        options.cluster = {program.getValue(), folder.getValue(), nodes.getValue(), vms.getValue()};
        options.seed = seed.getValue();
        options.length = std::chrono::seconds(seconds.getValue());
        options.hard_load = hard_load.getValue();
        options.checks_shares = shares.getValue();
        if (options.cluster.nodes == 0 || options.cluster.vms == 0) {
            std::cerr << "--nodes and --vms must be at least 1\n";
            return exit_usage_error;
        }
        if (plan.getValue()) {
            print_plan(options);
            return 0;
        }
        return run_soak(options);
    } catch (const std::exception& error) {
        std::cerr << "siskinpaddle-soak: " << error.what() << "\n";
        return exit_usage_error;
    }
}
