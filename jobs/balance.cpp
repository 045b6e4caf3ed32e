#include "jobs/balance.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

namespace siskinpaddle::jobs {

namespace {

/// VMs with one label that a pool's tasks require.
struct label_account {
    std::size_t held = 0;
    std::size_t wanted = 0;
    std::size_t retained = 0;
};

/// A pool while a plan is made.
struct pool_account {
    std::string name;
    std::map<std::string, label_account> labels;
    std::size_t held = 0;                     ///< VMs that work for it, or are about to.
    std::size_t min_vms = 0;                  ///< It keeps these whatever others need.
    std::size_t wanted = 0;                   ///< Its share of what there is, by its need now.
    std::size_t retained = 0;                 ///< Above this it gives machines back.
    std::size_t wanted_for_late = 0;          ///< It can use so many more for work that is late.
    std::vector<const balance_machine*> idle; ///< May leave at once.
    std::vector<const balance_machine*>
        evacuation_candidates; ///< May leave when their short runs have ended.

    [[nodiscard]] std::size_t missing() const noexcept { return wanted > held ? wanted - held : 0; }
    [[nodiscard]] std::size_t surplus() const noexcept { return held > wanted ? held - wanted : 0; }

    /// Counts a machine that works for the pool, or is about to.
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
    /// Whether the pool keeps as many VMs of each label as `bound` says when the machine leaves.
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

/// Sorts the pool's machines into those that may leave now, may leave soon, and must stay.
void classify_machines(pool_account& account, const pool_demand& demand,
                       const std::vector<balance_machine>& machines) {
    std::vector<std::pair<std::int64_t, const balance_machine*>> clearable;
    for (const balance_machine& machine : machines) {
        if (machine.pool != account.name || machine.is_reserved) {
            continue;
        }
        const vm_load* load = find_load(demand, machine.vm);
        if (machine.is_moving || (machine.is_up && load == nullptr)) {
            account.add_machine(machine); // On its way, or not yet seen by the pool's owner.
            continue;
        }
        if (!machine.is_up || load == nullptr || !load->is_usable) {
            continue;
        }
        account.add_machine(machine);
        if (load->hosts_long_running) {
            continue;
        }
        if (load->is_idle) {
            account.idle.push_back(&machine);
        } else {
            clearable.emplace_back(load->used_millicores, &machine);
        }
    }
    // Those that are kept empty already can go at once, and the least busy ones are empty soonest.
    std::ranges::stable_sort(account.idle, std::greater{}, &balance_machine::kept_empty);
    std::ranges::stable_sort(clearable, {}, [](const auto& item) { return item.first; });
    for (const auto& [used, machine] : clearable) {
        account.evacuation_candidates.push_back(machine);
    }
}

/// What a machine counts for: they differ in size, and it is not known which of them a pool will get. With
/// all counted as the largest of the pool's own, a pool of smaller ones would get too few.
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
        demand.vms, [](const vm_load& vm) { return vm.is_usable && vm.hosts_long_running; }));
    account.min_vms = std::max({settings.min_vms, hosts, static_cast<std::size_t>(demand.min_vms)});
    account.wanted = std::max(account.min_vms, vms_needed(demand.need_millicores, each, settings));
    account.retained = std::max(account.wanted, vms_needed(demand.retained_millicores, each, settings));
    account.wanted_for_late = vms_needed(demand.late_millicores, each, settings);
    return account;
}

/// Where there are fewer machines than all pools want, each gets the same share of what it wants beyond its
/// least.
/// Returns how many nobody wants.
std::size_t distribute_shares(std::vector<pool_account>& pools, std::size_t machines) {
    std::size_t least = 0;
    std::size_t wanted = 0;
    for (const pool_account& pool : pools) {
        least += pool.min_vms;
        wanted += pool.wanted;
    }
    if (wanted <= machines || wanted == least) {
        return machines - std::min(machines, wanted);
    }
    const double beyond = machines > least ? static_cast<double>(machines - least) : 0;
    const double share = beyond / static_cast<double>(wanted - least);
    for (pool_account& pool : pools) {
        const double part = share * static_cast<double>(pool.wanted - pool.min_vms);
        pool.wanted = pool.min_vms + static_cast<std::size_t>(part);
    }
    return 0;
}

/// Gives machines that nobody needs to pools with late work, most to the pool that can use most. Answers a
/// burst that left accepted jobs behind: they ask for nothing in time, so their pool gave its machines away
/// and never finished them, while machines idled. Returns how many are still left.
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

class planner {
  public:
    planner(std::vector<pool_account> pools, std::vector<const balance_machine*> spares, balance_state& state)
        : m_pools(std::move(pools)), m_spares(std::move(spares)), m_state(state) {}

    balance_plan& plan() { return m_plan; }
    std::vector<pool_account>& pools() { return m_pools; }

    /// Gives pools the machines with the labels that their tasks require, as far as there are any.
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

    /// Gives the pool that lacks most the next machine, until nobody lacks or nothing is left.
    void fill_pools() {
        const auto any = [](const balance_machine&) { return true; };
        while (true) {
            const auto neediest = std::ranges::max_element(m_pools, {}, &pool_account::missing);
            if (neediest == m_pools.end() || neediest->missing() == 0) {
                return;
            }
            if (!assign_spare(*neediest, any) && !assign_surplus(*neediest, any)) {
                neediest->wanted = neediest->held; // Nothing is left for it now.
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

    /// Takes a machine from the pool that has most to spare and any that can leave.
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
    const std::size_t unneeded = assign_unneeded(pools, distribute_shares(pools, available));
    planner plan_builder(std::move(pools), std::move(spares), state);
    plan_builder.plan().unneeded_machines = unneeded;
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
