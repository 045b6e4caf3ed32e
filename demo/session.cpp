#include "demo/caller_fleet.hpp"
#include "demo/fleet_ledger.hpp"

#include <csignal>
#include <fstream>
#include <iostream>

namespace siskinpaddle::demo {

namespace {

constexpr milliseconds poll_interval = 50ms;
constexpr milliseconds session_timeout = 110s;
constexpr std::string_view credential = "association-credential-for-this-demonstration";

/// Ports, process ids and log files of the session's processes, from the file that demo/run.sh writes.
struct session_settings {
    endpoint platform;
    std::vector<endpoint> callers;
    std::vector<endpoint> operators;
    std::vector<int> entry_pids;
    std::vector<std::pair<std::string, int>> vm_pids;
    std::vector<std::string> target_logs;
};

session_settings read_session_settings(const std::string& path) {
    session_settings settings;
    std::ifstream file(path);
    std::string kind;
    while (file >> kind) {
        std::string name;
        int number = 0;
        if (kind == "platform") {
            file >> number;
            settings.platform = {"127.0.0.1", static_cast<std::uint16_t>(number)};
        } else if (kind == "entry") {
            int operators = 0;
            int pid = 0;
            file >> number >> operators >> pid;
            settings.callers.push_back({"127.0.0.1", static_cast<std::uint16_t>(number)});
            settings.operators.push_back({"127.0.0.1", static_cast<std::uint16_t>(operators)});
            settings.entry_pids.push_back(pid);
        } else if (kind == "vm") {
            std::string log;
            file >> name >> number >> log;
            settings.vm_pids.emplace_back(name, number);
            settings.target_logs.push_back(log);
        }
    }
    return settings;
}

/// Runs the demonstration step by step. Each step has a function that starts it and a function that returns
/// whether it has ended.
class session {
  public:
    session(event_loop& loop, session_settings settings)
        : m_loop(loop), m_settings(std::move(settings)),
          m_callers(loop, m_settings.callers,
                    {{"GET", "/quotes/fare", "quotes", true}, {"POST", "/seats/confirm", "seats", false}},
                    8ms),
          m_ledger(loop, m_settings.platform), m_client(loop),
          m_timer(loop.make_timer([this] { run_current_step(); })), m_started(event_loop::now()) {}

    void start() {
        print_progress("waiting for entries and pools");
        m_callers.check_entries();
        m_ledger.start();
        run_current_step();
    }

    [[nodiscard]] int result() const { return m_result; }

  private:
    struct demo_step {
        const char* name;
        void (session::*begin)();
        bool (session::*is_over)();
    };

    static const std::vector<demo_step>& steps() {
        static const std::vector<demo_step> all{
            {"start", &session::do_nothing, &session::are_pools_serving},
            {"callers", &session::start_callers, &session::are_all_answered},
            {"jobs", &session::submit_jobs, &session::are_all_answered},
            {"patch", &session::submit_good_patch, &session::is_patch_in_force},
            {"stale patch", &session::submit_stale_patch, &session::are_all_answered},
            {"wave", &session::start_wave, &session::has_wave_ended},
            {"move", &session::start_move, &session::has_move_ended},
            {"target killed", &session::kill_target, &session::are_pools_full},
            {"entry frozen", &session::pause_entry, &session::resume_entry_when_due},
            {"entry killed", &session::kill_entry, &session::is_entry_removed},
            {"entry stopped", &session::stop_entry, &session::is_entry_removed},
            {"jobs end", &session::do_nothing, &session::have_jobs_ended},
            {"end", &session::stop_callers, &session::are_callers_idle},
        };
        return all;
    }

    void print_progress(const std::string& text) const {
        std::cout << "[" << (event_loop::now() - m_started).count() << " ms] " << text << std::endl;
    }

    void run_current_step() {
        if (event_loop::now() - m_started > session_timeout) {
            print_progress(std::string("FAILED: step '") + steps()[m_step_index].name +
                           "' did not end in time");
            m_timed_out = true;
            finish();
            return;
        }
        if (!m_is_step_started) {
            m_is_step_started = true;
            m_step_started_at = event_loop::now();
            (this->*steps()[m_step_index].begin)();
        } else if ((this->*steps()[m_step_index].is_over)()) {
            print_progress(std::string("step '") + steps()[m_step_index].name + "' ended after " +
                           std::to_string((event_loop::now() - m_step_started_at).count()) + " ms");
            m_is_step_started = false;
            if (++m_step_index == steps().size()) {
                finish();
                return;
            }
        }
        m_timer->start(poll_interval);
    }

    void do_nothing() {}

