#include "jobs/maintenance.hpp"

#include <algorithm>
#include <tuple>

namespace siskinpaddle::jobs {

namespace {

/// Maximum age of the list of machines when it is read.
constexpr milliseconds max_list_age = 1000ms;
/// An order without confirmation after this time is sent again. Longer than a call may take.
constexpr milliseconds confirmation_timeout = 2500ms;

/// Time per machine beside the maintenance itself: planning, ordering, and detecting that it is finished.
constexpr milliseconds turnaround_overhead = 1000ms;
/// Reserve at the end of a wave for machines whose tasks leave one at a time under a disruption budget, and
/// for the seconds that a takeover by a new owner of the fleet takes.
constexpr milliseconds wave_reserve = 7s;

/// Whether the maintenance no longer has to be waited for. Confirmed maintenance is finished once the machine
/// is up with another VM than before; a machine that was off runs no VM before or after and is finished once
/// it is up after the maintenance time. An order that is not confirmed by the timeout may never have been
/// carried out; it is dropped here and sent again.
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
            continue; // No longer in the fleet.
        }
        if (wave.pending.contains(name)) {
            continue;
        }
        // Machines that are being moved or have crashed don't count against the limit: at the end of a demand
        // peak they are a quarter of the fleet, and counting them stalls the wave for five seconds.
        down += found->second.in_maintenance ? 1 : 0;
        if (!wave.confirmed.contains(name)) {
            remaining.push_back(&found->second);
        }
    }
    step.completed = remaining.empty() && wave.pending.empty();
    const std::size_t concurrency =
        std::min(wave.max_concurrent, wave_concurrency(wave, remaining.size(), maintenance_time, now));
    const std::size_t free = down < concurrency ? concurrency - down : 0;
    // Machines with long-lived tasks take longest to evacuate, and evacuating them takes no capacity from
    // other tasks. A machine that is being evacuated keeps its place: if each briefly idle machine went
    // first, the evacuation of a busy machine would be restarted repeatedly and the wave would end late.
    std::ranges::stable_sort(remaining, [](const wave_machine* a, const wave_machine* b) {
        return std::tuple(a->kept_empty, a->evacuating, a->is_idle, a->hosts_long_lived) >
               std::tuple(b->kept_empty, b->evacuating, b->is_idle, b->hosts_long_lived);
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
