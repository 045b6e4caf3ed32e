#include "bench/fleet_model.hpp"

#include <algorithm>
#include <cmath>
#include <ctime>

namespace siskinpaddle::bench {

namespace {

constexpr timestamp five_weeks = std::chrono::hours(24 * 35);
constexpr milliseconds day = std::chrono::hours(24);
constexpr milliseconds reboot_time = 5min;
constexpr milliseconds restart_away = 4min;
constexpr milliseconds failure_away = 4h;
constexpr milliseconds rack_away = 2h;
constexpr milliseconds zone_away = 1h;
constexpr milliseconds round_time = 250ms; ///< Between two steps of the real planner.
constexpr int most_rounds = 6;
constexpr milliseconds look_again = 30s;
constexpr milliseconds quiet_look_again =
    5min; ///< The real planner looks four times a second; nothing would change.

std::string numbered(const char* prefix, int number) {
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
    schedule(gap(m_shape.failures_per_day), event_kind::vm_fails);
    schedule(gap(m_shape.restarts_per_day), event_kind::vm_restarts);
    schedule(gap(m_shape.racks_per_month / 30), event_kind::rack_fails);
    schedule(gap(m_shape.zones_per_month / 30), event_kind::zone_fails);
    for (const auto& [pool, settings] : m_config.pools) {
        schedule(1min, event_kind::job_arrives, pool);
    }
}

milliseconds fleet_model::gap(double per_day) {
    const double wait = -std::log(1 - m_random.next_double()) / per_day * static_cast<double>(day.count());
    return milliseconds(std::max<std::int64_t>(1, static_cast<std::int64_t>(wait)));
}

void fleet_model::schedule(milliseconds delay, event_kind kind, std::string subject, std::uint64_t number) {
    m_events.push({m_now + delay, ++m_event_order, kind, std::move(subject), number});
}

/// Builds pools and waves; returns the VMs that the pools hold together.
std::int64_t fleet_model::build_pools() {
    // Promises differ from pool to pool; what is left of the fleet after the baseline's spares is promised,
    // so the baseline just fits, and every policy is asked for the same promises.
    std::int64_t left = m_shape.vms;
    std::vector<std::int64_t> promises;
    for (int i = 0; i < m_shape.pools; ++i) {
        const double weight = 0.5 + static_cast<double>(i) / m_shape.pools;
        const auto share =
            static_cast<std::int64_t>(static_cast<double>(m_shape.vms) / m_shape.pools * weight);
        const std::int64_t spare = std::max<std::int64_t>(2, (share + 10) / 11);
        promises.push_back(share - spare);
        left -= share;
    }
    promises.back() += left;
    std::int64_t held = 0;
    for (int i = 0; i < m_shape.pools; ++i) {
        pool_settings pool;
        pool.member = "m";
        pool.promised = promises[static_cast<std::size_t>(i)];
        pool.size = pool.promised + std::max(m_choice.own_spare_least,
                                             (pool.promised * m_choice.own_spare_percent + 99) / 100);
        const std::string name = numbered("p", i);
        if (!m_choice.one_wave) {
            m_config.waves["w-" + name] = {
                name, i + 1, std::max<std::int64_t>(1, pool.size * m_choice.width_percent / 100), 12h, false};
        }
        held += pool.size;
        m_figures.promised += pool.promised;
        m_config.pools[name] = pool;
    }
    if (m_choice.one_wave) {
        m_config.waves["w"] = {"*", 1, std::max<std::int64_t>(1, held * m_choice.width_percent / 100), 12h,
                               false};
    }
    return held;
}

std::vector<std::string> fleet_model::dealt_pools() const {
    // Baseline: pools one after another in the order of VMs. Ours: dealt round, so that a rack holds few of
    // each.
    std::vector<std::string> order;
    for (const auto& [name, pool] : m_config.pools) {
        order.insert(order.end(), static_cast<std::size_t>(pool.size), name);
    }
    if (!m_choice.planning.first_fit) {
        std::vector<std::string> dealt;
        std::map<std::string, std::int64_t> given;
        while (dealt.size() < order.size()) {
            for (const auto& [name, pool] : m_config.pools) {
                if (given[name] < pool.size) {
                    ++given[name];
                    dealt.push_back(name);
                }
            }
        }
        order = dealt;
    }
    return order;
}

void fleet_model::build_fleet() {
    m_config.number = 1;
    m_config.members["m"] = {std::string(64, '0'), true};
    m_config.teams["t"] = {"m", 1'000'000'000, 0};
    m_figures.vms = build_pools() + m_choice.shared_free;
    for (int i = 0; i < m_figures.vms; ++i) {
        vm_record vm;
        vm.id = numbered("w", i);
        vm.rack = numbered("r", i / m_shape.vms_per_rack);
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
        m_seen.listed_vms[vm.id] = item;
        m_machines[vm.id] = item;
    }
    assign_first(dealt_pools());
    for (int zone = 0; zone < m_shape.zones; ++zone) {
        const std::string name(1, static_cast<char>('a' + zone));
        m_fleet.put_entry({"e-" + name, name, "127.0.0.1", 1, "127.0.0.1", 2, 1});
    }
    m_fleet.revision = 1;
    m_seen.is_list_known = true;
}

void fleet_model::assign_first(const std::vector<std::string>& order) {
    for (std::size_t i = 0; i < order.size(); ++i) {
        m_fleet.vms[i].pool = order[i];
        m_fleet.vms[i].state = vm_state::serving;
    }
}

void fleet_model::fail(const std::string& vm, milliseconds away) {
    if (!is_up(vm)) {
        return;
    }
    m_counts_stale = true;
    m_away[vm] = m_now + away;
    m_seen.listed_vms.erase(vm);
    schedule(away, event_kind::vm_back, vm);
    for (auto& [pool, table] : m_jobs) {
        for (job_record& job : table.jobs) {
            if (job.vm == vm && may_be_running(job.state)) {
                m_truth[pool][job.id].runs_since = timestamp{0}; // Work since the last checkpoint is lost.
            }
        }
    }
}

void fleet_model::happen(const event& item) {
    const auto any_vm = [this] { return m_fleet.vms[m_random.next_below(m_fleet.vms.size())]; };
    const double scale = static_cast<double>(m_shape.vms) / 870;
    switch (item.kind) {
    case event_kind::vm_fails:
        fail(any_vm().id, failure_away);
        schedule(gap(m_shape.failures_per_day * scale), event_kind::vm_fails);
        return;
    case event_kind::vm_restarts:
        fail(any_vm().id, restart_away);
        schedule(gap(m_shape.restarts_per_day * scale), event_kind::vm_restarts);
        return;
    case event_kind::rack_fails: {
        const std::string rack = any_vm().rack;
        for (const vm_record& vm : m_fleet.vms) {
            if (vm.rack == rack) {
                fail(vm.id, rack_away);
            }
        }
        schedule(gap(m_shape.racks_per_month / 30), event_kind::rack_fails);
        return;
    }
    case event_kind::zone_fails: {
        const std::string zone = any_vm().availability_zone;
        for (const vm_record& vm : m_fleet.vms) {
            if (vm.availability_zone == zone) {
                fail(vm.id, zone_away);
            }
        }
        schedule(gap(m_shape.zones_per_month / 30), event_kind::zone_fails);
        return;
    }
    case event_kind::vm_back:
    case event_kind::reboot_ends: {
        m_counts_stale = true;
        m_away.erase(item.subject);
        const vm_record* vm = m_fleet.find_vm(item.subject);
        listed_vm& machine = m_machines[item.subject];
        machine.boot_count = std::max(machine.boot_count, vm == nullptr ? 0 : vm->boot_count) + 1;
        m_seen.listed_vms[item.subject] = machine;
        return;
    }
    case event_kind::job_arrives:
        job_arrives(item.subject);
        (void)place(item.subject);
        return;
    case event_kind::job_ends:
        job_ends(item.subject, item.number);
        return;
    case event_kind::job_stopped:
        job_stopped(item.subject, item.number);
        (void)place(item.subject.substr(0, item.subject.find('/')));
        return;
    }
}

void fleet_model::report() {
    m_seen.list_read_at = m_now;
    m_seen.tasks.clear();
    for (const auto& [pool, table] : m_jobs) {
        for (const job_record& job : table.jobs) {
            if (may_be_running(job.state)) {
                ++m_seen.tasks[job.vm];
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
        entry_report& item = m_seen.entries[entry.id];
        item.incarnation = entry.incarnation;
        item.applied_fleet = m_fleet.revision;
        item.received_at = m_now;
        item.healthy_vms = healthy;
    }
}

void fleet_model::note_planned_steps(const fleet_plan& plan) {
    for (const vm_record& vm : plan.next.vms) {
        const vm_record* before = m_fleet.find_vm(vm.id);
        if (before == nullptr) {
            continue;
        }
        m_figures.vm_moves += before->pool != vm.pool && !before->pool.empty() ? 1 : 0;
        // Judged by the model's truth, not by the planner's count: a step that leaves fewer VMs up than
        // promised.
        const bool taken = before->state == vm_state::serving && vm.state == vm_state::cordoned;
        if (!taken) {
            continue;
        }
        ++m_figures.vms_maintained;
        std::int64_t up = 0;
        for (const vm_record& other : plan.next.vms) {
            up += other.pool == vm.pool && other.state == vm_state::serving && is_up(other.id) ? 1 : 0;
        }
        m_figures.planned_breaches += up < m_config.pools[vm.pool].promised ? 1 : 0;
    }
}

bool fleet_model::plan() {
    report();
    const double begun = cpu_seconds();
    const fleet_plan plan = m_planner.step(m_config, m_fleet, m_seen, m_now);
    m_decision_seconds += cpu_seconds() - begun;
    ++m_decisions;
    for (const reboot_action& action : plan.reboots) {
        if (is_up(action.vm)) {
            m_away[action.vm] = m_now + reboot_time;
            m_seen.listed_vms.erase(action.vm);
            schedule(reboot_time, event_kind::reboot_ends, action.vm);
        }
    }
    if (!plan.changed) {
        return false;
    }
    note_planned_steps(plan);
    m_fleet = plan.next;
    m_counts_stale = true;
    return true;
}

void fleet_model::decide() {
    for (int round = 0; round < most_rounds; ++round) {
        bool changed = plan();
        for (const auto& [pool, settings] : m_config.pools) {
            changed = place(pool) || changed;
        }
        if (!changed) {
            return;
        }
        m_now += round_time;
        measure(round_time);
    }
}

bool fleet_model::in_transition() const {
    return std::any_of(m_fleet.vms.begin(), m_fleet.vms.end(), [](const vm_record& vm) {
        return vm.state != vm_state::serving && vm.state != vm_state::free && vm.state != vm_state::lost;
    });
}

void fleet_model::count_up() {
    m_up.clear();
    m_wave_left = false;
    for (const vm_record& vm : m_fleet.vms) {
        m_up[vm.pool] += vm.state == vm_state::serving && is_up(vm.id) ? 1 : 0;
        m_wave_left = m_wave_left || (vm.completed_wave == 0 && vm.state != vm_state::lost);
    }
    m_counts_stale = false;
}

void fleet_model::measure(milliseconds passed) {
    if (m_counts_stale) {
        count_up();
    }
    if (m_wave_left) {
        m_wave_over = m_now;
    }
    const auto ms = static_cast<double>(passed.count());
    for (const auto& [pool, settings] : m_config.pools) {
        const bool breached = m_up[pool] < settings.promised;
        m_figures.failure_breaches += breached && !m_breached[pool] ? 1 : 0;
        m_breached[pool] = breached;
        m_breach_vm_ms += breached ? ms * static_cast<double>(settings.promised - m_up[pool]) : 0;
    }
    m_buffer_ms += ms * static_cast<double>(m_figures.vms - m_figures.promised);
}

policy_figures fleet_model::run() {
    while (m_now < five_weeks) {
        decide();
        measure(milliseconds{0});
        const timestamp next = m_now + (in_transition() ? look_again : quiet_look_again);
        while (!m_events.empty() && m_events.top().at <= next) {
            const event item = m_events.top();
            m_events.pop();
            const timestamp at = std::max(m_now, item.at);
            measure(at - m_now);
            m_now = at;
            happen(item);
            if (m_counts_stale) {
                break; // A VM came or went: the planner sees that at its next step.
            }
        }
        if (!m_counts_stale) {
            measure(next - m_now);
            m_now = next;
        }
    }
    m_figures.buffer_ratio =
        m_buffer_ms / (static_cast<double>(m_figures.promised) * static_cast<double>(m_now.count()));
    m_figures.wave_hours = static_cast<double>(m_wave_over.count()) / 3.6e6;
    m_figures.failure_breach_vm_hours = m_breach_vm_ms / 3.6e6;
    m_figures.cpu_us_per_decision = m_decision_seconds * 1e6 / static_cast<double>(m_decisions);
    for (const auto& [pool, table] : m_jobs) {
        m_figures.jobs_left += static_cast<std::int64_t>(table.jobs.size());
        for (const job_record& job : table.jobs) {
            m_figures.job_moves += job.moves;
            m_figures.jobs_refused +=
                job.state == job_state::parked || job.state == job_state::failed ? 1 : 0;
        }
    }
    return m_figures;
}

} // namespace siskinpaddle::bench
