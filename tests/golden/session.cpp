#include "golden/session.hpp"

#include <functional>
#include <sstream>

namespace siskinpaddle::tests {

namespace {

class session_runner {
  public:
    std::string run(const std::string& script) {
        std::istringstream lines(script);
        std::string line;
        while (std::getline(lines, line)) {
            m_out << line << "\n";
            if (line.empty() || line.front() == '#') {
                continue;
            }
            std::istringstream words(line);
            std::string verb;
            words >> verb;
            const auto& verbs = event_handlers();
            const auto found = verbs.find(verb);
            if (found == verbs.end()) {
                m_out << "  ! unknown event\n";
                break;
            }
            (this->*found->second)(words);
        }
        return m_out.str();
    }

  private:
    using handler = void (session_runner::*)(std::istringstream&);

    static const std::map<std::string, handler>& event_handlers() {
        static const std::map<std::string, handler> verbs{{"pool", &session_runner::pool},
                                                          {"entry", &session_runner::entry},
                                                          {"vm", &session_runner::vm},
                                                          {"wave", &session_runner::wave},
                                                          {"step", &session_runner::step},
                                                          {"settle", &session_runner::settle},
                                                          {"report", &session_runner::report},
                                                          {"unlist", &session_runner::unlist},
                                                          {"list", &session_runner::list},
                                                          {"reboot", &session_runner::reboot},
                                                          {"busy", &session_runner::busy},
                                                          {"idle", &session_runner::idle},
                                                          {"suspect", &session_runner::suspect},
                                                          {"gone", &session_runner::gone},
                                                          {"stale-list", &session_runner::stale_list},
                                                          {"new-planner", &session_runner::new_planner},
                                                          {"pause", &session_runner::pause},
                                                          {"healthy", &session_runner::healthy},
                                                          {"job", &session_runner::job},
                                                          {"place", &session_runner::place},
                                                          {"task", &session_runner::task},
                                                          {"cancel", &session_runner::cancel},
                                                          {"request", &session_runner::request},
                                                          {"answer", &session_runner::answer},
                                                          {"patch", &session_runner::patch},
                                                          {"store", &session_runner::store},
                                                          {"route", &session_runner::route},
                                                          {"leaving", &session_runner::leaving},
                                                          {"late-planner", &session_runner::late_planner}};
        return verbs;
    }

    static std::string next_word(std::istringstream& words) {
        std::string text;
        words >> text;
        return text;
    }

    static std::int64_t next_number(std::istringstream& words) {
        return std::strtoll(next_word(words).c_str(), nullptr, 10);
    }

    void write_output(const std::string& text) { m_out << "  > " << text << "\n"; }

    void pool(std::istringstream& words) {
        const std::string name = next_word(words);
        const std::int64_t promised = next_number(words);
        m_fleet_builder.pool(name, promised, next_number(words));
    }

    void entry(std::istringstream& words) {
        const std::string id = next_word(words);
        m_fleet_builder.entry(id, next_word(words));
    }

    void vm(std::istringstream& words) {
        const std::string id = next_word(words);
        const std::string pool = next_word(words);
        const std::string zone = next_word(words);
        m_fleet_builder.vm(id, pool == "-" ? "" : pool, zone, next_word(words));
    }

    void wave(std::istringstream& words) {
        const std::string name = next_word(words);
        const std::string pool = next_word(words);
        const std::int64_t order = next_number(words);
        m_fleet_builder.wave(name, pool, order, next_number(words));
    }

    void write_plan(const fleet_plan& plan) {
        for (const plan_decision& item : plan.decisions) {
            write_output(item.vm + ": " + item.text);
        }
        for (const reboot_action& item : plan.reboots) {
            write_output("reboot " + item.operation + " for " + (item.pool.empty() ? "-" : item.pool));
        }
        for (const plan_wait& item : plan.waits) {
            write_output("waits: " + item.subject + ": " + item.reason);
        }
        for (const auto& [name, item] : plan.pools) {
            if (item.breached()) {
                write_output("BREACH " + name + ": " + std::to_string(item.available) + " of " +
                             std::to_string(item.promised));
            }
        }
    }

    void step(std::istringstream& words) {
        const std::int64_t seconds = std::max<std::int64_t>(1, next_number(words));
        m_previous_fleet = m_fleet_builder.fleet;
        m_plan = m_fleet_builder.step(m_planner, std::chrono::seconds(seconds));
        write_plan(m_plan);
    }

    void settle(std::istringstream&) { m_fleet_builder.complete_actions(m_plan); }
    void report(std::istringstream& words) { m_fleet_builder.report(next_word(words)); }
    void unlist(std::istringstream& words) { m_fleet_builder.observed.listed_vms.erase(next_word(words)); }

