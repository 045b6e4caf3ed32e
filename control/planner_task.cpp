#include "control/planner_task.hpp"

namespace siskinpaddle {

namespace {

constexpr milliseconds plan_interval = 250ms;
constexpr milliseconds control_lease_duration = 4s;
constexpr milliseconds lease_renewal_interval = 1300ms;
/// The interval at which an entry without the control lease tries to acquire it grows with the number of
/// entries, so that the load on the store stays bounded.
constexpr milliseconds min_lease_attempt_interval = 2s;
constexpr milliseconds lease_attempt_interval_per_entry = 40ms;
constexpr milliseconds list_read_interval = 1s;
constexpr milliseconds reboot_retry_interval = 2s;
/// Average rate of the bytes of written fleet records and read VM lists. It is below the 25 KB per second
/// that a node may use for all control traffic. The burst allows the few changes that follow a failure to be
/// written immediately in a fleet of 870 VMs.
constexpr std::int64_t control_bytes_per_second = 16'000;
constexpr std::int64_t control_burst_bytes = 400'000;
/// Each written record is transferred twice: the write sends it, and the watch of this entry's zone returns
/// it.
constexpr std::int64_t copies_per_write = 2;
constexpr std::string_view control_lease_name = "control";

} // namespace

planner_task::planner_task(event_loop& loop, const entry_settings& settings, platform_client& platform,
                           state_task& state, metrics& counters)
    : m_settings(settings), m_platform(platform), m_state(state), m_metrics(counters),
      m_byte_budget(control_bytes_per_second, control_burst_bytes),
      m_timer(loop.make_timer([this] { tick(); })) {}

void planner_task::start() {
    tick();
}

void planner_task::stop() {
    m_stopped = true;
    if (m_summary.holds_control_lease) {
        m_platform.release_lease(std::string(control_lease_name));
    }
    m_summary = {};
}

void planner_task::tick() {
    if (m_stopped) {
        return;
    }
    const timestamp now = event_loop::now();
    if (!m_renewing && now >= m_next_renewal_at && m_state.is_registered()) {
        renew_lease();
    }
    const bool held = m_state.is_registered() && now < m_lease_expires_at;
    if (held != m_summary.holds_control_lease) {
        log_event(held ? event_id::control_taken : event_id::control_lost);
        m_summary = {};
        m_summary.holds_control_lease = held;
        m_planner = planner();
        m_observations = {};
        m_platform.reset_list_tag();
        m_lease_wait_starts.clear();
        m_placed.clear();
    }
    if (held) {
        if (!m_reading_list && now >= m_next_list_read_at && m_byte_budget.allows(now)) {
            read_vm_list();
        }
        m_state.probe_silent_entries();
        if (!m_writing && m_byte_budget.allows(now)) {
            plan_fleet();
        }
        place_all_pools();
    }
    m_timer->start(plan_interval);
}

void planner_task::renew_lease() {
    m_renewing = true;
    // The lease is counted from before the call, because the platform starts its time-to-live later.
    const timestamp requested_at = event_loop::now();
    m_platform.acquire_lease(
        std::string(control_lease_name), control_lease_duration,
        [this, requested_at](const lease_answer& answer) {
            m_renewing = false;
            const auto entries = static_cast<std::int64_t>(m_state.fleet().entries.size());
            const milliseconds attempt_interval = std::max<milliseconds>(
                min_lease_attempt_interval, entries * lease_attempt_interval_per_entry);
            m_next_renewal_at = requested_at + (answer.is_held ? lease_renewal_interval : attempt_interval);
            if (answer.is_held) {
                m_lease_expires_at = requested_at + control_lease_duration;
            }
        });
}

void planner_task::read_vm_list() {
    m_reading_list = true;
    m_platform.list_vms([this](store_status status, std::vector<listed_vm> vms) {
        m_reading_list = false;
        const timestamp now = event_loop::now();
        m_next_list_read_at = now + list_read_interval;
        if (status == store_status::unchanged) {
            m_observations.list_read_at = now;
        }
        if (status != store_status::ok) {
            return;
        }
        m_byte_budget.consume(static_cast<std::int64_t>(m_platform.list_bytes()));
        m_observations.is_list_known = true;
        m_observations.list_read_at = now;
        m_observations.listed_vms.clear();
        for (listed_vm& vm : vms) {
            const std::string id = vm.id;
            m_observations.listed_vms.emplace(id, std::move(vm));
        }
    });
}

void planner_task::count_tasks() {
    m_observations.tasks.clear();
    for (const auto& [pool, settings] : m_state.config().pools) {
        for (const job_record& job : m_state.values().jobs(pool).jobs) {
            if (may_be_running(job.state)) {
                ++m_observations.tasks[job.vm];
            }
        }
    }
}

void planner_task::plan_fleet() {
    if (m_state.config().number == 0) {
        return;
    }
    const timestamp now = event_loop::now();
    m_observations.entries = m_state.reports();
    count_tasks();
    record_ended_tasks(now);
    m_planner.set_options(planner_options_for(m_state.config().weights));
    fleet_record fleet = m_state.fleet();
    fleet.planner = m_settings.id;
    fleet_plan plan = m_planner.step(m_state.config(), fleet, m_observations, now);
    log_plan(plan);
    m_summary.waits = plan.waits;
    m_summary.pools = plan.pools;
    if (plan.changed || fleet.planner != m_state.fleet().planner) {
        plan.next.revision = m_state.fleet().revision + 1;
        write_plan(plan);
        return;
    }
    request_reboots(plan.reboots);
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
        const auto previous = m_summary.pools.find(name);
        if (pool.breached() && (previous == m_summary.pools.end() || !previous->second.breached())) {
            log_event(event_id::pool_breached,
                      {{"pool", name}, {"available", pool.available}, {"promised", pool.promised}});
        }
    }
}

