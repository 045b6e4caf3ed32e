#include "soak/fault_plan.hpp"

#include <algorithm>
#include <random>

namespace siskinpaddle::soak {

namespace {

/// Between two moments at which faults begin; shorter than most faults last, so that they overlap.
constexpr std::int64_t longest_gap_ms = 1500;
/// One moment in so many has several faults at once.
constexpr std::uint32_t burst_one_in = 3;
constexpr std::uint32_t most_in_burst = 3;
/// From below a retry's pause to past the leases of the store and the time that an owner acts beyond them.
constexpr std::int64_t shortest_ms = 200;
constexpr std::int64_t longest_ms = 8000;

/// Kinds that are drawn by themselves, so that they leave the rest of a seed's plan as it is.
constexpr std::size_t kinds_apart = 7;
constexpr std::size_t kinds = enum_names<fault_kind>.size() - kinds_apart;
/// Another sequence than that of the seed itself.
constexpr std::uint64_t apart_seed = 0x510;
constexpr std::uint64_t vm_seed = 0x5148;
/// Slow nodes begin so often, from the first two seconds of each such part of the plan on, and stay so for 6
/// to 9 s: past the time after which a count must hold a job, with a burst of jobs in it. Mostly two are slow
/// at a time, so that the owner of the three nodes' one pool is often among them and an entry is not.
constexpr std::int64_t slow_every_ms = 3750;
constexpr std::int64_t slow_begins_ms = 2000;
constexpr std::int64_t shortest_slow_ms = 6000;
constexpr std::int64_t longest_slow_ms = 9000;
/// Records of jobs are held once in each such part of the plan, from its first four seconds on, for 8 to 10
/// s: past the time after which a count must hold a job by some seconds, with a burst of jobs among them.
constexpr std::int64_t hold_every_ms = 15'000;
constexpr std::int64_t hold_begins_ms = 4000;
constexpr std::int64_t shortest_hold_ms = 8000;
constexpr std::int64_t longest_hold_ms = 10'000;

bool is_momentary(fault_kind kind) {
    return kind == fault_kind::store_compact || kind == fault_kind::store_leases_lapse ||
           kind == fault_kind::new_configuration;
}

/// Where a fault that is drawn by itself may begin in each part of a plan, and how long it may last.
struct apart_rhythm {
    std::int64_t every_ms = 0;
    std::int64_t begins_ms = 0;
    std::int64_t shortest_ms = 0;
    std::int64_t longest_ms = 0;
};

void add_apart(std::vector<planned_fault>& plan, fault_kind kind, const apart_rhythm& rhythm,
               std::mt19937_64& random, milliseconds length) {
    const auto below = [&random](std::int64_t bound) {
        return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(bound));
    };
    for (milliseconds from(0); from < length; from += milliseconds(rhythm.every_ms)) {
        planned_fault item;
        item.kind = kind;
        item.at = from + milliseconds(below(rhythm.begins_ms));
        item.lasts = milliseconds(rhythm.shortest_ms + below(rhythm.longest_ms - rhythm.shortest_ms));
        item.target = static_cast<std::uint32_t>(random() % (1U << 16U));
        plan.push_back(item);
    }
}

/// Answers an owner that renews its claim and answers calls, and is seconds behind with the jobs that entries
/// left in the inbox: its processor time is used up, or the store holds its writes.
void add_what_fills_the_inbox(std::vector<planned_fault>& plan, std::uint64_t seed, milliseconds length) {
    std::mt19937_64 random(seed ^ apart_seed);
    add_apart(plan, fault_kind::node_slow, {slow_every_ms, slow_begins_ms, shortest_slow_ms, longest_slow_ms},
              random, length);
    add_apart(plan, fault_kind::store_holds_jobs,
              {hold_every_ms, hold_begins_ms, shortest_hold_ms, longest_hold_ms}, random, length);
}

/// What VMs do beside crashing. Shrunk ones stay so past the time after which a shrunk capacity counts.
void add_troubled_vms(std::vector<planned_fault>& plan, std::uint64_t seed, milliseconds length) {
    constexpr std::array rhythms{
        std::pair{fault_kind::vm_shrinks, apart_rhythm{5000, 3000, 5000, 9000}},
        std::pair{fault_kind::vm_fails_runs, apart_rhythm{8000, 5000, 1500, 4000}},
        std::pair{fault_kind::vm_late_orders, apart_rhythm{6000, 4000, 2000, 5000}},
        std::pair{fault_kind::vm_drains, apart_rhythm{9000, 6000, 3000, 5000}},
        std::pair{fault_kind::node_reloads, apart_rhythm{4000, 4000, 1, 2}},
    };
    for (const auto& [kind, rhythm] : rhythms) {
        std::mt19937_64 random(seed ^ (vm_seed << static_cast<std::uint64_t>(kind)));
        add_apart(plan, kind, rhythm, random, length);
    }
}

} // namespace

std::vector<planned_fault> make_plan(std::uint64_t seed, milliseconds length) {
    std::mt19937_64 random(seed);
    // Not the library's distributions: their results differ from one library to the next.
    const auto below = [&random](std::uint64_t bound) { return random() % bound; };
    std::vector<planned_fault> plan;
    milliseconds at(0);
    while (true) {
        at += milliseconds(static_cast<std::int64_t>(below(longest_gap_ms)));
        if (at >= length) {
            add_what_fills_the_inbox(plan, seed, length);
            add_troubled_vms(plan, seed, length);
            std::ranges::stable_sort(plan, {}, &planned_fault::at);
            return plan;
        }
        const std::uint64_t together = below(burst_one_in) == 0 ? 2 + below(most_in_burst - 1) : 1;
        for (std::uint64_t i = 0; i < together; ++i) {
            planned_fault item;
            item.at = at;
            item.kind = enum_names<fault_kind>.at(below(kinds)).first;
            item.target = static_cast<std::uint32_t>(below(1U << 16U));
            const auto lasts = shortest_ms + static_cast<std::int64_t>(below(longest_ms - shortest_ms));
            item.lasts = milliseconds(is_momentary(item.kind) ? 0 : lasts);
            plan.push_back(item);
        }
    }
}

} // namespace siskinpaddle::soak
