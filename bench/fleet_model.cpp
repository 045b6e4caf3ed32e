#include "bench/fleet_model.hpp"

#include <algorithm>
#include <cmath>
#include <ctime>

namespace siskinpaddle::bench {

namespace {

constexpr timestamp five_weeks = std::chrono::hours(24 * 35);
constexpr milliseconds day = std::chrono::hours(24);
constexpr milliseconds reboot_time = 5min;
constexpr milliseconds restart_downtime = 4min;
constexpr milliseconds failure_downtime = 4h;
constexpr milliseconds rack_failure_downtime = 2h;
constexpr milliseconds zone_failure_downtime = 1h;
constexpr milliseconds decision_interval = 250ms; ///< Interval between two steps of the real planner.
constexpr int max_rounds = 6;
constexpr milliseconds transition_check_interval = 30s;
/// The real planner runs four times a second; without VMs in transition a step changes nothing.
constexpr milliseconds idle_check_interval = 5min;

std::string make_numbered_id(const char* prefix, int number) {
    std::string digits = std::to_string(10'000 + number);
    return prefix + digits.substr(1);
}

} // namespace

double cpu_seconds() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

fleet_model::fleet_model(const fleet_shape& shape, const policy_choice& choice, std::uint64_t seed)
    : m_shape(shape), m_choice(choice), m_random(seed), m_planner(choice.planning) {
    build_fleet();
    schedule(draw_interval(m_shape.failures_per_day), event_kind::vm_fails);
    schedule(draw_interval(m_shape.restarts_per_day), event_kind::vm_restarts);
    schedule(draw_interval(m_shape.rack_failures_per_month / 30), event_kind::rack_fails);
    schedule(draw_interval(m_shape.zone_failures_per_month / 30), event_kind::zone_fails);
    for (const auto& [pool, settings] : m_config.pools) {
        schedule(1min, event_kind::job_arrives, pool);
    }
}

milliseconds fleet_model::draw_interval(double per_day) {
    const double interval_ms =
        -std::log(1 - m_random.next_double()) / per_day * static_cast<double>(day.count());
    return milliseconds(std::max<std::int64_t>(1, static_cast<std::int64_t>(interval_ms)));
}

void fleet_model::schedule(milliseconds delay, event_kind kind, std::string subject, std::uint64_t epoch) {
    m_events.push({m_now + delay, ++m_event_sequence, kind, std::move(subject), epoch});
}

/// Builds pools and waves; returns the total number of VMs in the pools.
std::int64_t fleet_model::build_pools() {
    // Promises differ from pool to pool. All VMs except the baseline's spares are promised, so the baseline
    // needs the whole fleet, and every policy has to meet the same promises.
    std::int64_t remaining = m_shape.vms;
    std::vector<std::int64_t> promises;
    for (int i = 0; i < m_shape.pools; ++i) {
        const double weight = 0.5 + static_cast<double>(i) / m_shape.pools;
        const auto share =
            static_cast<std::int64_t>(static_cast<double>(m_shape.vms) / m_shape.pools * weight);
        const std::int64_t spare = std::max<std::int64_t>(2, (share + 10) / 11);
        promises.push_back(share - spare);
        remaining -= share;
    }
    promises.back() += remaining;
    std::int64_t pool_vms = 0;
    for (int i = 0; i < m_shape.pools; ++i) {
        pool_settings pool;
        pool.member = "m";
        pool.promised = promises[static_cast<std::size_t>(i)];
        pool.size = pool.promised +
                    std::max(m_choice.min_spare_vms, (pool.promised * m_choice.spare_percent + 99) / 100);
        const std::string name = make_numbered_id("p", i);
        if (!m_choice.has_single_wave) {
            m_config.waves["w-" + name] = {
                name, i + 1, std::max<std::int64_t>(1, pool.size * m_choice.wave_width_percent / 100), 12h,
                false};
        }
        pool_vms += pool.size;
        m_metrics.promised += pool.promised;
        m_config.pools[name] = pool;
    }
    if (m_choice.has_single_wave) {
        m_config.waves["w"] = {
            "*", 1, std::max<std::int64_t>(1, pool_vms * m_choice.wave_width_percent / 100), 12h, false};
    }
    return pool_vms;
}

std::vector<std::string> fleet_model::compute_initial_pools() const {
    // The baseline assigns VMs in order, one pool after another. The other policies assign VMs to the pools
    // round-robin, so that a rack holds few VMs of each pool.
    std::vector<std::string> order;
    for (const auto& [name, pool] : m_config.pools) {
        order.insert(order.end(), static_cast<std::size_t>(pool.size), name);
    }
    if (!m_choice.planning.first_fit) {
        std::vector<std::string> interleaved;
        std::map<std::string, std::int64_t> assigned_counts;
        while (interleaved.size() < order.size()) {
            for (const auto& [name, pool] : m_config.pools) {
                if (assigned_counts[name] < pool.size) {
                    ++assigned_counts[name];
                    interleaved.push_back(name);
                }
            }
        }
        order = interleaved;
    }
    return order;
}

void fleet_model::build_fleet() {
    m_config.number = 1;
    m_config.members["m"] = {std::string(64, '0'), true};
    m_config.teams["t"] = {"m", 1'000'000'000, 0};
    m_metrics.vms = build_pools() + m_choice.shared_free_vms;
    for (int i = 0; i < m_metrics.vms; ++i) {
        vm_record vm;
        vm.id = make_numbered_id("w", i);
        vm.rack = make_numbered_id("r", i / m_shape.vms_per_rack);
        vm.availability_zone =
            std::string(1, static_cast<char>('a' + (i / m_shape.vms_per_rack) % m_shape.zones));
        vm.cores = 32;
        vm.memory_mb = 64'000;
        vm.boot_count = 1;
        m_fleet.vms.push_back(vm);
        listed_vm item;
        item.id = vm.id;
        item.availability_zone = vm.availability_zone;
        item.rack = vm.rack;
        item.cores = vm.cores;
        item.memory_mb = vm.memory_mb;
        item.boot_count = 1;
        m_observations.listed_vms[vm.id] = item;
        m_listed_vms[vm.id] = item;
    }
    assign_initial_pools(compute_initial_pools());
    for (int zone = 0; zone < m_shape.zones; ++zone) {
        const std::string name(1, static_cast<char>('a' + zone));
        m_fleet.put_entry({"e-" + name, name, "127.0.0.1", 1, "127.0.0.1", 2, 1});
    }
    m_fleet.revision = 1;
    m_observations.is_list_known = true;
}

void fleet_model::assign_initial_pools(const std::vector<std::string>& pools) {
    for (std::size_t i = 0; i < pools.size(); ++i) {
        m_fleet.vms[i].pool = pools[i];
        m_fleet.vms[i].state = vm_state::serving;
    }
}

void fleet_model::fail_vm(const std::string& vm, milliseconds downtime) {
    if (!is_up(vm)) {
        return;
    }
    m_counts_stale = true;
    m_down_until[vm] = m_now + downtime;
    m_observations.listed_vms.erase(vm);
    schedule(downtime, event_kind::vm_returns, vm);
    for (auto& [pool, table] : m_jobs) {
        for (job_record& job : table.jobs) {
            if (job.vm == vm && may_be_running(job.state)) {
                // Work since the last checkpoint is lost.
                m_simulated_jobs[pool][job.id].running_since = timestamp{0};
            }
        }
    }
}

void fleet_model::handle_event(const event& item) {
    const auto any_vm = [this] { return m_fleet.vms[m_random.next_below(m_fleet.vms.size())]; };
    const double scale = static_cast<double>(m_shape.vms) / 870;
    switch (item.kind) {
    case event_kind::vm_fails:
        fail_vm(any_vm().id, failure_downtime);
        schedule(draw_interval(m_shape.failures_per_day * scale), event_kind::vm_fails);
        return;
    case event_kind::vm_restarts:
        fail_vm(any_vm().id, restart_downtime);
        schedule(draw_interval(m_shape.restarts_per_day * scale), event_kind::vm_restarts);
        return;
    case event_kind::rack_fails: {
        const std::string rack = any_vm().rack;
        for (const vm_record& vm : m_fleet.vms) {
            if (vm.rack == rack) {
                fail_vm(vm.id, rack_failure_downtime);
            }
        }
        schedule(draw_interval(m_shape.rack_failures_per_month / 30), event_kind::rack_fails);
        return;
    }
    case event_kind::zone_fails: {
        const std::string zone = any_vm().availability_zone;
        for (const vm_record& vm : m_fleet.vms) {
            if (vm.availability_zone == zone) {
                fail_vm(vm.id, zone_failure_downtime);
            }
        }
        schedule(draw_interval(m_shape.zone_failures_per_month / 30), event_kind::zone_fails);
        return;
    }
    case event_kind::vm_returns:
    case event_kind::reboot_ends: {
        m_counts_stale = true;
        m_down_until.erase(item.subject);
        const vm_record* vm = m_fleet.find_vm(item.subject);
        listed_vm& listed = m_listed_vms[item.subject];
        listed.boot_count = std::max(listed.boot_count, vm == nullptr ? 0 : vm->boot_count) + 1;
        m_observations.listed_vms[item.subject] = listed;
        return;
    }
    case event_kind::job_arrives:
        handle_job_arrival(item.subject);
        (void)place_pool_jobs(item.subject);
        return;
    case event_kind::job_ends:
        handle_job_end(item.subject, item.epoch);
        return;
    case event_kind::job_stopped:
        handle_job_stopped(item.subject, item.epoch);
        (void)place_pool_jobs(item.subject.substr(0, item.subject.find('/')));
        return;
    }
}

void fleet_model::update_observations() {
    m_observations.list_read_at = m_now;
    m_observations.tasks.clear();
    for (const auto& [pool, table] : m_jobs) {
        for (const job_record& job : table.jobs) {
            if (may_be_running(job.state)) {
                ++m_observations.tasks[job.vm];
            }
        }
    }
    std::set<std::string> healthy;
    for (const vm_record& vm : m_fleet.vms) {
        if (vm.state == vm_state::returning && is_up(vm.id)) {
            healthy.insert(vm.id);
        }
    }
    for (const entry_record& entry : m_fleet.entries) {
        entry_report& item = m_observations.entries[entry.id];
        item.incarnation = entry.incarnation;
        item.applied_fleet = m_fleet.revision;
        item.received_at = m_now;
        item.healthy_vms = healthy;
    }
}

void fleet_model::record_planned_steps(const fleet_plan& plan) {
    for (const vm_record& vm : plan.next.vms) {
        const vm_record* before = m_fleet.find_vm(vm.id);
        if (before == nullptr) {
            continue;
        }
        m_metrics.vm_moves += before->pool != vm.pool && !before->pool.empty() ? 1 : 0;
        // A planned breach is a step that leaves fewer VMs up than promised. The model's own state decides
        // which VMs are up, not the planner's count.
        const bool is_taken_out = before->state == vm_state::serving && vm.state == vm_state::cordoned;
        if (!is_taken_out) {
            continue;
        }
        ++m_metrics.vms_maintained;
        std::int64_t serving_count = 0;
        for (const vm_record& other : plan.next.vms) {
            serving_count +=
                other.pool == vm.pool && other.state == vm_state::serving && is_up(other.id) ? 1 : 0;
        }
        m_metrics.planned_breaches += serving_count < m_config.pools[vm.pool].promised ? 1 : 0;
    }
}

bool fleet_model::run_planner() {
    update_observations();
    const double cpu_start = cpu_seconds();
    const fleet_plan plan = m_planner.step(m_config, m_fleet, m_observations, m_now);
    m_decision_seconds += cpu_seconds() - cpu_start;
    ++m_decision_count;
    for (const reboot_action& action : plan.reboots) {
        if (is_up(action.vm)) {
            m_down_until[action.vm] = m_now + reboot_time;
            m_observations.listed_vms.erase(action.vm);
            schedule(reboot_time, event_kind::reboot_ends, action.vm);
        }
    }
    if (!plan.changed) {
        return false;
    }
    record_planned_steps(plan);
    m_fleet = plan.next;
    m_counts_stale = true;
    return true;
}

void fleet_model::run_decision_rounds() {
    for (int round = 0; round < max_rounds; ++round) {
        bool changed = run_planner();
        for (const auto& [pool, settings] : m_config.pools) {
            changed = place_pool_jobs(pool) || changed;
        }
        if (!changed) {
            return;
        }
        m_now += decision_interval;
        accumulate_metrics(decision_interval);
    }
}

bool fleet_model::has_vms_in_transition() const {
    return std::any_of(m_fleet.vms.begin(), m_fleet.vms.end(), [](const vm_record& vm) {
        return vm.state != vm_state::serving && vm.state != vm_state::free && vm.state != vm_state::lost;
    });
}

void fleet_model::count_serving_vms() {
    m_serving_vms.clear();
    m_has_wave_remaining = false;
    for (const vm_record& vm : m_fleet.vms) {
        m_serving_vms[vm.pool] += vm.state == vm_state::serving && is_up(vm.id) ? 1 : 0;
        m_has_wave_remaining = m_has_wave_remaining || (vm.completed_wave == 0 && vm.state != vm_state::lost);
    }
    m_counts_stale = false;
}

void fleet_model::accumulate_metrics(milliseconds elapsed) {
    if (m_counts_stale) {
        count_serving_vms();
    }
    if (m_has_wave_remaining) {
        m_wave_ended_at = m_now;
    }
    const auto ms = static_cast<double>(elapsed.count());
    for (const auto& [pool, settings] : m_config.pools) {
        const bool breached = m_serving_vms[pool] < settings.promised;
        m_metrics.failure_breaches += breached && !m_breached_pools[pool] ? 1 : 0;
        m_breached_pools[pool] = breached;
        m_breach_vm_ms += breached ? ms * static_cast<double>(settings.promised - m_serving_vms[pool]) : 0;
    }
    m_buffer_vm_ms += ms * static_cast<double>(m_metrics.vms - m_metrics.promised);
}

policy_metrics fleet_model::run() {
    while (m_now < five_weeks) {
        run_decision_rounds();
        accumulate_metrics(milliseconds{0});
        const timestamp next_check =
            m_now + (has_vms_in_transition() ? transition_check_interval : idle_check_interval);
        while (!m_events.empty() && m_events.top().at <= next_check) {
            const event item = m_events.top();
            m_events.pop();
            const timestamp at = std::max(m_now, item.at);
            accumulate_metrics(at - m_now);
            m_now = at;
            handle_event(item);
            if (m_counts_stale) {
                break; // A VM went down or returned; the planner handles it at its next step.
            }
        }
        if (!m_counts_stale) {
            accumulate_metrics(next_check - m_now);
            m_now = next_check;
        }
    }
    m_metrics.buffer_ratio =
        m_buffer_vm_ms / (static_cast<double>(m_metrics.promised) * static_cast<double>(m_now.count()));
    m_metrics.wave_hours = static_cast<double>(m_wave_ended_at.count()) / 3.6e6;
    m_metrics.failure_breach_vm_hours = m_breach_vm_ms / 3.6e6;
    m_metrics.cpu_us_per_decision = m_decision_seconds * 1e6 / static_cast<double>(m_decision_count);
    for (const auto& [pool, table] : m_jobs) {
        m_metrics.jobs_left += static_cast<std::int64_t>(table.jobs.size());
        for (const job_record& job : table.jobs) {
            m_metrics.job_moves += job.moves;
            m_metrics.jobs_refused +=
                job.state == job_state::parked || job.state == job_state::failed ? 1 : 0;
        }
    }
    return m_metrics;
}

} // namespace siskinpaddle::bench
