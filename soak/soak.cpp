#include "net/loop_until.hpp"
#include "soak/callers.hpp"

#include <filesystem>
#include <iostream>
#include <tclap/CmdLine.h>

using namespace siskinpaddle;
using namespace siskinpaddle::soak;

namespace {

constexpr int exit_broken = 1;
constexpr int exit_bad_usage = 2;
constexpr milliseconds tend_interval = 50ms;
constexpr milliseconds check_interval = 1s;
/// From the end of the last fault until all accepted jobs must be done and the newest configuration in force:
/// the longest that a new owner waits for VMs (10.7 s), the leases of both owners before it, the work, and as
/// much again for a busy machine.
constexpr milliseconds settle_bound = 60s;
constexpr std::size_t most_problems_shown = 20;

/// The stand-in VMs have 4000 millicores, a task needs 500.
constexpr ledger_bounds bounds{.runs_at_once = 8, .after_cancelling = 15s};
/// Once all faults are over an owner knows a job before its client does; the rest is for a busy machine.
constexpr ledger_bounds settled_bounds{
    .runs_at_once = 8, .after_cancelling = 15s, .visible_within = milliseconds(1000)};
/// VMs register again at once when their capacity changes; the platform's time for being in touch, and a
/// heartbeat.
constexpr milliseconds contact = 3s;
constexpr milliseconds heartbeat = 1500ms;
constexpr capacity_bounds room_bounds{.task_millicores = 500, .lag = contact + heartbeat};
/// Within which each node must tell a count once nothing waits: the age of copies, and some ten requests.
constexpr milliseconds count_bound = 8s;

struct soak_options {
    world_settings world;
    std::uint64_t seed = 1;
    milliseconds length{0};
};

/// One run of a plan.
class soak_run {
  public:
    soak_run(event_loop& loop, soak_options options)
        : m_loop(loop), m_options(std::move(options)), m_world(loop, m_options.world),
          m_callers(loop, m_world, m_options.seed) {}

    /// Returns the problems found; none if all promises held.
    std::vector<std::string> play() {
        if (!m_world.start()) {
            return {"the deployment can't be started"};
        }
        m_callers.start();
        run_faults();
        m_callers.stop_submitting();
        const bool settled = settle() && settle_burst();
        if (settled) {
            watch_last_counts();
        }
        check();
        if (!settled) {
            add_unsettled();
        }
        return m_problems;
    }

    [[nodiscard]] std::string summary() const {
        std::size_t accepted = 0;
        std::size_t completed = 0;
        std::size_t given_up = 0;
        for (const auto& [id, job] : m_callers.jobs()) {
            given_up += job.failed ? 1 : 0;
            accepted += job.accepted != timestamp(0) ? 1 : 0;
            completed += job.completed ? 1 : 0;
        }
        std::string text = "jobs " + std::to_string(m_callers.jobs().size()) + " accepted " +
                           std::to_string(accepted) + " completed " + std::to_string(completed) +
                           " given up " + std::to_string(given_up) + " runs " +
                           std::to_string(m_world.runs().size()) + " answers";
        for (const auto& [code, count] : m_callers.answers()) {
            text +=
                " " + (code == 0 ? std::string("none") : std::to_string(code)) + ":" + std::to_string(count);
        }
        std::size_t most_waiting = 0;
        for (const waiting_range& item :
             waiting_at(m_callers.jobs(), m_world.runs(), m_callers.counts(), bounds)) {
            most_waiting = std::max(most_waiting, item.least);
        }
        return text + ", counts " + std::to_string(m_callers.counts().size()) + " of up to " +
               std::to_string(most_waiting) + " jobs that waited";
    }

  private:
    void run_faults() {
        const std::vector<planned_fault> plan = make_plan(m_options.seed, m_options.length);
        const timestamp begin = event_loop::now();
        std::vector<bool> begun(plan.size());
        std::vector<bool> ended(plan.size());
        const auto advance = [&] {
            const milliseconds age = event_loop::now() - begin;
            bool left = age < m_options.length;
            for (std::size_t i = 0; i < plan.size(); ++i) {
                if (!begun[i] && age >= plan[i].at) {
                    begun[i] = true;
                    m_world.apply(plan[i]);
                }
                if (begun[i] && !ended[i] && age >= plan[i].at + plan[i].lasts) {
                    ended[i] = true;
                    m_world.mend(plan[i]);
                }
                left = left || !ended[i];
            }
            return !left;
        };
        watch_until(advance, m_options.length + settle_bound);
    }

    bool settle() {
        return watch_until([this] { return is_settled(); }, settle_bound);
    }

    /// Jobs wait while nothing is broken any more.
    bool settle_burst() {
        const std::size_t first = m_callers.counts().size();
        m_callers.submit_burst();
        const bool settled = settle();
        check_counts_from(first);
        return settled;
    }

    /// Nothing waits any more; watches until each node told a count that can't be from before.
    void watch_last_counts() {
        const timestamp from = event_loop::now() + settled_bounds.count_age;
        watch_until([&] { return event_loop::now() >= from; }, count_bound);
        const std::size_t first = m_callers.counts().size();
        const auto all_told = [&] {
            std::set<std::uint32_t> telling;
            for (const told_count& item : std::span(m_callers.counts()).subspan(first)) {
                telling.insert(item.node);
            }
            return telling.size() == m_world.nodes();
        };
        watch_until(all_told, count_bound);
        check_counts_from(first);
    }

