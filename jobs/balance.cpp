#include "jobs/balance.hpp"

#include "jobs/vm.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

namespace siskinpaddle::jobs {

namespace {

/// Counts of a pool's VMs with one label that its tasks require.
struct label_account {
    std::size_t held = 0;
    std::size_t wanted = 0;
    std::size_t retained = 0;
};

/// Working state of a pool while a plan is made.
struct pool_account {
    std::string name;
    std::map<std::string, label_account> labels;
    std::size_t listed = 0;                   ///< Machines in the pool, whether or not their VMs serve it.
    std::size_t held = 0;                     ///< VMs that serve it, or will once their move is done.
    std::size_t min_vms = 0;                  ///< It keeps these whatever other pools need.
    std::size_t committed = 0;                ///< For its minimum and its accepted work.
    std::size_t wanted = 0;                   ///< Its share of the available machines, by its present need.
    std::size_t retained = 0;                 ///< Machines above this number may be released.
    std::size_t wanted_for_late = 0;          ///< Further machines it can use for late work.
    std::vector<const balance_machine*> idle; ///< Can be moved at once.
    /// Can be moved once their short runs have ended.
    std::vector<const balance_machine*> evacuation_candidates;

    [[nodiscard]] std::size_t missing() const noexcept { return wanted > held ? wanted - held : 0; }
    [[nodiscard]] std::size_t surplus() const noexcept { return held > wanted ? held - wanted : 0; }

