#include "jobs/upkeep.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

namespace {

/// The list of machines may be this much older than the moment it is read.
constexpr milliseconds list_lag = 1000ms;

/// A machine that began its upkeep is back when it runs another VM than before. One that was off runs none
/// before and after; it is back when it is up although the upkeep's time has passed.
bool is_back(const upkeep_machine& machine, const pending_upkeep& upkeep, milliseconds upkeep_time, timestamp now) {
    const bool another_vm = !machine.vm.empty() && machine.vm != upkeep.vm_before;
    const bool time_passed = machine.vm == upkeep.vm_before && now - upkeep.ordered_at > upkeep_time + list_lag;
    return machine.up && (another_vm || time_passed);
}

} // namespace

wave_step plan_wave(wave_state& wave, const std::map<std::string, upkeep_machine>& machines,
                    milliseconds upkeep_time, timestamp now) {
    wave_step step;
    std::erase_if(wave.waiting, [&](const auto& item) {
        const auto found = machines.find(item.first);
        return found == machines.end() || is_back(found->second, item.second, upkeep_time, now);
    });
    std::vector<const upkeep_machine*> left;
    std::size_t down = wave.waiting.size();
    for (const std::string& name : wave.machines) {
        const auto found = machines.find(name);
        if (found == machines.end()) {
            continue; // It is gone for good.
        }
        if (wave.begun.contains(name)) {
            // An earlier owner's order may be at work without our waiting for it.
            down += !wave.waiting.contains(name) && !found->second.up ? 1 : 0;
            continue;
        }
        left.push_back(&found->second);
    }
    step.completed = left.empty() && wave.waiting.empty();
    const std::size_t free = down < wave.at_once ? wave.at_once - down : 0;
    std::ranges::stable_sort(left, [](const upkeep_machine* a, const upkeep_machine* b) {
        return std::pair(a->idle, a->quiet) > std::pair(b->idle, b->quiet);
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
