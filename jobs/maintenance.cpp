#include "jobs/maintenance.hpp"

#include <algorithm>
#include <tuple>

namespace siskinpaddle::jobs {

namespace {

/// The list of machines may be this much older than the moment it is read.
constexpr milliseconds max_list_age = 1000ms;
/// An order that was not confirmed within this is given again. Above the time that a call may take.
constexpr milliseconds confirmation_timeout = 2500ms;

/// Beside the upkeep itself: until it is planned, ordered, and seen to be over.
constexpr milliseconds turnaround_overhead = 1000ms;
/// Kept back at the wave's end for machines whose tasks leave one by one under a disruption budget, and for
/// the seconds in which the orders' owner changes.
constexpr milliseconds wave_reserve = 7s;

/// Whether an ordered upkeep is over: the machine runs another VM than before. One that was off runs none
/// before and after; it is back when it is up although the upkeep's time has passed. An order that was not
/// confirmed proves nothing by the passing of time: it may never have been carried out.
bool is_no_longer_pending(const wave_machine& machine, const pending_maintenance& maintenance,
                          milliseconds maintenance_time, timestamp now) {
    const milliseconds age = now - maintenance.ordered_at;
    if (!maintenance.confirmed) {
        return age > confirmation_timeout;
    }
    const bool another_vm = !machine.vm.empty() && machine.vm != maintenance.vm_before;
    return machine.is_up && (another_vm || age > maintenance_time + max_list_age);
}

} // namespace

std::size_t wave_concurrency(const wave_state& wave, std::size_t remaining, milliseconds maintenance_time,
                             timestamp now) {
    const milliseconds time_left = wave.due_at.value_or(now) - now - wave_reserve;
    if (!wave.due_at || time_left <= 0ms) {
        return wave.max_concurrent;
    }
    const auto turnaround = static_cast<std::size_t>((maintenance_time + turnaround_overhead).count());
    const auto time = static_cast<std::size_t>(time_left.count());
    return std::clamp<std::size_t>((remaining * turnaround + time - 1) / time, 1,
                                   std::max<std::size_t>(1, wave.max_concurrent));
}

wave_step plan_wave(wave_state& wave, const std::map<std::string, wave_machine>& machines,
                    milliseconds maintenance_time, timestamp now) {
    wave_step step;
    std::erase_if(wave.pending, [&](const auto& item) {
        const auto found = machines.find(item.first);
        return found == machines.end() ||
               is_no_longer_pending(found->second, item.second, maintenance_time, now);
    });
    std::vector<const wave_machine*> remaining;
    std::size_t down = wave.pending.size();
    for (const std::string& name : wave.machines) {
        const auto found = machines.find(name);
        if (found == machines.end()) {
            continue; // It is gone for good.
        }
        if (wave.pending.contains(name)) {
            continue;
        }
        // Machines that are being moved, or have crashed, take nothing from the bound: while a turn ends they
        // are a quarter of the fleet, and a wave that counted them stood still for five seconds.
        down += found->second.in_maintenance ? 1 : 0;
        if (!wave.confirmed.contains(name)) {
            remaining.push_back(&found->second);
        }
    }
    step.completed = remaining.empty() && wave.pending.empty();
    const std::size_t concurrency =
        std::min(wave.max_concurrent, wave_concurrency(wave, remaining.size(), maintenance_time, now));
    const std::size_t free = down < concurrency ? concurrency - down : 0;
    // Those with long-running tasks take longest to empty, and emptying them takes no room from others. One
    // that is half empty keeps its turn: were it to make way for each machine that is quiet for a moment, a
    // busy one would be begun again and again and the wave would end late.
    std::ranges::stable_sort(remaining, [](const wave_machine* a, const wave_machine* b) {
        return std::tuple(a->kept_empty, a->evacuating, a->is_idle, a->hosts_long_running) >
               std::tuple(b->kept_empty, b->evacuating, b->is_idle, b->hosts_long_running);
    });
    for (const wave_machine* machine : remaining) {
        if (machine->is_up && machine->kept_empty && step.to_maintain.size() < free) {
            step.to_maintain.push_back(machine->machine);
        }
    }
    std::size_t evacuating = 0;
    for (const wave_machine* machine : remaining) {
        if (machine->is_up && evacuating < free + evacuate_ahead) {
            step.to_evacuate.push_back(machine->machine);
            ++evacuating;
        }
    }
    return step;
}

} // namespace siskinpaddle::jobs
