#include "policy/planner_pass.hpp"

namespace siskinpaddle {

namespace {

/// How long a reboot and the health check after it may take before the VM counts as lost.
constexpr milliseconds maintenance_bound = 15min;

std::string joined(const waiting_list& names) {
    std::string text;
    for (const std::string& name : names) {
        text += (text.empty() ? "" : " ") + name;
    }
    return text;
}

} // namespace

void planner::pass::advance(vm_record& vm) {
    // A state that was entered in this very pass is not in the store yet, so nobody can have applied it.
    if (vm.since == m_next_revision) {
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

/// A VM on its way out goes back into service when failures have meanwhile brought its pool below the
/// promise: going on would add a planned loss to theirs. It never left its pool, so nobody's right has to end
/// first.
bool planner::pass::return_to_breached_pool(vm_record& vm) {
    const bool on_its_way_out =
        vm.state == vm_state::cordoned || vm.state == vm_state::draining || vm.state == vm_state::drained;
    const bool by_plan = vm.reason == stop_reason::wave || vm.reason == stop_reason::move;
    const auto pool = m_plan.pools.find(vm.pool);
    if (!on_its_way_out || !by_plan || pool == m_plan.pools.end() || !pool->second.breached()) {
        return false;
    }
    vm.goal_wave = 0;
    vm.next_pool.clear();
    vm.reason = stop_reason::none;
    ++pool->second.available;
    enter(vm, vm_state::serving, "back in service: its pool is below its promise");
    return true;
}

void planner::pass::advance_cordoned(vm_record& vm) {
    const waiting_list behind = entries_behind(m_fleet, m_seen, vm.since);
    if (!behind.empty()) {
        wait("vm " + vm.id,
             "entries not at fleet revision " + std::to_string(vm.since) + ": " + joined(behind));
        return;
    }
    enter(vm, vm_state::draining, "no entry sends it new work");
}

void planner::pass::advance_draining(vm_record& vm) {
    milliseconds bound = 1min;
    for (const auto& [name, wave] : m_config.waves) {
        if (static_cast<std::uint64_t>(wave.order) == vm.goal_wave) {
            bound = wave.drain_bound;
        }
    }
    const std::string overdue = in_state_for(vm, bound) ? "overdue: " : "";
    if (const waiting_list busy = entries_busy(m_fleet, m_seen, vm); !busy.empty()) {
        wait("vm " + vm.id, overdue + "requests in progress at entries: " + joined(busy));
        return;
    }
    if (const int tasks = tasks_on(vm); tasks > 0) {
        wait("vm " + vm.id, overdue + std::to_string(tasks) + " tasks may still run");
        return;
    }
    enter(vm, vm_state::drained, "nothing in progress");
}

void planner::pass::advance_drained(vm_record& vm) {
    if (vm.reason == stop_reason::retire) {
        vm.pool.clear();
        ++vm.epoch;
        enter(vm, vm_state::lost, "retired with the platform's leave");
        return;
    }
    if (vm.reason == stop_reason::move) {
        begin_maintenance(vm, vm.next_pool, "moves to " + (vm.next_pool.empty() ? "free" : vm.next_pool));
        return;
    }
    // A VM that a lent one has replaced becomes free after the wave's last turn: one reboot serves both the
    // maintenance and the change of owner, and nothing has to be drained twice.
    const bool replaced = m_owner.m_options.keep_returned_vm && held_for(vm.pool) > target_size(vm.pool);
    begin_maintenance(vm, replaced ? "" : vm.pool, replaced ? "maintained, then free" : "maintained");
}

void planner::pass::advance_in_maintenance(vm_record& vm) {
    const listed_vm* item = listed(vm);
    if (item != nullptr && item->boot > vm.boot && item->state == listing::live) {
        vm.boot = item->boot;
        if (vm.pool.empty()) {
            vm.wave = std::max(vm.wave, vm.goal_wave);
            vm.goal_wave = 0;
            vm.reason = stop_reason::none;
            enter(vm, vm_state::free, "rebooted");
        } else {
            enter(vm, vm_state::returning, "rebooted");
        }
        return;
    }
    if (in_state_for(vm, maintenance_bound)) {
        lose(vm, "did not come back from its reboot");
        return;
    }
    m_plan.reboots.push_back(
        {vm.id, vm.pool, vm.id + "-" + std::to_string(vm.epoch) + "-" + std::to_string(vm.boot)});
}

void planner::pass::advance_returning(vm_record& vm) {
    for (const auto& [id, report] : m_seen.entries) {
        if (m_fleet.find_entry(id) != nullptr && report.applied_fleet >= vm.since &&
            report.healthy_vms.contains(vm.id)) {
            vm.wave = std::max(vm.wave, vm.goal_wave);
            vm.goal_wave = 0;
            vm.reason = stop_reason::none;
            enter(vm, vm_state::serving, "passed its health check");
            return;
        }
    }
    if (in_state_for(vm, maintenance_bound)) {
        lose(vm, "did not pass its health check");
        return;
    }
    wait("vm " + vm.id, "waits for its health check");
}

void planner::pass::advance_lost(vm_record& vm) {
    // A lost VM may be alive and only unseen. Until no entry can send to it and no task lease can be in force
    // there, it stays in its pool's name, so no rival's work meets it.
    const waiting_list busy = entries_busy(m_fleet, m_seen, vm);
    if (!busy.empty() || tasks_on(vm) > 0) {
        if (!vm.pool.empty()) {
            wait("vm " + vm.id, "lost; still waits for entries: " + joined(busy) +
                                    " and tasks: " + std::to_string(tasks_on(vm)));
        }
        return;
    }
    const listed_vm* item = listed(vm);
    const bool back = item != nullptr && item->state == listing::live;
    const bool wanted = m_config.pools.contains(vm.pool) && held_for(vm.pool) < target_size(vm.pool);
    if (back && wanted) {
        begin_maintenance(vm, vm.pool, "listed again");
        return;
    }
    if (back) {
        begin_maintenance(vm, "", "listed again, but replaced");
        return;
    }
    if (!vm.pool.empty() && (!wanted || in_state_for(vm, m_owner.m_options.restart_patience))) {
        vm.pool.clear();
        ++vm.epoch;
        m_plan.decisions.push_back({vm.id, "lost for good"});
    }
}

} // namespace siskinpaddle