    /// Counts a machine that serves the pool, or will once its move is done.
    void add_machine(const balance_machine& machine) {
        ++held;
        for (auto& [label, account] : labels) {
            account.held += machine.has_label(label) ? 1 : 0;
        }
    }
    void remove_machine(const balance_machine& machine) {
        --held;
        for (auto& [label, account] : labels) {
            account.held -= machine.has_label(label) ? 1 : 0;
        }
    }
    /// Whether the pool still has at least `bound` VMs of each label after the machine leaves.
    [[nodiscard]] bool can_release(const balance_machine& machine, std::size_t label_account::*bound) const {
        return std::ranges::none_of(labels, [&](const auto& item) {
            return machine.has_label(item.first) && item.second.held <= item.second.*bound;
        });
    }
};

std::size_t vms_needed(std::int64_t need_millicores, std::int64_t millicores_each,
                       const balance_settings& settings) {
    const double each = static_cast<double>(std::max<std::int64_t>(1, millicores_each));
    return static_cast<std::size_t>(
        std::ceil(static_cast<double>(need_millicores) * settings.headroom / each));
}

const vm_load* find_load(const pool_demand& demand, const std::string& vm) {
    const auto found = std::ranges::find(demand.vms, vm, &vm_load::vm);
    return found == demand.vms.end() ? nullptr : &*found;
}

/// Classifies the pool's machines: can be moved now, can be moved after evacuation, must stay.
void classify_machines(pool_account& account, const pool_demand& demand,
                       const std::vector<balance_machine>& machines) {
    std::vector<std::pair<std::int64_t, const balance_machine*>> evacuation_candidates;
    for (const balance_machine& machine : machines) {
        if (machine.pool != account.name) {
            continue;
        }
        ++account.listed;
        if (machine.is_reserved) {
            continue;
        }
        const vm_load* load = find_load(demand, machine.vm);
        if (machine.is_moving || (machine.is_up && load == nullptr)) {
            account.add_machine(machine); // Being moved, or not yet known to the pool's owner.
            continue;
        }
        if (!machine.is_up || load == nullptr || !load->is_usable) {
            continue;
        }
        account.add_machine(machine);
        if (load->hosts_long_lived) {
            continue;
        }
        if (load->is_idle) {
            account.idle.push_back(&machine);
        } else {
            evacuation_candidates.emplace_back(load->used_millicores, &machine);
        }
    }
    // VMs that are already kept empty can be moved at once; the least used ones become empty soonest.
    std::ranges::stable_sort(account.idle, std::greater{}, &balance_machine::kept_empty);
    std::ranges::stable_sort(evacuation_candidates, {}, [](const auto& item) { return item.first; });
    for (const auto& [used, machine] : evacuation_candidates) {
        account.evacuation_candidates.push_back(machine);
    }
}

/// Capacity that one machine counts for. Machines differ in size, and which of them a pool will get is not
/// known. If each counted as much as the largest in the pool, a pool that gets smaller ones would get too
/// few.
std::int64_t mean_millicores(const std::vector<balance_machine>& machines) {
    std::int64_t sum = 0;
    for (const balance_machine& machine : machines) {
        sum += machine.millicores;
    }
    return sum / std::max<std::int64_t>(1, std::ssize(machines));
}

pool_account make_account(const std::string& name, const pool_demand& demand,
                          const std::vector<balance_machine>& machines, const balance_settings& settings) {
    pool_account account;
    account.name = name;
    const std::int64_t each = mean_millicores(machines);
    for (const label_demand& item : demand.labels) {
        label_account& label = account.labels[item.label];
        label.wanted = vms_needed(item.need_millicores, each, settings);
        label.retained = std::max(label.wanted, vms_needed(item.retained_millicores, each, settings));
    }
    classify_machines(account, demand, machines);
    const auto hosts = static_cast<std::size_t>(std::ranges::count_if(
        demand.vms, [](const vm_load& vm) { return vm.is_usable && vm.hosts_long_lived; }));
    account.min_vms = std::max({settings.min_vms, hosts, static_cast<std::size_t>(demand.min_vms)});
    account.committed = std::max(account.min_vms, vms_needed(demand.committed_millicores, each, settings));
    account.wanted = std::max(account.committed, vms_needed(demand.need_millicores, each, settings));
    account.retained = std::max(account.wanted, vms_needed(demand.retained_millicores, each, settings));
    account.wanted_for_late = vms_needed(demand.late_millicores, each, settings);
    return account;
}

/// Shares `machines` so that each pool has its `floor` and the same share of its `request` beyond that.
void share_beyond(std::vector<pool_account>& pools, std::size_t machines, std::size_t pool_account::*floor,
                  std::size_t pool_account::*request) {
    std::size_t floors = 0;
    std::size_t requests = 0;
    for (const pool_account& pool : pools) {
        floors += pool.*floor;
        requests += pool.*request;
    }
    if (requests == floors) {
        return;
    }
    const double beyond = machines > floors ? static_cast<double>(machines - floors) : 0;
    const double share = std::min(1.0, beyond / static_cast<double>(requests - floors));
    for (pool_account& pool : pools) {
        const double part = share * static_cast<double>(pool.*request - pool.*floor);
        pool.wanted = pool.*floor + static_cast<std::size_t>(part);
    }
}

/// If there are fewer machines than all pools request, serves their accepted work first: a pool whose demand
/// is only expected doesn't take machines from work that was promised. Each pool gets the same share of what
/// it requests beyond that, or of its accepted work if not even that fits. Returns the number of machines
/// that no pool needs.
std::size_t distribute_shares(std::vector<pool_account>& pools, std::size_t machines) {
    std::size_t committed = 0;
    std::size_t wanted = 0;
    for (const pool_account& pool : pools) {
        committed += pool.committed;
        wanted += pool.wanted;
    }
    if (wanted <= machines) {
        return machines - wanted;
    }
    if (committed <= machines) {
        share_beyond(pools, machines, &pool_account::committed, &pool_account::wanted);
    } else {
        for (pool_account& pool : pools) {
            pool.wanted = pool.committed;
        }
        share_beyond(pools, machines, &pool_account::min_vms, &pool_account::committed);
    }
    return 0;
}

/// Assigns machines that no pool needs to pools with late work, first to the pool that can use most. After a
/// burst, accepted jobs that are already late add nothing to the pool's need, so without this the pool would
/// give its machines away and never finish them while machines idle. Returns the number of machines left.
std::size_t assign_unneeded(std::vector<pool_account>& pools, std::size_t unneeded) {
    std::vector<pool_account*> by_late;
    by_late.reserve(pools.size());
    for (pool_account& pool : pools) {
        by_late.push_back(&pool);
    }
    std::ranges::stable_sort(by_late, std::greater{}, &pool_account::wanted_for_late);
    for (pool_account* pool : by_late) {
        const std::size_t given = std::min(unneeded, pool->wanted_for_late);
        pool->wanted += given;
        pool->retained = std::max(pool->retained, pool->wanted);
        unneeded -= given;
    }
    return unneeded;
}

/// Raises the number of machines above which a pool releases some by its reserve. Returns what each pool
/// keeps.
std::map<std::string, std::size_t> keep_reserves(std::vector<pool_account>& pools, std::size_t machines,
                                                 const balance_settings& settings, balance_state& state,
                                                 timestamp now) {
    std::vector<pool_level> levels;
    levels.reserve(pools.size());
    for (const pool_account& pool : pools) {
        levels.push_back({pool.name, pool.listed, pool.wanted});
    }
    std::map<std::string, std::size_t> kept = state.reserves.update(levels, machines, settings.reserves, now);
    for (pool_account& pool : pools) {
        pool.retained = std::max(pool.retained, kept[pool.name]);
    }
    return kept;
}

class planner {
  public:
    planner(std::vector<pool_account> pools, std::vector<const balance_machine*> spares, balance_state& state)
        : m_pools(std::move(pools)), m_spares(std::move(spares)), m_state(state) {}