void planner_task::write_plan(const fleet_plan& plan) {
    m_writing = true;
    fleet_record next = plan.next;
    next.write_id =
        m_settings.id + "-" + std::to_string(m_state.incarnation()) + "-" + std::to_string(next.revision);
    const std::string bytes = encode_fleet(next);
    m_byte_budget.consume(copies_per_write * static_cast<std::int64_t>(bytes.size()));
    m_platform.put(
        std::string(fleet_value), m_state.values().store_version(fleet_value), bytes, milliseconds{0},
        [this, bytes, revision = next.revision](const store_answer& answer) {
            m_writing = false;
            if (answer.status == store_status::ok) {
                log_event(event_id::plan_written, {{"fleet", revision}, {"bytes", bytes.size()}});
                m_state.apply_value(std::string(fleet_value), {answer.value.version, bytes});
                return;
            }
            log_event(event_id::plan_conflict, {{"fleet", revision}, {"status", name_of(answer.status)}});
            // After a failed swap and after a lost answer alike, the next plan starts from the stored record.
            m_state.refresh([](bool) {});
        });
}

void planner_task::request_reboots(const std::vector<reboot_action>& reboots) {
    const timestamp now = event_loop::now();
    std::map<std::string, timestamp> requested;
    for (const reboot_action& action : reboots) {
        const auto previous = m_reboot_requests.find(action.operation);
        if (previous != m_reboot_requests.end() && now - previous->second < reboot_retry_interval) {
            requested.insert(*previous);
            continue;
        }
        requested[action.operation] = now;
        log_event(event_id::vm_reboot_asked, {{"vm", action.vm}, {"operation", action.operation}});
        m_platform.reboot(action, [](store_status) {});
    }
    m_reboot_requests = std::move(requested);
}

/// A VM epoch above the one recorded in a job means that the VM was lost or restarted while it ran the job.
/// The job's task is confirmed to have ended when every entry has reported the fleet revision with the new VM
/// epoch as applied, so that none renews the task lease any more, and the lease has expired since then.
void planner_task::record_ended_tasks(timestamp now) {
    std::map<std::string, std::pair<std::uint32_t, timestamp>> wait_starts;
    m_ended_tasks.clear();
    for (const auto& [id, count] : m_observations.tasks) {
        const vm_record* vm = m_state.fleet().find_vm(id);
        if (vm == nullptr ||
            !find_entries_behind(m_state.fleet(), m_observations, vm->state_revision).empty()) {
            continue;
        }
        const auto known = m_lease_wait_starts.find(id);
        const bool is_same_epoch = known != m_lease_wait_starts.end() && known->second.first == vm->epoch;
        wait_starts[id] = is_same_epoch ? known->second : std::pair(vm->epoch, now);
        if (now - wait_starts[id].second >= task_lease_duration + task_lease_margin) {
            m_ended_tasks[id] = vm->epoch;
        }
    }
    m_lease_wait_starts = std::move(wait_starts);
}

std::map<std::string, job_size> planner_task::compute_team_usage(const std::string& excluded_pool) const {
    std::map<std::string, job_size> usage;
    for (const auto& [pool, settings] : m_state.config().pools) {
        if (pool == excluded_pool) {
            continue;
        }
        for (const job_record& job : m_state.values().jobs(pool).jobs) {
            if (may_be_running(job.state)) {
                usage[job.team].cpu_millicores += job.size.cpu_millicores;
                usage[job.team].accelerators += job.size.accelerators;
            }
        }
    }
    return usage;
}

void planner_task::place_all_pools() {
    for (const auto& [pool, settings] : m_state.config().pools) {
        if (!m_pools_being_written.contains(pool) && !m_state.values().jobs(pool).jobs.empty()) {
            place_pool(pool);
        }
    }
}

void planner_task::place_pool(const std::string& pool) {
    const job_table& table = m_state.values().jobs(pool);
    const timestamp now = event_loop::now();
    for (const std::string& vm : m_worker_health.update(pool, table, now)) {
        log_event(event_id::worker_set_aside, {{"vm", vm}, {"pool", pool}});
    }
    m_usage.update_from_table(pool, table);
    const placement_input input{m_state.config(),
                                m_state.fleet(),
                                pool,
                                table,
                                m_usage,
                                m_worker_health.workers(),
                                compute_team_usage(pool),
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
    m_pools_being_written.insert(pool);
    const std::string name = std::string(jobs_prefix) + pool;
    const std::string bytes = encode_jobs(plan.next);
    m_platform.put(name, m_state.values().store_version(name), bytes, milliseconds{0},
                   [this, pool, name, bytes](const store_answer& answer) {
                       if (answer.status == store_status::ok) {
                           m_pools_being_written.erase(pool);
                           m_state.apply_value(name, {answer.value.version, bytes});
                           return;
                       }
                       m_platform.get(name, [this, pool, name](const store_answer& current) {
                           m_pools_being_written.erase(pool);
                           if (current.status == store_status::ok) {
                               m_state.apply_value(name, current.value);
                           }
                       });
                   });
}

} // namespace siskinpaddle