    void list(std::istringstream& words) {
        const std::string id = next_word(words);
        if (const vm_record* record = m_fleet_builder.fleet.find_vm(id)) {
            m_fleet_builder.add_to_list(id, *record);
        }
    }

    void leaving(std::istringstream& words) {
        m_fleet_builder.observed.listed_vms[next_word(words)].state = listing_state::leaving;
    }
    void reboot(std::istringstream& words) {
        ++m_fleet_builder.observed.listed_vms[next_word(words)].boot_count;
    }

    void busy(std::istringstream& words) {
        const std::string entry = next_word(words);
        m_fleet_builder.observed.entries[entry].busy_vms.insert(next_word(words));
    }

    void idle(std::istringstream& words) {
        m_fleet_builder.observed.entries[next_word(words)].busy_vms.clear();
    }

    void suspect(std::istringstream& words) {
        const std::string entry = next_word(words);
        m_fleet_builder.observed.entries[entry].suspect_vms.insert(next_word(words));
    }

    void healthy(std::istringstream& words) {
        const std::string entry = next_word(words);
        m_fleet_builder.observed.entries[entry].healthy_vms.insert(next_word(words));
    }

    void gone(std::istringstream& words) {
        m_fleet_builder.observed.entries[next_word(words)].has_process_ended = true;
    }

    /// stale-list SECONDS: a planning step without a new read of the VM list.
    void stale_list(std::istringstream& words) {
        m_fleet_builder.now += std::chrono::seconds(next_number(words));
        m_fleet_builder.report_all();
        m_plan = m_planner.step(m_fleet_builder.config, m_fleet_builder.fleet, m_fleet_builder.observed,
                                m_fleet_builder.now);
        if (m_plan.changed) {
            m_fleet_builder.fleet = m_plan.next;
        }
        write_plan(m_plan);
    }

    void new_planner(std::istringstream&) { m_planner = planner(); }

    /// late-planner: another planner, whose lease expired while it was paused, plans from the record before
    /// the last step. Its compare-and-swap fails because the store holds a newer version of the record.
    void late_planner(std::istringstream&) {
        planner late;
        const fleet_plan plan = late.step(m_fleet_builder.config, m_previous_fleet, m_fleet_builder.observed,
                                          m_fleet_builder.now);
        const bool can_swap = m_previous_fleet.revision == m_fleet_builder.fleet.revision;
        write_output("late planner plans revision " + std::to_string(plan.next.revision) +
                     ", the store has " + std::to_string(m_fleet_builder.fleet.revision) + ": its swap " +
                     (can_swap ? "SUCCEEDS" : "fails"));
    }

    void pause(std::istringstream& words) {
        const timestamp at(next_number(words));
        write_output(m_pause_detector.check(at) == pause_verdict::refresh_required ? "refuse until refreshed"
                                                                                   : "route");
    }

    void job(std::istringstream& words) {
        job_record record;
        record.id = next_word(words);
        record.team = "t";
        record.kind = record.id;
        record.urgency = value_named<job_urgency>(next_word(words)).value_or(job_urgency::daily);
        record.size = {static_cast<std::uint32_t>(next_number(words)), 100, 0};
        m_fleet_builder.config.teams["t"] = {"m", 1'000'000, 0};
        m_jobs.jobs.push_back(record);
    }

    void place(std::istringstream& words) {
        const std::string pool = next_word(words);
        const std::map<std::string, worker_health> workers;
        std::map<std::string, std::uint32_t> ended;
        const std::string over = next_word(words);
        if (const vm_record* record = m_fleet_builder.fleet.find_vm(over)) {
            ended[over] = record->epoch;
        }
        const placement_input input{
            m_fleet_builder.config, m_fleet_builder.fleet, pool, m_jobs, m_usage, workers, {}, ended,
            m_fleet_builder.now};
        const placement_plan plan = place_jobs(input);
        m_jobs = plan.next;
        for (const placement_decision& item : plan.decisions) {
            write_output(item.job + " on " + (item.vm.empty() ? "-" : item.vm) + ": " + item.text);
        }
        m_fleet_builder.observed.tasks.clear();
        for (const job_record& item : m_jobs.jobs) {
            if (may_be_running(item.state)) {
                ++m_fleet_builder.observed.tasks[item.vm];
            }
        }
    }

    void task(std::istringstream& words) {
        static const std::map<std::string, task_result> results{{"running", task_result::running},
                                                                {"done", task_result::done},
                                                                {"failed", task_result::failed},
                                                                {"stopped", task_result::stopped}};
        const std::string id = next_word(words);
        const auto epoch = static_cast<std::uint32_t>(next_number(words));
        const task_result result = results.at(next_word(words));
        const job_record* known = m_jobs.find(id);
        const std::string at = known->vm;
        const bool changed = apply_task_updates(m_jobs, {{id, epoch, result, at}});
        write_output(id + (changed ? " is " + std::string(name_of(m_jobs.find(id)->state)) : " ignored"));
    }