    balance_plan& plan() { return m_plan; }
    std::vector<pool_account>& pools() { return m_pools; }

    /// Assigns machines with the labels that the pools' tasks require, as far as available.
    void fill_labels() {
        for (pool_account& pool : m_pools) {
            for (const auto& [label, account] : pool.labels) {
                const auto fits = [&label = label](const balance_machine& machine) {
                    return machine.has_label(label);
                };
                while (account.held < account.wanted &&
                       (assign_spare(pool, fits) || assign_surplus(pool, fits))) {
                }
            }
        }
    }

    /// Assigns the next machine to the pool with the largest deficit until no pool has one or no machine is
    /// left.
    void fill_pools() {
        const auto any = [](const balance_machine&) { return true; };
        while (true) {
            const auto neediest = std::ranges::max_element(m_pools, {}, &pool_account::missing);
            if (neediest == m_pools.end() || neediest->missing() == 0) {
                return;
            }
            if (!assign_spare(*neediest, any) && !assign_surplus(*neediest, any)) {
                neediest->wanted = neediest->held; // No machine is available for it now.
            }
        }
    }

    void release_surplus(pool_account& pool, const std::string& spare_pool) {
        const std::vector<const balance_machine*> idle = pool.idle;
        for (const balance_machine* machine : idle) {
            if (pool.held > pool.retained && pool.can_release(*machine, &label_account::retained)) {
                move(*machine, spare_pool);
                std::erase(pool.idle, machine);
                pool.remove_machine(*machine);
            }
        }
    }

  private:
    void move(const balance_machine& machine, const std::string& pool) {
        m_plan.moves.push_back({machine.machine, pool, machine.pool});
    }

    [[nodiscard]] bool is_compatible(const balance_machine& machine, const pool_account& pool) const {
        return !m_state.refused_kinds.contains({machine.kind, pool.name});
    }

    template <typename Fits>
    bool assign_spare(pool_account& pool, const Fits& fits) {
        const auto found = std::ranges::find_if(
            m_spares, [&](const balance_machine* item) { return is_compatible(*item, pool) && fits(*item); });
        if (found == m_spares.end()) {
            return false;
        }
        move(**found, pool.name);
        pool.add_machine(**found);
        m_spares.erase(found);
        return true;
    }

    /// Takes a machine from the pool with the largest surplus that has a movable one.
    template <typename Fits>
    bool assign_surplus(pool_account& pool, const Fits& fits) {
        std::vector<pool_account*> donors;
        for (pool_account& item : m_pools) {
            if (&item != &pool && item.surplus() > 0) {
                donors.push_back(&item);
            }
        }
        std::ranges::sort(donors, std::greater{}, &pool_account::surplus);
        return std::ranges::any_of(donors,
                                   [&](pool_account* donor) { return transfer_from(*donor, pool, fits); });
    }