    void check_counts_from(std::size_t first) {
        for (const std::string& item : check_settled_counts(m_callers.jobs(), m_world.runs(),
                                                            std::span(m_callers.counts()).subspan(first),
                                                            settled_bounds, m_world.nodes())) {
            add(item);
        }
    }

    void add_unsettled() {
        for (const std::string& id : unfinished(m_callers.jobs())) {
            add("accepted and not completed: " + id);
        }
        for (const std::string& item : left_running(m_callers.jobs(), m_world.runs())) {
            add("runs on after its cancelling: " + item);
        }
        if (m_callers.nodes_up_to_date() < m_world.nodes()) {
            add("the newest configuration is not in force everywhere");
        }
    }

    [[nodiscard]] bool is_settled() const {
        return m_callers.all_answered() && unfinished(m_callers.jobs()).empty() &&
               m_callers.nodes_up_to_date() == m_world.nodes() &&
               left_running(m_callers.jobs(), m_world.runs()).empty();
    }

    bool watch_until(const std::function<bool()>& condition, milliseconds bound) {
        timestamp tended(0);
        timestamp checked = event_loop::now();
        return tests::loop_until(
            m_loop,
            [&] {
                const timestamp now = event_loop::now();
                m_world.take_turns();
                if (now - tended >= tend_interval) {
                    tended = now;
                    m_world.tend();
                }
                if (now - checked >= check_interval) {
                    checked = now;
                    check();
                }
                return condition();
            },
            bound);
    }

    void check() {
        for (const std::string& item :
             check_runs(m_callers.jobs(), m_world.runs(), bounds, event_loop::now())) {
            add(item);
        }
        check_vms();
        const std::span<const told_count> counts(m_callers.counts());
        for (const std::string& item :
             check_counts(m_callers.jobs(), m_world.runs(), counts.subspan(m_counts_checked), bounds)) {
            add(item);
        }
        m_counts_checked = counts.size();
        for (const std::string& item : m_world.problems()) {
            add(item);
        }
        for (const std::string& item : m_callers.problems()) {
            add(item);
        }
    }

    void check_vms() {
        for (const std::string& item :
             check_capacity(m_world.runs(), m_world.capacities(), room_bounds, event_loop::now())) {
            add(item);
        }
        const auto in_touch = [this](const vm_run& item) {
            return m_world.in_touch(item.run.token, item.run.began, contact);
        };
        for (const std::string& item : check_crashes(m_callers.jobs(), m_world.runs(), in_touch)) {
            add(item);
        }
    }

    /// The same finding is met again at each check.
    void add(const std::string& problem) {
        const std::string kind = problem.substr(0, problem.find(" ["));
        if (m_known.insert(kind).second) {
            m_problems.push_back(problem);
        }
    }

    event_loop& m_loop;
    soak_options m_options;
    world m_world;
    callers m_callers;
    std::vector<std::string> m_problems;
    std::set<std::string> m_known;
    std::size_t m_counts_checked = 0; ///< Counts that were checked by what holds amid faults.
};

void print_plan(const soak_options& options) {
    for (const planned_fault& item : make_plan(options.seed, options.length)) {
        std::cout << item.at.count() << " ms for " << item.lasts.count() << " ms " << name_of(item.kind)
                  << " " << item.target << "\n";
    }
}

int play(const soak_options& options) {
    std::filesystem::create_directories(options.world.folder);
    event_loop loop;
    soak_run run(loop, options);
    const std::vector<std::string> problems = run.play();
    std::cout << "seed " << options.seed << ": " << (problems.empty() ? "good" : "BROKEN") << ", "
              << run.summary() << "\n";
    for (std::size_t i = 0; i < problems.size() && i < most_problems_shown; ++i) {
        std::cout << "  " << problems[i] << "\n";
    }
    return problems.empty() ? 0 : exit_broken;
}

} // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine line(
            "Runs node processes of siskinpaddle on loopback, breaks things around them by a plan "
            "that its seed gives, and checks what clients, VMs and the store see. Exit codes: 0 all "
            "promises held, 1 one was broken, 2 bad usage.",
            ' ', SISKINPADDLE_VERSION);
        TCLAP::ValueArg<std::string> program("", "node", "The node program.", true, "", "FILE", line);
        TCLAP::ValueArg<std::string> folder("", "folder", "Settings and logs of the nodes go there.", true,
                                            "", "FOLDER", line);
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the plan.", false, 1, "N", line);
        TCLAP::ValueArg<std::uint32_t> seconds("", "seconds", "How long faults begin.", false, 15, "S", line);
        TCLAP::ValueArg<std::uint32_t> nodes("", "nodes", "Node processes.", false, 3, "N", line);
        TCLAP::ValueArg<std::uint32_t> vms("", "vms", "Stand-in VMs.", false, 4, "N", line);
        TCLAP::SwitchArg plan("", "plan", "Only print the plan.", line);
        line.parse(argc, argv);
        soak_options options;
        options.world = {program.getValue(), folder.getValue(), nodes.getValue(), vms.getValue()};
        options.seed = seed.getValue();
        options.length = std::chrono::seconds(seconds.getValue());
        if (options.world.nodes == 0 || options.world.vms == 0) {
            std::cerr << "--nodes and --vms must be at least 1\n";
            return exit_bad_usage;
        }
        if (plan.getValue()) {
            print_plan(options);
            return 0;
        }
        return play(options);
    } catch (const std::exception& error) {
        std::cerr << "siskinpaddle-soak: " << error.what() << "\n";
        return exit_bad_usage;
    }
}
