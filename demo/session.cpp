#include "demo/caller_fleet.hpp"
#include "demo/fleet_ledger.hpp"

#include <csignal>
#include <fstream>
#include <iostream>

namespace siskinpaddle::demo {

namespace {

constexpr milliseconds step_interval = 50ms;
constexpr milliseconds session_bound = 110s;
constexpr std::string_view credential = "association-credential-for-this-demonstration";

/// Where the session's processes are; written by demo/run.sh.
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

/// Runs the demonstration step by step: each step begins something and says when it is over.
class session {
  public:
    session(event_loop& loop, session_settings settings)
        : m_loop(loop), m_settings(std::move(settings)),
          m_callers(loop, m_settings.callers,
                    {{"GET", "/quotes/fare", "quotes", true}, {"POST", "/seats/confirm", "seats", false}},
                    8ms),
          m_ledger(loop, m_settings.platform), m_client(loop), m_timer(loop.make_timer([this] { step(); })),
          m_started(event_loop::now()) {}

    void start() {
        say("waiting for entries and pools");
        m_callers.check_entries();
        m_ledger.start();
        step();
    }

    [[nodiscard]] int result() const { return m_result; }

  private:
    struct stage {
        const char* name;
        void (session::*begin)();
        bool (session::*over)();
    };

    static const std::vector<stage>& stages() {
        static const std::vector<stage> all{
            {"start", &session::nothing, &session::pools_serve},
            {"callers", &session::start_callers, &session::answered},
            {"jobs", &session::submit_jobs, &session::answered},
            {"patch", &session::submit_good_patch, &session::patch_everywhere},
            {"stale patch", &session::submit_stale_patch, &session::answered},
            {"wave", &session::start_wave, &session::wave_over},
            {"move", &session::start_move, &session::move_over},
            {"target killed", &session::kill_target, &session::pools_whole},
            {"entry frozen", &session::freeze_entry, &session::entry_thawed},
            {"entry killed", &session::kill_entry, &session::entry_removed},
            {"entry stopped", &session::stop_entry, &session::entry_removed},
            {"jobs end", &session::nothing, &session::jobs_over},
            {"end", &session::stop_callers, &session::callers_quiet},
        };
        return all;
    }

    void say(const std::string& text) const {
        std::cout << "[" << (event_loop::now() - m_started).count() << " ms] " << text << std::endl;
    }

    void step() {
        if (event_loop::now() - m_started > session_bound) {
            say(std::string("FAILED: step '") + stages()[m_stage].name + "' is not over in time");
            m_late = true;
            finish();
            return;
        }
        if (!m_begun) {
            m_begun = true;
            m_stage_since = event_loop::now();
            (this->*stages()[m_stage].begin)();
        } else if ((this->*stages()[m_stage].over)()) {
            say(std::string("step '") + stages()[m_stage].name + "' over after " +
                std::to_string((event_loop::now() - m_stage_since).count()) + " ms");
            m_begun = false;
            if (++m_stage == stages().size()) {
                finish();
                return;
            }
        }
        m_timer->start(step_interval);
    }

    void nothing() {}

    [[nodiscard]] bool pools_whole() {
        for (const auto& [name, pool] : m_ledger.config().pools) {
            if (m_ledger.serving(name) < pool.size) {
                return false;
            }
        }
        return m_ledger.config().number > 0;
    }

    [[nodiscard]] bool pools_serve() {
        return pools_whole() && m_callers.ready_entries() == m_settings.callers.size();
    }

    void ask(const std::string& method, const std::string& target, const boost::json::value& body,
             int expected) {
        m_waiting_answers += 1;
        http_call call;
        call.to = m_settings.operators[m_operator];
        call.method = method;
        call.target = target;
        call.headers.add("Authorization", "Bearer " + std::string(credential));
        call.body = boost::json::serialize(body);
        call.timeout = 10s;
        m_client.send(std::move(call), [this, target, expected](const http_answer& answer) {
            m_waiting_answers -= 1;
            m_wrong_answers += answer.code == expected ? 0 : 1;
            say(target + " answered " + std::to_string(answer.code) + " (expected " +
                std::to_string(expected) + "): " + answer.body.substr(0, 200));
        });
    }

    [[nodiscard]] bool answered() { return m_waiting_answers == 0; }

    void patch(const boost::json::value& merge, std::uint64_t against, int expected) {
        m_patched_at = event_loop::now();
        ask("POST", "/v1/patches",
            boost::json::object{
                {"against", against}, {"write_id", "demo-" + std::to_string(++m_patches)}, {"patch", merge}},
            expected);
    }