    [[nodiscard]] bool are_pools_full() {
        for (const auto& [name, pool] : m_ledger.config().pools) {
            if (m_ledger.count_serving(name) < pool.size) {
                return false;
            }
        }
        return m_ledger.config().number > 0;
    }

    [[nodiscard]] bool are_pools_serving() {
        return are_pools_full() && m_callers.count_ready_entries() == m_settings.callers.size();
    }

    void send_request(const std::string& method, const std::string& target, const boost::json::value& body,
                      int expected) {
        m_pending_answers += 1;
        http_call call;
        call.to = m_settings.operators[m_operator_index];
        call.method = method;
        call.target = target;
        call.headers.add("Authorization", "Bearer " + std::string(credential));
        call.body = boost::json::serialize(body);
        call.timeout = 10s;
        m_client.send(std::move(call), [this, target, expected](const http_answer& answer) {
            m_pending_answers -= 1;
            m_unexpected_answers += answer.code == expected ? 0 : 1;
            print_progress(target + " answered " + std::to_string(answer.code) + " (expected " +
                           std::to_string(expected) + "): " + answer.body.substr(0, 200));
        });
    }

    [[nodiscard]] bool are_all_answered() { return m_pending_answers == 0; }

    void submit_patch(const boost::json::value& merge, std::uint64_t base_number, int expected) {
        m_patched_at = event_loop::now();
        send_request("POST", "/v1/patches",
                     boost::json::object{{"against", base_number},
                                         {"write_id", "demo-" + std::to_string(++m_patch_count)},
                                         {"patch", merge}},
                     expected);
    }

