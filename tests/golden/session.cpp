#include "golden/session.hpp"

#include <functional>
#include <sstream>

namespace siskinpaddle::tests {

namespace {

class player {
  public:
    std::string play(const std::string& script) {
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
            const auto& verbs = table();
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
    using handler = void (player::*)(std::istringstream&);

    static const std::map<std::string, handler>& table() {
        static const std::map<std::string, handler> verbs{{"pool", &player::pool},
                                                          {"entry", &player::entry},
                                                          {"vm", &player::vm},
                                                          {"wave", &player::wave},
                                                          {"step", &player::step},
                                                          {"settle", &player::settle},
                                                          {"report", &player::report},
                                                          {"unlist", &player::unlist},
                                                          {"list", &player::list},
                                                          {"reboot", &player::reboot},
                                                          {"busy", &player::busy},
                                                          {"idle", &player::idle},
                                                          {"suspect", &player::suspect},
                                                          {"gone", &player::gone},
                                                          {"stale-list", &player::stale_list},
                                                          {"new-planner", &player::fresh},
                                                          {"pause", &player::pause},
                                                          {"healthy", &player::healthy},
                                                          {"job", &player::job},
                                                          {"place", &player::place},
                                                          {"task", &player::task},
                                                          {"cancel", &player::cancel},
                                                          {"request", &player::request},
                                                          {"answer", &player::answer},
                                                          {"patch", &player::patch},
                                                          {"store", &player::store},
                                                          {"route", &player::route},
                                                          {"leaving", &player::leaving},
                                                          {"late-planner", &player::late_planner}};
        return verbs;
    }

    static std::string word(std::istringstream& words) {
        std::string text;
        words >> text;
        return text;
    }

    static std::int64_t number(std::istringstream& words) {
        return std::strtoll(word(words).c_str(), nullptr, 10);
    }

    void say(const std::string& text) { m_out << "  > " << text << "\n"; }

    void pool(std::istringstream& words) {
        const std::string name = word(words);
        const std::int64_t promised = number(words);
        m_b.pool(name, promised, number(words));
    }

    void entry(std::istringstream& words) {
        const std::string id = word(words);
        m_b.entry(id, word(words));
    }

    void vm(std::istringstream& words) {
        const std::string id = word(words);
        const std::string pool = word(words);
        const std::string zone = word(words);
        m_b.vm(id, pool == "-" ? "" : pool, zone, word(words));
    }

    void wave(std::istringstream& words) {
        const std::string name = word(words);
        const std::string pool = word(words);
        const std::int64_t order = number(words);
        m_b.wave(name, pool, order, number(words));
    }

    void show(const fleet_plan& plan) {
        for (const plan_decision& item : plan.decisions) {
            say(item.vm + ": " + item.text);
        }
        for (const reboot_action& item : plan.reboots) {
            say("reboot " + item.operation + " for " + (item.pool.empty() ? "-" : item.pool));
        }
        for (const plan_wait& item : plan.waits) {
            say("waits: " + item.subject + ": " + item.reason);
        }
        for (const auto& [name, item] : plan.pools) {
            if (item.breached()) {
                say("BREACH " + name + ": " + std::to_string(item.available) + " of " +
                    std::to_string(item.promised));
            }
        }
    }

    void step(std::istringstream& words) {
        const std::int64_t seconds = std::max<std::int64_t>(1, number(words));
        m_before = m_b.fleet;
        m_plan = m_b.step(m_planner, std::chrono::seconds(seconds));
        show(m_plan);
    }

    void settle(std::istringstream&) { m_b.settle(m_plan); }
    void report(std::istringstream& words) { m_b.report(word(words)); }
    void unlist(std::istringstream& words) { m_b.seen.listed.erase(word(words)); }

    void list(std::istringstream& words) {
        const std::string id = word(words);
        if (const vm_record* record = m_b.fleet.find_vm(id)) {
            m_b.list(id, *record);
        }
    }

    void leaving(std::istringstream& words) { m_b.seen.listed[word(words)].state = listing::leaving; }
    void reboot(std::istringstream& words) { ++m_b.seen.listed[word(words)].boot; }

    void busy(std::istringstream& words) {
        const std::string entry = word(words);
        m_b.seen.entries[entry].busy_vms.insert(word(words));
    }

    void idle(std::istringstream& words) { m_b.seen.entries[word(words)].busy_vms.clear(); }

    void suspect(std::istringstream& words) {
        const std::string entry = word(words);
        m_b.seen.entries[entry].suspect_vms.insert(word(words));
    }

    void healthy(std::istringstream& words) {
        const std::string entry = word(words);
        m_b.seen.entries[entry].healthy_vms.insert(word(words));
    }

    void gone(std::istringstream& words) { m_b.seen.entries[word(words)].process_gone = true; }

    /// A step with the list as it was read last.
    void stale_list(std::istringstream& words) {
        m_b.now += std::chrono::seconds(number(words));
        m_b.report_all();
        m_plan = m_planner.step(m_b.config, m_b.fleet, m_b.seen, m_b.now);
        if (m_plan.changed) {
            m_b.fleet = m_plan.next;
        }
        show(m_plan);
    }

    void fresh(std::istringstream&) { m_planner = planner(); }

    /// Another planner, whose lease lapsed while it was paused, wakes with the record from before the last
    /// step and plans on it. Its swap names the store's version of that record, which has gone.
    void late_planner(std::istringstream&) {
        planner late;
        const fleet_plan plan = late.step(m_b.config, m_before, m_b.seen, m_b.now);
        const bool would_swap = m_before.revision == m_b.fleet.revision;
        say("late planner plans revision " + std::to_string(plan.next.revision) + ", the store has " +
            std::to_string(m_b.fleet.revision) + ": its swap " + (would_swap ? "SUCCEEDS" : "fails"));
    }

    void pause(std::istringstream& words) {
        const timestamp at(number(words));
        say(m_pauses.check(at) == pause_verdict::refresh ? "refuse until refreshed" : "route");
    }

    void job(std::istringstream& words) {
        job_record record;
        record.id = word(words);
        record.team = "t";
        record.kind = record.id;
        record.urgency = value_named<job_urgency>(word(words)).value_or(job_urgency::daily);
        record.size = {static_cast<std::uint32_t>(number(words)), 100, 0};
        m_b.config.teams["t"] = {"m", 1'000'000, 0};
        m_jobs.jobs.push_back(record);
    }

    void place(std::istringstream& words) {
        const std::string pool = word(words);
        const std::map<std::string, worker_health> workers;
        std::map<std::string, std::uint32_t> ended;
        const std::string over = word(words);
        if (const vm_record* record = m_b.fleet.find_vm(over)) {
            ended[over] = record->epoch;
        }
        const placement_input input{m_b.config, m_b.fleet, pool,  m_jobs, m_usage,
                                    workers,    {},        ended, m_b.now};
        const placement_plan plan = place_jobs(input);
        m_jobs = plan.next;
        for (const placement_decision& item : plan.decisions) {
            say(item.job + " on " + (item.vm.empty() ? "-" : item.vm) + ": " + item.text);
        }
        m_b.seen.tasks.clear();
        for (const job_record& item : m_jobs.jobs) {
            if (may_run(item.state)) {
                ++m_b.seen.tasks[item.vm];
            }
        }
    }

    void task(std::istringstream& words) {
        static const std::map<std::string, task_result> results{{"running", task_result::running},
                                                                {"done", task_result::done},
                                                                {"failed", task_result::failed},
                                                                {"stopped", task_result::stopped}};
        const std::string id = word(words);
        const auto epoch = static_cast<std::uint32_t>(number(words));
        const task_result result = results.at(word(words));
        const job_record* known = m_jobs.find(id);
        const std::string at = known->vm;
        const bool changed = enter_task_news(m_jobs, {{id, epoch, result, at}});
        say(id + (changed ? " is " + std::string(name_of(m_jobs.find(id)->state)) : " ignored"));
    }

    void cancel(std::istringstream&) {
        for (job_record& item : m_jobs.jobs) {
            if (!has_ended(item.state)) {
                item.state = may_run(item.state) ? job_state::cancelling : job_state::cancelled;
                say(item.id + " " + std::string(name_of(item.state)));
            }
        }
    }

    /// request POOL DEADLINE_MS: through admission and routing at the present time.
    void request(std::istringstream& words) {
        const std::string pool = word(words);
        const timestamp deadline = m_b.now + milliseconds(number(words));
        const std::uint64_t id = ++m_next_request;
        const std::string name = "r" + std::to_string(id);
        const pool_load load{m_targets.capacity(pool, m_b.now), m_targets.in_flight(pool), 4,
                             m_targets.has_target(pool)};
        const auto verdict = m_door.offer({id, pool, "m", deadline}, load, m_b.now);
        if (verdict.step == admission_step::refuse) {
            say(name + " refused: " + std::string(rule_for(verdict.code).name));
            return;
        }
        if (verdict.step == admission_step::wait) {
            say(name + " waits");
            return;
        }
        const auto choice = m_targets.choose(pool, {}, m_b.now, m_random);
        say(name + " to " + (choice ? choice->vm : "-"));
        if (choice) {
            m_targets.on_sent(choice->vm);
        }
    }

    /// answer VM RESULT: an attempt at the VM ends so.
    void answer(std::istringstream& words) {
        const std::string at = word(words);
        const auto result = value_named<attempt_result>(word(words)).value_or(attempt_result::answered);
        m_targets.on_finished(at, result, m_b.now);
        m_door.finished("p", "m", 20ms);
        const bool repeatable = word(words) == "repeatable";
        const attempt_verdict verdict = decide_after({result, repeatable, false, 1, 1s, true});
        static constexpr std::array<std::string_view, 3> steps{"deliver", "retry", "give up"};
        std::string text(steps[static_cast<std::size_t>(verdict.step)]);
        if (verdict.step == next_step::give_up) {
            const answer_rule& rule = rule_for(verdict.code);
            text += ": " + std::string(rule.name) + ", " + std::string(name_of(rule.result));
        }
        say(text);
    }

    void route(std::istringstream& words) {
        m_b.now += std::chrono::seconds(number(words));
        m_targets.apply(m_b.config, m_b.fleet, m_b.now);
        std::string text = "suspects:";
        for (const std::string& id : m_targets.suspect_vms()) {
            text += " " + id;
        }
        say(text);
    }

    /// store NUMBER: the stored configuration is at this number; patch MEMBER AGAINST ID JSON.
    void store(std::istringstream& words) {
        const std::string digits(64, '0');
        m_stored = {
            static_cast<std::uint64_t>(number(words)),
            boost::json::parse(
                R"({"members":{"kuld":{"credential_sha256":")" + digits +
                R"("},"hobe":{"credential_sha256":")" + digits +
                R"("}},"pools":{"k":{"member":"kuld","promised":1},"h":{"member":"hobe","promised":1}}})"),
            {}};
    }

    void patch(std::istringstream& words) {
        patch_request request;
        request.member = word(words);
        request.against = static_cast<std::uint64_t>(number(words));
        request.write_id = word(words);
        std::string rest;
        std::getline(words, rest);
        request.merge_patch = boost::json::parse(rest);
        const patch_result result = apply_patch(m_stored, request);
        std::string text = std::string(name_of(result.verdict)) + " number " + std::to_string(result.number);
        for (const std::string& path : result.changed_paths) {
            text += " " + path;
        }
        say(text);
        for (const finding& item : result.problems.items()) {
            say(item.location + ": " + item.message);
        }
        if (result.verdict == patch_verdict::accepted) {
            m_stored = result.next;
        }
    }

    fleet_builder m_b;
    planner m_planner;
    fleet_plan m_plan;
    fleet_record m_before;
    job_table m_jobs;
    usage_estimates m_usage;
    pause_detector m_pauses;
    target_table m_targets{"a", routing_policy::two_choices};
    admission m_door{16, true};
    random_source m_random{3};
    std::uint64_t m_next_request = 0;
    stored_configuration m_stored;
    std::ostringstream m_out;
};

} // namespace

std::string play_session(const std::string& script) {
    return player().play(script);
}

} // namespace siskinpaddle::tests
