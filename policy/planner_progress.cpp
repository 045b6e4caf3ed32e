#include "policy/planner_pass.hpp"

namespace siskinpaddle {

namespace {

/// Maximum time for a reboot, and for the health check after it, before the VM counts as lost.
constexpr milliseconds maintenance_timeout = 15min;

std::string join(const entry_ids& names) {
    std::string text;
    for (const std::string& name : names) {
        text += (text.empty() ? "" : " ") + name;
    }
    return text;
}

} // namespace

void planner::pass::advance(vm_record& vm) {
    // A state that was set in this pass is not in the store yet, so no entry can have applied it.
    if (vm.state_revision == m_next_revision) {
        return;
    }
    if (return_to_breached_pool(vm)) {
        return;
    }
    using step = void (pass::*)(vm_record&);
    static constexpr std::array<std::pair<vm_state, step>, 6> steps{
        {{vm_state::cordoned, &pass::advance_cordoned},
         {vm_state::draining, &pass::advance_draining},
         {vm_state::drained, &pass::advance_drained},
         {vm_state::in_maintenance, &pass::advance_in_maintenance},
         {vm_state::returning, &pass::advance_returning},
         {vm_state::lost, &pass::advance_lost}}};
    for (const auto& [state, action] : steps) {
        if (vm.state == state) {
            (this->*action)(vm);
            return;
        }
    }
}

/// Returns a leaving VM to service when failures have meanwhile brought its pool below the promised number:
/// continuing would add a planned loss to the failures. The VM has never left its pool, so no entry has to
/// confirm anything first.
bool planner::pass::return_to_breached_pool(vm_record& vm) {
    const bool is_leaving =
        vm.state == vm_state::cordoned || vm.state == vm_state::draining || vm.state == vm_state::drained;
    const bool is_planned = vm.reason == stop_reason::wave || vm.reason == stop_reason::move;
    const auto pool = m_plan.pools.find(vm.pool);
    if (!is_leaving || !is_planned || pool == m_plan.pools.end() || !pool->second.breached()) {
        return false;
    }
    vm.active_wave = 0;
    vm.next_pool.clear();
    vm.reason = stop_reason::none;
    ++pool->second.available;
    set_state(vm, vm_state::serving, "back in service: its pool is below its promise");
    return true;
}

void planner::pass::advance_cordoned(vm_record& vm) {
    const entry_ids behind = find_entries_behind(m_fleet, m_observations, vm.state_revision);
    if (!behind.empty()) {
        record_wait("vm " + vm.id, "entries not at fleet revision " + std::to_string(vm.state_revision) +
                                       ": " + join(behind));
        return;
    }
    set_state(vm, vm_state::draining, "no entry sends it new work");
}

void planner::pass::advance_draining(vm_record& vm) {
    milliseconds overdue_after = 1min;
    for (const auto& [name, wave] : m_config.waves) {
        if (static_cast<std::uint64_t>(wave.order) == vm.active_wave) {
            overdue_after = wave.drain_overdue_after;
        }
    }
    const std::string overdue = is_in_state_for(vm, overdue_after) ? "overdue: " : "";
    if (const entry_ids busy = find_busy_entries(m_fleet, m_observations, vm); !busy.empty()) {
        record_wait("vm " + vm.id, overdue + "requests in progress at entries: " + join(busy));
        return;
    }
    if (const int tasks = count_tasks_on(vm); tasks > 0) {
        record_wait("vm " + vm.id, overdue + std::to_string(tasks) + " tasks may still run");
        return;
    }
    set_state(vm, vm_state::drained, "nothing in progress");
}

void planner::pass::advance_drained(vm_record& vm) {
    if (vm.reason == stop_reason::retire) {
        vm.pool.clear();
        ++vm.epoch;
        set_state(vm, vm_state::lost, "retired: the platform may remove it");
        return;
    }
    if (vm.reason == stop_reason::move) {
        begin_maintenance(vm, vm.next_pool, "moves to " + (vm.next_pool.empty() ? "free" : vm.next_pool));
        return;
    }
    // A VM that a lent VM has replaced becomes free after its maintenance when the pool then has more VMs
    // than its target size. One reboot serves both the maintenance and the change of pool, so no VM is
    // drained twice.
    const bool is_replaced =
        m_parent.m_options.keep_replacement_vm && count_held_vms(vm.pool) > target_size(vm.pool);
    begin_maintenance(vm, is_replaced ? "" : vm.pool, is_replaced ? "maintained, then free" : "maintained");
}

void planner::pass::advance_in_maintenance(vm_record& vm) {
    const listed_vm* item = find_listed_vm(vm);
    if (item != nullptr && item->boot_count > vm.boot_count && item->state == listing_state::live) {
        vm.boot_count = item->boot_count;
        if (vm.pool.empty()) {
            vm.completed_wave = std::max(vm.completed_wave, vm.active_wave);
            vm.active_wave = 0;
            vm.reason = stop_reason::none;
            set_state(vm, vm_state::free, "rebooted");
        } else {
            set_state(vm, vm_state::returning, "rebooted");
        }
        return;
    }
    if (is_in_state_for(vm, maintenance_timeout)) {
        mark_lost(vm, "did not come back from its reboot");
        return;
    }
    m_plan.reboots.push_back(
        {vm.id, vm.pool, vm.id + "-" + std::to_string(vm.epoch) + "-" + std::to_string(vm.boot_count)});
}

void planner::pass::advance_returning(vm_record& vm) {
    for (const auto& [id, report] : m_observations.entries) {
        if (m_fleet.find_entry(id) != nullptr && report.applied_fleet >= vm.state_revision &&
            report.healthy_vms.contains(vm.id)) {
            vm.completed_wave = std::max(vm.completed_wave, vm.active_wave);
            vm.active_wave = 0;
            vm.reason = stop_reason::none;
            set_state(vm, vm_state::serving, "passed its health check");
            return;
        }
    }
    if (is_in_state_for(vm, maintenance_timeout)) {
        mark_lost(vm, "did not pass its health check");
        return;
    }
    record_wait("vm " + vm.id, "waits for its health check");
}

void planner::pass::advance_lost(vm_record& vm) {
    // A lost VM may still be running but be unreachable. It stays assigned to its pool until no entry can
    // send to it and no task lease can be in force there, so that no other member's work runs beside its own.
    const entry_ids busy = find_busy_entries(m_fleet, m_observations, vm);
    if (!busy.empty() || count_tasks_on(vm) > 0) {
        if (!vm.pool.empty()) {
            record_wait("vm " + vm.id, "lost; still waits for entries: " + join(busy) +
                                           " and tasks: " + std::to_string(count_tasks_on(vm)));
        }
        return;
    }
    const listed_vm* item = find_listed_vm(vm);
    const bool is_listed_again = item != nullptr && item->state == listing_state::live;
    const bool is_wanted = m_config.pools.contains(vm.pool) && count_held_vms(vm.pool) < target_size(vm.pool);
    if (is_listed_again && is_wanted) {
        begin_maintenance(vm, vm.pool, "listed again");
        return;
    }
    if (is_listed_again) {
        begin_maintenance(vm, "", "listed again, but replaced");
        return;
    }
    if (!vm.pool.empty() && (!is_wanted || is_in_state_for(vm, m_parent.m_options.replacement_delay))) {
        vm.pool.clear();
        ++vm.epoch;
        m_plan.decisions.push_back({vm.id, "lost for good"});
    }
}

} // namespace siskinpaddle