    void submit_jobs() {
        for (int i = 0; i < 8; ++i) {
            ask("POST", "/v1/jobs",
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
        ask("POST", "/v1/jobs",
            boost::json::object{{"pool", "quotes"},
                                {"id", "job-too-large"},
                                {"team", "night"},
                                {"cpu_millicores", 9'000'000},
                                {"memory_mb", 1000}},
            200);
    }

    void submit_good_patch() {
        m_number = m_ledger.config().number;
        patch({{"pools", {{"quotes", {{"max_queue", 200}}}}}}, m_number, 200);
    }

    [[nodiscard]] bool patch_everywhere() {
        if (!answered() || m_callers.configs().size() < m_settings.callers.size()) {
            return false;
        }
        for (const auto& [entry, number] : m_callers.configs()) {
            if (number <= static_cast<std::int64_t>(m_number)) {
                return false;
            }
        }
        m_rollout_ms = (event_loop::now() - m_patched_at).count();
        return true;
    }

    void submit_stale_patch() { patch({{"pools", {{"quotes", {{"max_queue", 300}}}}}}, m_number, 409); }

    void start_wave() {
        patch({{"waves", {{"autumn", {{"pool", "seats"}, {"order", 1}, {"width", 1}}}}}}, m_number + 1, 200);
    }

    [[nodiscard]] bool wave_over() {
        if (!answered() || m_ledger.config().waves.empty()) {
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
        patch({{"pools", {{"quotes", {{"size", 2}}}, {"seats", {{"size", 4}}}}}}, m_number + 2, 200);
    }

    [[nodiscard]] bool move_over() {
        return answered() && m_ledger.serving("quotes") == 2 && m_ledger.serving("seats") >= 4;
    }

    void kill_target() {
        for (const vm_record& vm : m_ledger.fleet().vms) {
            if (vm.pool != "seats" || vm.state != vm_state::serving) {
                continue;
            }
            for (const auto& [name, pid] : m_settings.vm_pids) {
                if (name == vm.id) {
                    say("kill target " + name);
                    m_ledger.note_killed(name);
                    kill(pid, SIGKILL);
                    return;
                }
            }
        }
    }

    /// A frozen process still holds its ports, so nothing may take it for gone; it wakes and serves again.
    void freeze_entry() {
        say("freeze entry 0 for 5 s");
        m_entries_left = m_ledger.fleet().entries.size();
        kill(m_settings.entry_pids.front(), SIGSTOP);
    }

    [[nodiscard]] bool entry_thawed() {
        if (event_loop::now() - m_stage_since < 5s) {
            return false;
        }
        kill(m_settings.entry_pids.front(), SIGCONT);
        m_wrong_answers += m_ledger.fleet().entries.size() < m_entries_left ? 1 : 0;
        return m_callers.ready_entries() == m_settings.entry_pids.size();
    }

    void signal_last_entry(int signal) {
        const std::size_t index = m_settings.entry_pids.size() - 1;
        say("signal " + std::to_string(signal) + " to entry " + std::to_string(index));
        m_entries_left = m_ledger.fleet().entries.size() - 1;
        kill(m_settings.entry_pids[index], signal);
        m_settings.entry_pids.pop_back();
    }

    void kill_entry() { signal_last_entry(SIGKILL); }
    void stop_entry() { signal_last_entry(SIGTERM); }
    [[nodiscard]] bool entry_removed() { return m_ledger.fleet().entries.size() == m_entries_left; }

    [[nodiscard]] bool jobs_over() {
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
    [[nodiscard]] bool callers_quiet() { return m_callers.pending() == 0; }

    void finish() {
        const request_sums sums = sum_requests(m_callers.notes(), m_settings.target_logs);
        const boost::json::object line{{"requests", sums.requests},
                                       {"answered", sums.answered},
                                       {"not_run", sums.not_run},
                                       {"unknown", sums.unknown},
                                       {"lost", sums.lost},
                                       {"doubled", sums.doubled},
                                       {"cut", sums.cut},
                                       {"wrong_pool", sums.wrong_pool},
                                       {"false_not_run", sums.false_not_run},
                                       {"budget_breaches", m_ledger.breaches()},
                                       {"config_rollout_ms", m_rollout_ms},
                                       {"wave_ms", m_wave_ms},
                                       {"moves", m_ledger.moves() + m_ledger.job_moves()},
                                       {"buffer_vm_seconds", m_ledger.buffer_vm_seconds()}};
        std::cout << boost::json::serialize(line) << std::endl;
        const bool breach = sums.lost + sums.doubled + sums.cut + sums.wrong_pool + sums.false_not_run +
                                m_ledger.breaches() + m_wrong_answers >
                            0;
        m_result = breach || m_late || sums.answered == 0 ? 1 : 0;
        m_loop.stop();
    }

    event_loop& m_loop;
    session_settings m_settings;
    caller_fleet m_callers;
    fleet_ledger m_ledger;
    http_client m_client;
    std::unique_ptr<timer> m_timer;
    timestamp m_started;
    timestamp m_stage_since{0};
    timestamp m_patched_at{0};
    std::size_t m_stage = 0;
    std::size_t m_operator = 0;
    std::size_t m_entries_left = 0;
    bool m_begun = false;
    bool m_late = false;
    int m_waiting_answers = 0;
    int m_wrong_answers = 0;
    int m_patches = 0;
    int m_result = 1;
    std::uint64_t m_number = 0;
    std::int64_t m_rollout_ms = -1;
    std::int64_t m_wave_ms = -1;
};

} // namespace

} // namespace siskinpaddle::demo

/// Usage: demo_session FILE, where FILE lists the processes as demo/run.sh started them.
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