    template <typename Fits>
    bool transfer_from(pool_account& donor, pool_account& pool, const Fits& fits) {
        for (auto* list : {&donor.idle, &donor.evacuation_candidates}) {
            const auto found = std::ranges::find_if(*list, [&](const balance_machine* item) {
                return is_compatible(*item, pool) && fits(*item) &&
                       donor.can_release(*item, &label_account::wanted);
            });
            if (found == list->end()) {
                continue;
            }
            const balance_machine& machine = **found;
            if (list == &donor.idle) {
                move(machine, pool.name);
            } else {
                m_plan.vms_to_evacuate.insert(machine.vm);
            }
            list->erase(found);
            donor.remove_machine(machine);
            pool.add_machine(machine);
            return true;
        }
        return false;
    }

    std::vector<pool_account> m_pools;
    std::vector<const balance_machine*> m_spares;
    balance_state& m_state;
    balance_plan m_plan;
};

} // namespace

std::vector<vm_load> merge_by_id(std::span<const vm_load> incarnations) {
    std::map<std::string, vm_load> by_id;
    for (const vm_load& load : incarnations) {
        const std::string id(vm_id_of(load.vm));
        const auto [item, is_new] = by_id.try_emplace(id, load);
        vm_load& merged = item->second;
        merged.vm = id;
        if (!is_new) {
            merged.is_usable = merged.is_usable || load.is_usable;
            merged.is_idle = merged.is_idle && load.is_idle;
            merged.released = merged.released && load.released;
            merged.hosts_long_lived = merged.hosts_long_lived || load.hosts_long_lived;
            merged.used_millicores += load.used_millicores;
        }
    }
    std::vector<vm_load> result;
    result.reserve(by_id.size());
    for (auto& item : by_id) {
        result.push_back(std::move(item.second));
    }
    return result;
}

balance_plan plan_balance(const std::vector<balance_machine>& machines,
                          const std::map<std::string, pool_demand>& demands, const std::string& spare_pool,
                          const balance_settings& settings, balance_state& state, timestamp now) {
    std::vector<pool_account> pools;
    pools.reserve(demands.size());
    for (const auto& [name, demand] : demands) {
        pools.push_back(make_account(name, demand, machines, settings));
    }
    std::vector<const balance_machine*> spares;
    for (const balance_machine& machine : machines) {
        if (machine.pool == spare_pool && machine.is_up && !machine.is_reserved) {
            spares.push_back(&machine);
        }
    }
    std::size_t available = spares.size();
    for (const pool_account& pool : pools) {
        available += pool.held;
    }
    // Those that are being moved count as well: while thousands of machines leave their pools at the start of
    // a fleet, what is up is a part of it.
    const auto usable = static_cast<std::size_t>(std::ranges::count_if(
        machines, [](const balance_machine& machine) { return machine.is_up || machine.is_moving; }));
    std::map<std::string, std::size_t> kept = keep_reserves(pools, usable, settings, state, now);
    const std::size_t unneeded = assign_unneeded(pools, distribute_shares(pools, available));
    planner plan_builder(std::move(pools), std::move(spares), state);
    plan_builder.plan().unneeded_machines = unneeded;
    plan_builder.plan().kept = std::move(kept);
    plan_builder.fill_labels();
    plan_builder.fill_pools();
    for (pool_account& pool : plan_builder.pools()) {
        if (pool.held <= pool.retained) {
            state.surplus_since.erase(pool.name);
            continue;
        }
        const timestamp since = state.surplus_since.try_emplace(pool.name, now).first->second;
        if (!spare_pool.empty() && now - since >= settings.release_delay) {
            plan_builder.release_surplus(pool, spare_pool);
        }
    }
    return std::move(plan_builder.plan());
}

} // namespace siskinpaddle::jobs
