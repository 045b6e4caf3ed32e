#include "jobs/upkeep.hpp"

#include <algorithm>
#include <tuple>

namespace siskinpaddle::jobs {

namespace {

/// The list of machines may be this much older than the moment it is read.
constexpr milliseconds list_lag = 1000ms;
/// An order that was not confirmed within this is given again. Above the time that a call may take.
constexpr milliseconds order_patience = 2500ms;

/// Beside the upkeep itself: until it is planned, ordered, and seen to be over.
constexpr milliseconds turnaround_overhead = 1000ms;
/// Kept back at the wave's end for machines whose tasks leave one by one under a disruption budget, and for
/// the seconds in which the orders' owner changes.
constexpr milliseconds wave_reserve = 7s;

/// Whether an ordered upkeep is over: the machine runs another VM than before. One that was off runs none
/// before and after; it is back when it is up although the upkeep's time has passed. An order that was not
/// confirmed proves nothing by the passing of time: it may never have been carried out.
bool is_over(const upkeep_machine& machine, const pending_upkeep& upkeep, milliseconds upkeep_time,
             timestamp now) {
    const milliseconds age = now - upkeep.ordered_at;
    if (!upkeep.confirmed) {
        return age > order_patience;
    }
    const bool another_vm = !machine.vm.empty() && machine.vm != upkeep.vm_before;
    return machine.up && (another_vm || age > upkeep_time + list_lag);
}

} // namespace

std::size_t wave_pace(const wave_state& wave, std::size_t left, milliseconds upkeep_time, timestamp now) {
    const milliseconds time_left = wave.due_at.value_or(now) - now - wave_reserve;
    if (!wave.due_at || time_left <= 0ms) {
        return wave.at_once;
    }
    const auto turnaround = static_cast<std::size_t>((upkeep_time + turnaround_overhead).count());
    const auto time = static_cast<std::size_t>(time_left.count());
    return std::clamp<std::size_t>((left * turnaround + time - 1) / time, 1,
                                   std::max<std::size_t>(1, wave.at_once));
}

wave_step plan_wave(wave_state& wave, const std::map<std::string, upkeep_machine>& machines,
                    milliseconds upkeep_time, timestamp now) {
    wave_step step;
    std::erase_if(wave.waiting, [&](const auto& item) {
        const auto found = machines.find(item.first);
        return found == machines.end() || is_over(found->second, item.second, upkeep_time, now);
    });
    std::vector<const upkeep_machine*> left;
    std::size_t down = wave.waiting.size();
    for (const std::string& name : wave.machines) {
        const auto found = machines.find(name);
        if (found == machines.end()) {
            continue; // It is gone for good.
        }
        if (wave.waiting.contains(name)) {
            continue;
        }
        // Machines that are being moved, or have crashed, take nothing from the bound: while a turn ends they
        // are a quarter of the fleet, and a wave that counted them stood still for five seconds.
        down += found->second.in_upkeep ? 1 : 0;
        if (!wave.confirmed.contains(name)) {
            left.push_back(&found->second);
        }
    }
    step.completed = left.empty() && wave.waiting.empty();
    const std::size_t pace = std::min(wave.at_once, wave_pace(wave, left.size(), upkeep_time, now));
    const std::size_t free = down < pace ? pace - down : 0;
    // Those with long-running tasks take longest to empty, and emptying them takes no room from others. One
    // that is half empty keeps its turn: were it to make way for each machine that is quiet for a moment, a
    // busy one would be begun again and again and the wave would end late.
    std::ranges::stable_sort(left, [](const upkeep_machine* a, const upkeep_machine* b) {
        return std::tuple(a->idle, a->clearing, a->quiet, a->endless) >
               std::tuple(b->idle, b->clearing, b->quiet, b->endless);
    });
    for (const upkeep_machine* machine : left) {
        if (machine->up && machine->idle && step.order.size() < free) {
            step.order.push_back(machine->machine);
        }
    }
    std::size_t cleared = 0;
    for (const upkeep_machine* machine : left) {
        if (machine->up && cleared < free + clear_ahead) {
            step.clear.push_back(machine->machine);
            ++cleared;
        }
    }
    return step;
}

} // namespace siskinpaddle::jobs