    void cancel(std::istringstream&) {
        for (job_record& item : m_jobs.jobs) {
            if (!has_ended(item.state)) {
                item.state = may_be_running(item.state) ? job_state::cancelling : job_state::cancelled;
                write_output(item.id + " " + std::string(name_of(item.state)));
            }
        }
    }

    /// request POOL DEADLINE_MS: a request passes admission and routing at the current time.
    void request(std::istringstream& words) {
        const std::string pool = next_word(words);
        const timestamp deadline = m_fleet_builder.now + milliseconds(next_number(words));
        const std::uint64_t id = ++m_next_request;
        const std::string name = "r" + std::to_string(id);
        const pool_load load{m_targets.capacity(pool, m_fleet_builder.now), m_targets.in_flight(pool), 4,
                             m_targets.has_target(pool)};
        const auto verdict = m_admission.admit({id, pool, "m", deadline}, load, m_fleet_builder.now);
        if (verdict.action == admission_action::refuse) {
            write_output(name + " refused: " + std::string(find_answer_rule(verdict.code).name));
            return;
        }
        if (verdict.action == admission_action::wait) {
            write_output(name + " waits");
            return;
        }
        const auto choice = m_targets.choose(pool, {}, m_fleet_builder.now, m_random);
        write_output(name + " to " + (choice ? choice->vm : "-"));
        if (choice) {
            m_targets.on_sent(choice->vm);
        }
    }

    /// answer VM RESULT [repeatable]: an attempt at the VM ends with this result.
    void answer(std::istringstream& words) {
        const std::string at = next_word(words);
        const auto result = value_named<attempt_result>(next_word(words)).value_or(attempt_result::answered);
        m_targets.on_finished(at, result, m_fleet_builder.now);
        m_admission.record_finished("p", "m", 20ms);
        const bool repeatable = next_word(words) == "repeatable";
        const attempt_verdict verdict = decide_next_step({result, repeatable, false, 1, 1s, true});
        static constexpr std::array<std::string_view, 3> steps{"deliver", "retry", "give up"};
        std::string text(steps[static_cast<std::size_t>(verdict.step)]);
        if (verdict.step == next_step::give_up) {
            const answer_rule& rule = find_answer_rule(verdict.code);
            text += ": " + std::string(rule.name) + ", " + std::string(name_of(rule.result));
        }
        write_output(text);
    }

    void route(std::istringstream& words) {
        m_fleet_builder.now += std::chrono::seconds(next_number(words));
        m_targets.apply(m_fleet_builder.config, m_fleet_builder.fleet, m_fleet_builder.now);
        std::string text = "suspects:";
        for (const std::string& id : m_targets.suspect_vms()) {
            text += " " + id;
        }
        write_output(text);
    }

    /// store NUMBER: sets the number of the stored configuration.
    void store(std::istringstream& words) {
        const std::string digits(64, '0');
        m_stored = {
            static_cast<std::uint64_t>(next_number(words)),
            boost::json::parse(
                R"({"members":{"kuld":{"credential_sha256":")" + digits +
                R"("},"hobe":{"credential_sha256":")" + digits +
                R"("}},"pools":{"k":{"member":"kuld","promised":1},"h":{"member":"hobe","promised":1}}})"),
            {}};
    }

    /// patch MEMBER AGAINST ID JSON: submits a merge patch based on configuration number AGAINST.
    void patch(std::istringstream& words) {
        patch_request request;
        request.member = next_word(words);
        request.base_number = static_cast<std::uint64_t>(next_number(words));
        request.write_id = next_word(words);
        std::string rest;
        std::getline(words, rest);
        request.merge_patch = boost::json::parse(rest);
        const patch_result result = apply_patch(m_stored, request);
        std::string text = std::string(name_of(result.verdict)) + " number " + std::to_string(result.number);
        for (const std::string& path : result.changed_paths) {
            text += " " + path;
        }
        write_output(text);
        for (const finding& item : result.problems.items()) {
            write_output(item.location + ": " + item.message);
        }
        if (result.verdict == patch_verdict::accepted) {
            m_stored = result.next;
        }
    }

    fleet_builder m_fleet_builder;
    planner m_planner;
    fleet_plan m_plan;
    fleet_record m_previous_fleet;
    job_table m_jobs;
    usage_estimates m_usage;
    pause_detector m_pause_detector;
    target_table m_targets{"a", routing_policy::two_choices};
    admission_controller m_admission{16, true};
    random_source m_random{3};
    std::uint64_t m_next_request = 0;
    stored_configuration m_stored;
    std::ostringstream m_out;
};

} // namespace

std::string run_session(const std::string& script) {
    return session_runner().run(script);
}

} // namespace siskinpaddle::tests
