#include "control/planner_task.hpp"

namespace siskinpaddle {

namespace {

constexpr milliseconds plan_interval = 250ms;
constexpr milliseconds lease_time = 4s;
constexpr milliseconds lease_renewal = 1300ms;
/// Those that don't hold the lease ask more seldom the more they are, so that the store's load stays bounded.
constexpr milliseconds least_lease_attempt = 2s;
constexpr milliseconds lease_attempt_per_entry = 40ms;
constexpr milliseconds list_interval = 1s;
constexpr milliseconds reboot_repeat = 2s;
/// What fleet records written and VM lists read may cost on average: below the 25 KB a second that a node may
/// spend on control in all. The burst lets a failure's few changes go through at once at 870 VMs.
constexpr std::int64_t control_bytes_per_second = 16'000;
constexpr std::int64_t control_burst = 400'000;
/// A record that is written comes back once, by the watch of this entry's zone.
constexpr std::int64_t copies_of_a_write = 2;
constexpr std::string_view control_lease = "control";

} // namespace

planner_task::planner_task(event_loop& loop, const entry_settings& settings, platform_client& platform,
                           state_task& state, metrics& counters)
    : m_settings(settings), m_platform(platform), m_state(state), m_metrics(counters),
      m_bytes(control_bytes_per_second, control_burst), m_timer(loop.make_timer([this] { tick(); })) {}

void planner_task::start() {
    tick();
}

void planner_task::stop() {
    m_stopped = true;
    if (m_summary.in_control) {
        m_platform.release_lease(std::string(control_lease));
    }
    m_summary = {};
}

void planner_task::tick() {
    if (m_stopped) {
        return;
    }
    const timestamp now = event_loop::now();
    if (!m_renewing && now >= m_next_renewal && m_state.registered()) {
        renew_lease();
    }
    const bool held = m_state.registered() && now < m_lease_until;
    if (held != m_summary.in_control) {
        log_event(held ? event_id::control_taken : event_id::control_lost);
        m_summary = {};
        m_summary.in_control = held;
        m_planner = planner();
        m_seen = {};
        m_platform.forget_list();
        m_grace_since.clear();
        m_placed.clear();
    }
    if (held) {
        if (!m_listing && now >= m_next_list && m_bytes.allows(now)) {
            read_list();
        }
        m_state.probe_silent();
        if (!m_writing && m_bytes.allows(now)) {
            plan();
        }
        place();
    }
    m_timer->start(plan_interval);
}

void planner_task::renew_lease() {
    m_renewing = true;
    // Counted from before the call: the platform's time-to-live can only have begun later.
    const timestamp asked = event_loop::now();
    m_platform.acquire_lease(
        std::string(control_lease), lease_time, [this, asked](const lease_answer& answer) {
            m_renewing = false;
            const auto entries = static_cast<std::int64_t>(m_state.fleet().entries.size());
            const milliseconds attempt =
                std::max<milliseconds>(least_lease_attempt, entries * lease_attempt_per_entry);
            m_next_renewal = asked + (answer.held ? lease_renewal : attempt);
            if (answer.held) {
                m_lease_until = asked + lease_time;
            }
        });
}

void planner_task::read_list() {
    m_listing = true;
    m_platform.list_vms([this](store_status status, std::vector<listed_vm> vms) {
        m_listing = false;
        const timestamp now = event_loop::now();
        m_next_list = now + list_interval;
        if (status == store_status::unchanged) {
            m_seen.list_read_at = now;
        }
        if (status != store_status::ok) {
            return;
        }
        m_bytes.consume(static_cast<std::int64_t>(m_platform.list_bytes()));
        m_seen.is_list_known = true;
        m_seen.list_read_at = now;
        m_seen.listed_vms.clear();
        for (listed_vm& vm : vms) {
            const std::string id = vm.id;
            m_seen.listed_vms.emplace(id, std::move(vm));
        }
    });
}

void planner_task::count_tasks() {
    m_seen.tasks.clear();
    for (const auto& [pool, settings] : m_state.config().pools) {
        for (const job_record& job : m_state.values().jobs(pool).jobs) {
            if (may_be_running(job.state)) {
                ++m_seen.tasks[job.vm];
            }
        }
    }
}

void planner_task::plan() {
    if (m_state.config().number == 0) {
        return;
    }
    const timestamp now = event_loop::now();
    m_seen.entries = m_state.reports();
    count_tasks();
    note_ended_tasks(now);
    m_planner.set_options(planner_options_for(m_state.config().weights));
    fleet_record fleet = m_state.fleet();
    fleet.planner = m_settings.id;
    fleet_plan plan = m_planner.step(m_state.config(), fleet, m_seen, now);
    log_plan(plan);
    m_summary.waits = plan.waits;
    m_summary.pools = plan.pools;
    if (plan.changed || fleet.planner != m_state.fleet().planner) {
        plan.next.revision = m_state.fleet().revision + 1;
        write(plan);
        return;
    }
    ask_reboots(plan.reboots);
}

void planner_task::log_plan(const fleet_plan& plan) {
    for (const plan_decision& decision : plan.decisions) {
        log_event(event_id::plan_decision,
                  {{"vm", decision.vm}, {"decision", decision.text}, {"fleet", plan.next.revision}});
    }
    for (const plan_wait& wait : plan.waits) {
        if (std::find(m_summary.waits.begin(), m_summary.waits.end(), wait) == m_summary.waits.end()) {
            log_event(event_id::plan_wait, {{"what", wait.subject}, {"reason", wait.reason}});
        }
    }
    for (const auto& [name, pool] : plan.pools) {
        const auto before = m_summary.pools.find(name);
        if (pool.breached() && (before == m_summary.pools.end() || !before->second.breached())) {
            log_event(event_id::pool_breached,
                      {{"pool", name}, {"available", pool.available}, {"promised", pool.promised}});
        }
    }
}

void planner_task::write(const fleet_plan& plan) {
    m_writing = true;
    fleet_record next = plan.next;
    next.write_id =
        m_settings.id + "-" + std::to_string(m_state.incarnation()) + "-" + std::to_string(next.revision);
    const std::string bytes = encode_fleet(next);
    m_bytes.consume(copies_of_a_write * static_cast<std::int64_t>(bytes.size()));
    m_platform.put(
        std::string(fleet_value), m_state.values().store_version(fleet_value), bytes, milliseconds{0},
        [this, bytes, revision = next.revision](const store_answer& answer) {
            m_writing = false;
            if (answer.status == store_status::ok) {
                log_event(event_id::plan_written, {{"fleet", revision}, {"bytes", bytes.size()}});
                m_state.adopt(std::string(fleet_value), {answer.value.version, bytes});
                return;
            }
            log_event(event_id::plan_conflict, {{"fleet", revision}, {"status", name_of(answer.status)}});
            // Lost swap or lost answer alike: plan again from what the store holds now.
            m_state.refresh([](bool) {});
        });
}

void planner_task::ask_reboots(const std::vector<reboot_action>& reboots) {
    const timestamp now = event_loop::now();
    std::map<std::string, timestamp> asked;
    for (const reboot_action& action : reboots) {
        const auto before = m_reboots_asked.find(action.operation);
        if (before != m_reboots_asked.end() && now - before->second < reboot_repeat) {
            asked.insert(*before);
            continue;
        }
        asked[action.operation] = now;
        log_event(event_id::vm_reboot_asked, {{"vm", action.vm}, {"operation", action.operation}});
        m_platform.reboot(action, [](store_status) {});
    }
    m_reboots_asked = std::move(asked);
}

/// A job's VM was lost or restarted under it when the VM's epoch is above the job's. Its task has certainly
/// ended once no entry can renew the lease any more, which each shows by having applied that epoch, and the
/// lease has run out.
void planner_task::note_ended_tasks(timestamp now) {
    std::map<std::string, std::pair<std::uint32_t, timestamp>> graces;
    m_ended_tasks.clear();
    for (const auto& [id, count] : m_seen.tasks) {
        const vm_record* vm = m_state.fleet().find_vm(id);
        if (vm == nullptr || !find_entries_behind(m_state.fleet(), m_seen, vm->state_revision).empty()) {
            continue;
        }
        const auto known = m_grace_since.find(id);
        const bool same = known != m_grace_since.end() && known->second.first == vm->epoch;
        graces[id] = same ? known->second : std::pair(vm->epoch, now);
        if (now - graces[id].second >= task_lease + task_lease_margin) {
            m_ended_tasks[id] = vm->epoch;
        }
    }
    m_grace_since = std::move(graces);
}

std::map<std::string, job_size> planner_task::team_use(const std::string& except_pool) const {
    std::map<std::string, job_size> use;
    for (const auto& [pool, settings] : m_state.config().pools) {
        if (pool == except_pool) {
            continue;
        }
        for (const job_record& job : m_state.values().jobs(pool).jobs) {
            if (may_be_running(job.state)) {
                use[job.team].cpu_millicores += job.size.cpu_millicores;
                use[job.team].accelerators += job.size.accelerators;
            }
        }
    }
    return use;
}

void planner_task::place() {
    for (const auto& [pool, settings] : m_state.config().pools) {
        if (!m_placing.contains(pool) && !m_state.values().jobs(pool).jobs.empty()) {
            place_pool(pool);
        }
    }
}

void planner_task::place_pool(const std::string& pool) {
    const job_table& table = m_state.values().jobs(pool);
    const timestamp now = event_loop::now();
    for (const std::string& vm : m_workers.update(pool, table, now)) {
        log_event(event_id::worker_set_aside, {{"vm", vm}, {"pool", pool}});
    }
    m_usage.update_from_table(pool, table);
    const placement_input input{m_state.config(),
                                m_state.fleet(),
                                pool,
                                table,
                                m_usage,
                                m_workers.workers(),
                                team_use(pool),
                                m_ended_tasks,
                                now,
                                placement_options_for(m_state.config().weights)};
    placement_plan plan = place_jobs(input);
    if (!plan.changed) {
        return;
    }
    for (const placement_decision& decision : plan.decisions) {
        log_event(event_id::job_decision, {{"pool", pool},
                                           {"job", decision.job},
                                           {"vm", decision.vm.empty() ? "-" : decision.vm},
                                           {"decision", decision.text}});
    }
    m_metrics.increment("placement_decisions", plan.decisions.size());
    m_placing.insert(pool);
    const std::string name = std::string(jobs_prefix) + pool;
    const std::string bytes = encode_jobs(plan.next);
    m_platform.put(name, m_state.values().store_version(name), bytes, milliseconds{0},
                   [this, pool, name, bytes](const store_answer& answer) {
                       if (answer.status == store_status::ok) {
                           m_placing.erase(pool);
                           m_state.adopt(name, {answer.value.version, bytes});
                           return;
                       }
                       m_platform.get(name, [this, pool, name](const store_answer& current) {
                           m_placing.erase(pool);
                           if (current.status == store_status::ok) {
                               m_state.adopt(name, current.value);
                           }
                       });
                   });
}

} // namespace siskinpaddle
