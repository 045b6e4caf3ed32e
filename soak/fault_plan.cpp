#include "soak/fault_plan.hpp"

#include <algorithm>
#include <random>

namespace siskinpaddle::soak {

namespace {

/// Maximum time between two starts of random faults. Most faults last longer, so that faults overlap.
constexpr std::int64_t max_gap_ms = 1500;
/// One in so many start times has several faults that start together.
constexpr std::uint32_t burst_one_in = 3;
constexpr std::uint32_t max_faults_in_burst = 3;
/// Durations of random faults: from less than a retry delay to more than the store's leases plus the time
/// that an owner acts beyond them.
constexpr std::int64_t min_fault_ms = 200;
constexpr std::int64_t max_fault_ms = 8000;

/// Kinds with a periodic schedule and a random sequence of their own, so that they don't change the random
/// faults of a seed.
constexpr std::size_t periodic_kinds = 14;
constexpr std::size_t random_kinds = enum_names<fault_kind>.size() - periodic_kinds;
/// Combined with the seed, so that periodic faults use a different random sequence.
constexpr std::uint64_t inbox_fault_seed = 0x510;
constexpr std::uint64_t vm_fault_seed = 0x5148;
/// One node becomes slow per interval, at a random time in its first two seconds, for 6 to 9 s. That is
/// longer than the time after which a count must include a job, and includes a burst of jobs. Mostly two of
/// the three nodes are slow at a time, so that the owner of their only pool is often slow while an entry is
/// not.
constexpr std::int64_t slow_interval_ms = 3750;
constexpr std::int64_t slow_start_window_ms = 2000;
constexpr std::int64_t min_slow_ms = 6000;
constexpr std::int64_t max_slow_ms = 9000;
/// Writes of job records are held once per interval, starting in its first four seconds, for 8 to 10 s. That
/// is some seconds longer than the time after which a count must include a job, and includes a burst of jobs.
constexpr std::int64_t hold_interval_ms = 15'000;
constexpr std::int64_t hold_start_window_ms = 4000;
constexpr std::int64_t min_hold_ms = 8000;
constexpr std::int64_t max_hold_ms = 10'000;

bool is_momentary(fault_kind kind) {
    return kind == fault_kind::store_compact || kind == fault_kind::store_leases_lapse ||
           kind == fault_kind::new_configuration;
}

/// When a periodic fault may start within each interval of a plan, and how long it may last.
struct periodic_schedule {
    std::int64_t interval_ms = 0;
    std::int64_t start_window_ms = 0;
    std::int64_t min_duration_ms = 0;
    std::int64_t max_duration_ms = 0;
};

void add_periodic_faults(std::vector<planned_fault>& plan, fault_kind kind, const periodic_schedule& schedule,
                         std::mt19937_64& random, milliseconds length) {
    const auto random_below = [&random](std::int64_t bound) {
        return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(bound));
    };
    for (milliseconds interval_start(0); interval_start < length;
         interval_start += milliseconds(schedule.interval_ms)) {
        planned_fault item;
        item.kind = kind;
        item.start_offset = interval_start + milliseconds(random_below(schedule.start_window_ms));
        item.duration = milliseconds(schedule.min_duration_ms +
                                     random_below(schedule.max_duration_ms - schedule.min_duration_ms));
        item.target = static_cast<std::uint32_t>(random() % (1U << 16U));
        plan.push_back(item);
    }
}

/// Adds faults during which an owner renews its claim and answers calls, but transfers jobs from the inbox
/// seconds late: the owner lacks processor time, or the store holds its writes.
void add_inbox_faults(std::vector<planned_fault>& plan, std::uint64_t seed, milliseconds length) {
    std::mt19937_64 random(seed ^ inbox_fault_seed);
    add_periodic_faults(plan, fault_kind::node_slow,
                        {slow_interval_ms, slow_start_window_ms, min_slow_ms, max_slow_ms}, random, length);
    add_periodic_faults(plan, fault_kind::store_holds_jobs,
                        {hold_interval_ms, hold_start_window_ms, min_hold_ms, max_hold_ms}, random, length);
}

/// Adds VM faults other than crashes, and reloads of nodes. A VM stays shrunk for longer than the time after
/// which the smaller capacity is in force.
void add_vm_faults(std::vector<planned_fault>& plan, std::uint64_t seed, milliseconds length) {
    constexpr std::array schedules{
        std::pair{fault_kind::vm_shrinks, periodic_schedule{5000, 3000, 5000, 9000}},
        std::pair{fault_kind::vm_fails_runs, periodic_schedule{8000, 5000, 1500, 4000}},
        std::pair{fault_kind::vm_late_orders, periodic_schedule{6000, 4000, 2000, 5000}},
        std::pair{fault_kind::vm_drains, periodic_schedule{9000, 6000, 3000, 5000}},
        std::pair{fault_kind::node_reloads, periodic_schedule{4000, 4000, 1, 2}},
        std::pair{fault_kind::vm_restarts, periodic_schedule{8000, 6000, 1, 2}},
        std::pair{fault_kind::vm_restarts_cut, periodic_schedule{12'000, 8000, 300, 4000}},
        std::pair{fault_kind::vm_restarts_late, periodic_schedule{9000, 7000, 400, 1500}},
        std::pair{fault_kind::accounts_change, periodic_schedule{3500, 3000, 1, 2}},
        std::pair{fault_kind::store_connections_silent, periodic_schedule{6000, 5000, 1, 2}},
        // The interval of the bursts of jobs, which last a second.
        std::pair{fault_kind::vm_starts_unanswered, periodic_schedule{4800, 500, 1500, 3000}},
        // Longer than the longest lease of a VM, so that a run that starts elsewhere too early shows.
        std::pair{fault_kind::vm_restarts_then_cut, periodic_schedule{7000, 5000, 10'000, 12'000}},
    };
    for (const auto& [kind, schedule] : schedules) {
        std::mt19937_64 random(seed ^ (vm_fault_seed << static_cast<std::uint64_t>(kind)));
        add_periodic_faults(plan, kind, schedule, random, length);
    }
}

} // namespace

bool is_node_fault(fault_kind kind) noexcept {
    return kind == fault_kind::node_kill || kind == fault_kind::node_term || kind == fault_kind::node_pause ||
           kind == fault_kind::node_slow;
}

std::vector<planned_fault> make_plan(std::uint64_t seed, milliseconds length) {
    std::mt19937_64 random(seed);
    // The results of the standard library's distributions differ between implementations.
    const auto random_below = [&random](std::uint64_t bound) { return random() % bound; };
    std::vector<planned_fault> plan;
    milliseconds start_offset(0);
    while (true) {
        start_offset += milliseconds(static_cast<std::int64_t>(random_below(max_gap_ms)));
        if (start_offset >= length) {
            add_inbox_faults(plan, seed, length);
            add_vm_faults(plan, seed, length);
            std::ranges::stable_sort(plan, {}, &planned_fault::start_offset);
            return plan;
        }
        const std::uint64_t fault_count =
            random_below(burst_one_in) == 0 ? 2 + random_below(max_faults_in_burst - 1) : 1;
        for (std::uint64_t i = 0; i < fault_count; ++i) {
            planned_fault item;
            item.start_offset = start_offset;
            item.kind = enum_names<fault_kind>.at(random_below(random_kinds)).first;
            item.target = static_cast<std::uint32_t>(random_below(1U << 16U));
            const auto duration_ms =
                min_fault_ms + static_cast<std::int64_t>(random_below(max_fault_ms - min_fault_ms));
            item.duration = milliseconds(is_momentary(item.kind) ? 0 : duration_ms);
            plan.push_back(item);
        }
    }
}

} // namespace siskinpaddle::soak
