#include "policy/planner_pass.hpp"

#include <algorithm>
#include <tuple>

namespace siskinpaddle {

namespace {

bool is_leaving_pool(const vm_record& vm) {
    const bool is_leaving =
        vm.state == vm_state::cordoned || vm.state == vm_state::draining || vm.state == vm_state::drained;
    return is_leaving && (vm.reason == stop_reason::move || vm.reason == stop_reason::retire);
}

bool is_out_for_wave(const vm_record& vm, std::uint64_t order) {
    return vm.active_wave == order && vm.state != vm_state::serving && vm.state != vm_state::free &&
           vm.state != vm_state::lost;
}

} // namespace

bool planner::pass::are_planned_steps_allowed() {
    if (!m_observations.is_list_known) {
        record_wait("fleet", "the VM list is not known yet");
        return false;
    }
    if (!m_is_list_fresh) {
        record_wait("fleet", "the VM list is older than " + std::to_string(max_list_age.count()) + " ms");
        return false;
    }
    return true;
}

/// Returns the cached counts of a pool. They are computed for all pools in one pass over the VMs, because the
/// steps query them repeatedly; set_state() invalidates them.
const planner::pass::pool_counts& planner::pass::counts_for(const std::string& pool) const {
    if (m_are_counts_stale) {
        m_counts.clear();
        for (const vm_record& vm : m_plan.next.vms) {
            add_to_counts(vm);
        }
        m_are_counts_stale = false;
    }
    return m_counts[pool];
}

void planner::pass::add_to_counts(const vm_record& vm) const {
    if (vm.state == vm_state::lost) {
        return;
    }
    ++m_counts[is_leaving_pool(vm) ? vm.next_pool : vm.pool].held;
    pool_counts& own = m_counts[vm.pool];
    for (const auto& [name, wave] : m_config.waves) {
        const auto order = static_cast<std::uint64_t>(wave.order);
        const bool is_in_scope = !wave.paused && (wave.pool == "*" || wave.pool == vm.pool);
        if (is_in_scope && vm.completed_wave < order && vm.active_wave != order) {
            ++own.awaiting_wave;
        }
    }
}

std::int64_t planner::pass::count_held_vms(const std::string& pool) const {
    return counts_for(pool).held;
}

bool planner::pass::has_wave_remaining(const std::string& pool) const {
    return counts_for(pool).awaiting_wave > 0;
}

std::int64_t planner::pass::target_size(const std::string& pool) const {
    const auto settings = m_config.pools.find(pool);
    if (settings == m_config.pools.end()) {
        return 0;
    }
    if (!m_parent.m_options.share_free_vms) {
        return settings->second.size;
    }
    const std::int64_t spare = settings->second.size - settings->second.promised - m_parent.m_options.reserve;
    const std::int64_t wanted = has_wave_remaining(pool) ? 1 : 0;
    return settings->second.size + std::max<std::int64_t>(0, wanted - std::max<std::int64_t>(0, spare));
}

vm_record* planner::pass::find_best_free_vm(const std::string& pool) {
    std::map<std::string, int> per_zone;
    std::map<std::string, int> per_rack;
    for (const vm_record& vm : m_plan.next.vms) {
        if (vm.pool == pool) {
            ++per_zone[vm.availability_zone];
            ++per_rack[vm.rack];
        }
    }
    vm_record* best = nullptr;
    const auto crowding = [&](const vm_record& vm) {
        return std::tuple(per_zone[vm.availability_zone], per_rack[vm.rack]);
    };
    for (vm_record& vm : m_plan.next.vms) {
        const listed_vm* item = find_listed_vm(vm);
        const bool is_usable = vm.state == vm_state::free && vm.state_revision != m_next_revision &&
                               item != nullptr && item->state == listing_state::live;
        const bool is_better =
            best == nullptr || (!m_parent.m_options.first_fit && crowding(vm) < crowding(*best));
        if (is_usable && is_better) {
            best = &vm;
        }
    }
    return best;
}

/// Moves a VM to `receiver` from the pool that has the most VMs above its promised number. The members share
/// the cost of idle VMs, so a spare VM that is idle in one pool while another pool is below its promised
/// number would be paid for twice.
void planner::pass::lend_spare(const std::string& receiver) {
    std::string lender;
    std::int64_t most = 0;
    for (const auto& [name, pool] : m_plan.pools) {
        const std::int64_t above = pool.available - pool.promised;
        if (m_parent.m_options.lend_spares && name != receiver && above > most && pool.lost == 0) {
            lender = name;
            most = above;
        }
    }
    vm_record* vm = most > 0 ? find_least_loaded_vm(lender) : nullptr;
    if (vm == nullptr) {
        return;
    }
    vm->reason = stop_reason::move;
    vm->next_pool = receiver;
    --m_plan.pools[lender].available;
    set_state(*vm, vm_state::cordoned,
              "spare of " + lender + "; lent to " + receiver + ", which is below its promise");
}

std::int64_t planner::pass::count_expected_back(const std::string& pool) const {
    return std::count_if(m_plan.next.vms.begin(), m_plan.next.vms.end(), [&](const vm_record& vm) {
        return vm.pool == pool && vm.state == vm_state::lost &&
               !is_in_state_for(vm, m_parent.m_options.replacement_delay);
    });
}

void planner::pass::fill_pools() {
    for (const auto& [name, settings] : m_config.pools) {
        const pool_availability& pool = m_plan.pools[name];
        std::int64_t held = count_held_vms(name);
        // A lost VM that may return soon is not replaced while the pool has its promised number without it.
        const std::int64_t expected_back = pool.breached() ? 0 : count_expected_back(name);
        const std::int64_t target = target_size(name);
        if (held < target && held + expected_back >= target) {
            record_wait("pool " + name,
                        std::to_string(expected_back) + " lost VMs may come back; replaced after " +
                            std::to_string(m_parent.m_options.replacement_delay.count() / 1000) + " s");
        }
        for (; held + expected_back < target; ++held) {
            vm_record* vm = find_best_free_vm(name);
            if (vm == nullptr) {
                record_wait("pool " + name, "needs a VM and none is free");
                if (pool.breached()) {
                    lend_spare(name);
                }
                break;
            }
            vm->reason = stop_reason::move;
            begin_maintenance(*vm, name, "given to " + name);
        }
    }
}

void planner::pass::release_surplus() {
    for (vm_record& vm : m_plan.next.vms) {
        if (vm.state == vm_state::serving && !m_config.pools.contains(vm.pool)) {
            vm.reason = stop_reason::move;
            vm.next_pool.clear();
            set_state(vm, vm_state::cordoned, "its pool is no longer configured");
        }
    }
    for (const auto& [name, settings] : m_config.pools) {
        if (count_held_vms(name) <= std::max(target_size(name), settings.size) || is_wave_running_in(name)) {
            continue;
        }
        if (!can_take_out_of_service(m_plan.pools[name], 1, 0)) {
            record_wait("pool " + name,
                        "has a surplus VM but its budget doesn't allow taking one out of service");
            continue;
        }
        if (vm_record* vm = find_least_loaded_vm(name)) {
            const std::string receiver = find_pool_below_target();
            vm->reason = stop_reason::move;
            vm->next_pool = receiver;
            --m_plan.pools[name].available;
            set_state(*vm, vm_state::cordoned, "surplus; goes to " + (receiver.empty() ? "free" : receiver));
        }
    }
}

bool planner::pass::is_wave_running_in(const std::string& pool) const {
    return has_wave_remaining(pool) ||
           std::any_of(m_plan.next.vms.begin(), m_plan.next.vms.end(), [&pool](const vm_record& vm) {
               return vm.pool == pool && vm.active_wave != 0 && vm.state != vm_state::serving;
           });
}

std::string planner::pass::find_pool_below_target() const {
    for (const auto& [name, settings] : m_config.pools) {
        if (count_held_vms(name) < target_size(name)) {
            return name;
        }
    }
    return {};
}

vm_record* planner::pass::find_least_loaded_vm(const std::string& pool) {
    vm_record* chosen = nullptr;
    for (vm_record& vm : m_plan.next.vms) {
        const bool is_candidate = vm.pool == pool && vm.state == vm_state::serving;
        if (is_candidate && (chosen == nullptr || count_tasks_on(vm) < count_tasks_on(*chosen))) {
            chosen = &vm;
        }
    }
    return chosen;
}

void planner::pass::run_waves() {
    std::vector<std::pair<std::string, const wave_settings*>> ordered;
    for (const auto& [name, wave] : m_config.waves) {
        ordered.emplace_back(name, &wave);
    }
    std::sort(ordered.begin(), ordered.end(),
              [](const auto& a, const auto& b) { return a.second->order < b.second->order; });
    for (const auto& [name, wave] : ordered) {
        run_wave(name, *wave);
    }
}

void planner::pass::run_wave(const std::string& name, const wave_settings& wave) {
    const auto order = static_cast<std::uint64_t>(wave.order);
    std::vector<vm_record*> candidates;
    std::int64_t out = 0;
    for (vm_record& vm : m_plan.next.vms) {
        if (wave.pool != "*" && vm.pool != wave.pool) {
            continue;
        }
        out += is_out_for_wave(vm, order) ? 1 : 0;
        const bool is_free = vm.state == vm_state::free && vm.state_revision != m_next_revision;
        if (vm.completed_wave < order && (vm.state == vm_state::serving || is_free)) {
            candidates.push_back(&vm);
        }
    }
    if (wave.paused) {
        if (!candidates.empty()) {
            record_wait("wave " + name, "paused by its operator");
        }
        return;
    }
    // VMs without tasks come first because their maintenance costs no move. The others are ordered by rack,
    // so that few racks are affected at the same time.
    if (!m_parent.m_options.first_fit) {
        std::stable_sort(
            candidates.begin(), candidates.end(), [this](const vm_record* a, const vm_record* b) {
                return std::tuple(count_tasks_on(*a), a->rack) < std::tuple(count_tasks_on(*b), b->rack);
            });
    }
    for (vm_record* vm : candidates) {
        if (out >= wave.width) {
            return;
        }
        if (vm->state == vm_state::serving &&
            !can_take_out_of_service(m_plan.pools[vm->pool], 1, m_parent.m_options.reserve)) {
            record_budget_wait(name, *vm);
            continue;
        }
        start_wave_maintenance(*vm, wave);
        ++out;
    }
}

void planner::pass::record_budget_wait(const std::string& wave, const vm_record& vm) {
    const pool_availability& pool = m_plan.pools[vm.pool];
    const std::string reason = "budget of pool " + vm.pool + ": " + std::to_string(pool.available) +
                               " available, " + std::to_string(pool.promised) + " promised";
    const plan_wait item{"wave " + wave, reason};
    if (std::find(m_plan.waits.begin(), m_plan.waits.end(), item) == m_plan.waits.end()) {
        m_plan.waits.push_back(item);
    }
}

void planner::pass::start_wave_maintenance(vm_record& vm, const wave_settings& wave) {
    vm.active_wave = static_cast<std::uint64_t>(wave.order);
    vm.reason = stop_reason::wave;
    if (vm.state == vm_state::free) {
        begin_maintenance(vm, "", "wave " + std::to_string(wave.order));
        return;
    }
    --m_plan.pools[vm.pool].available;
    set_state(vm, vm_state::cordoned, "wave " + std::to_string(wave.order));
}

} // namespace siskinpaddle