    void submit_jobs() {
        for (int i = 0; i < 8; ++i) {
            send_request("POST", "/v1/jobs",
                         boost::json::object{{"pool", i % 2 == 0 ? "quotes" : "seats"},
                                             {"id", "job-" + std::to_string(i)},
                                             {"team", "night"},
                                             {"kind", "settlement"},
                                             {"urgency", i % 4 == 0 ? "urgent" : "patient"},
                                             {"cpu_millicores", 2000},
                                             {"memory_mb", 1000},
                                             {"expected_ms", 12'000}},
                         200);
        }
        send_request("POST", "/v1/jobs",
                     boost::json::object{{"pool", "quotes"},
                                         {"id", "job-too-large"},
                                         {"team", "night"},
                                         {"cpu_millicores", 9'000'000},
                                         {"memory_mb", 1000}},
                     200);
    }

    void submit_good_patch() {
        m_config_number = m_ledger.config().number;
        submit_patch({{"pools", {{"quotes", {{"max_queue", 200}}}}}}, m_config_number, 200);
    }

    [[nodiscard]] bool is_patch_in_force() {
        if (!are_all_answered() || m_callers.config_numbers().size() < m_settings.callers.size()) {
            return false;
        }
        for (const auto& [entry, number] : m_callers.config_numbers()) {
            if (number <= static_cast<std::int64_t>(m_config_number)) {
                return false;
            }
        }
        m_rollout_ms = (event_loop::now() - m_patched_at).count();
        return true;
    }

    void submit_stale_patch() {
        submit_patch({{"pools", {{"quotes", {{"max_queue", 300}}}}}}, m_config_number, 409);
    }

    void start_wave() {
        submit_patch({{"waves", {{"autumn", {{"pool", "seats"}, {"order", 1}, {"width", 1}}}}}},
                     m_config_number + 1, 200);
    }

    [[nodiscard]] bool has_wave_ended() {
        if (!are_all_answered() || m_ledger.config().waves.empty()) {
            return false;
        }
        for (const vm_record& vm : m_ledger.fleet().vms) {
            if (vm.pool == "seats" && (vm.completed_wave < 1 || vm.state != vm_state::serving)) {
                return false;
            }
        }
        m_wave_ms = (event_loop::now() - m_patched_at).count();
        return true;
    }

    void start_move() {
        submit_patch({{"pools", {{"quotes", {{"size", 2}}}, {"seats", {{"size", 4}}}}}}, m_config_number + 2,
                     200);
    }

    [[nodiscard]] bool has_move_ended() {
        return are_all_answered() && m_ledger.count_serving("quotes") == 2 &&
               m_ledger.count_serving("seats") >= 4;
    }

    void kill_target() {
        for (const vm_record& vm : m_ledger.fleet().vms) {
            if (vm.pool != "seats" || vm.state != vm_state::serving) {
                continue;
            }
            for (const auto& [name, pid] : m_settings.vm_pids) {
                if (name == vm.id) {
                    print_progress("kill target " + name);
                    m_ledger.mark_killed(name);
                    kill(pid, SIGKILL);
                    return;
                }
            }
        }
    }

    /// Pauses an entry with SIGSTOP. The paused process keeps its ports, so the fleet must not remove the
    /// entry; the entry serves again after SIGCONT.
    void pause_entry() {
        print_progress("pause entry 0 for 5 s");
        m_expected_entries = m_ledger.fleet().entries.size();
        kill(m_settings.entry_pids.front(), SIGSTOP);
    }

    [[nodiscard]] bool resume_entry_when_due() {
        if (event_loop::now() - m_step_started_at < 5s) {
            return false;
        }
        kill(m_settings.entry_pids.front(), SIGCONT);
        m_unexpected_answers += m_ledger.fleet().entries.size() < m_expected_entries ? 1 : 0;
        return m_callers.count_ready_entries() == m_settings.entry_pids.size();
    }

    void signal_last_entry(int signal) {
        const std::size_t index = m_settings.entry_pids.size() - 1;
        print_progress("signal " + std::to_string(signal) + " to entry " + std::to_string(index));
        m_expected_entries = m_ledger.fleet().entries.size() - 1;
        kill(m_settings.entry_pids[index], signal);
        m_settings.entry_pids.pop_back();
    }

    void kill_entry() { signal_last_entry(SIGKILL); }
    void stop_entry() { signal_last_entry(SIGTERM); }
    [[nodiscard]] bool is_entry_removed() { return m_ledger.fleet().entries.size() == m_expected_entries; }

    [[nodiscard]] bool have_jobs_ended() {
        int ended = 0;
        int parked = 0;
        for (const char* pool : {"quotes", "seats"}) {
            for (const job_record& job : m_ledger.jobs(pool).jobs) {
                ended += job.state == job_state::done ? 1 : 0;
                parked += job.state == job_state::parked ? 1 : 0;
            }
        }
        return ended == 8 && parked == 1;
    }

    void start_callers() { m_callers.start(); }
    void stop_callers() { m_callers.stop(); }
    [[nodiscard]] bool are_callers_idle() { return m_callers.count_pending() == 0; }

    void finish() {
        const request_totals totals = sum_requests(m_callers.requests(), m_settings.target_logs);
        const boost::json::object summary{{"requests", totals.requests},
                                          {"answered", totals.answered},
                                          {"not_run", totals.not_run},
                                          {"unknown", totals.unknown},
                                          {"lost", totals.lost},
                                          {"doubled", totals.repeated},
                                          {"cut", totals.interrupted},
                                          {"wrong_pool", totals.wrong_pool},
                                          {"false_not_run", totals.false_not_run},
                                          {"budget_breaches", m_ledger.breach_count()},
                                          {"config_rollout_ms", m_rollout_ms},
                                          {"wave_ms", m_wave_ms},
                                          {"moves", m_ledger.vm_moves() + m_ledger.count_job_moves()},
                                          {"buffer_vm_seconds", m_ledger.buffer_vm_seconds()}};
        std::cout << boost::json::serialize(summary) << std::endl;
        const bool has_violations = totals.lost + totals.repeated + totals.interrupted + totals.wrong_pool +
                                        totals.false_not_run + m_ledger.breach_count() +
                                        m_unexpected_answers >
                                    0;
        m_result = has_violations || m_timed_out || totals.answered == 0 ? 1 : 0;
        m_loop.stop();
    }

    event_loop& m_loop;
    session_settings m_settings;
    caller_fleet m_callers;
    fleet_ledger m_ledger;
    http_client m_client;
    std::unique_ptr<timer> m_timer;
    timestamp m_started;
    timestamp m_step_started_at{0};
    timestamp m_patched_at{0};
    std::size_t m_step_index = 0;
    std::size_t m_operator_index = 0;
    std::size_t m_expected_entries = 0;
    bool m_is_step_started = false;
    bool m_timed_out = false;
    int m_pending_answers = 0;
    int m_unexpected_answers = 0;
    int m_patch_count = 0;
    int m_result = 1;
    std::uint64_t m_config_number = 0;
    std::int64_t m_rollout_ms = -1;
    std::int64_t m_wave_ms = -1;
};

} // namespace

} // namespace siskinpaddle::demo

/// Usage: demo_session FILE, where FILE lists the processes that demo/run.sh started.
int main(int argc, char** argv) {
    using namespace siskinpaddle;
    if (argc != 2) {
        std::cerr << "usage: demo_session FILE\n";
        return 2;
    }
    event_loop loop;
    demo::session session(loop, demo::read_session_settings(argv[1]));
    session.start();
    loop.run();
    return session.result();
}
