#pragma once

#include "policy/entry_checks.hpp"
#include "policy/planner.hpp"

#include <optional>
#include <set>

namespace siskinpaddle {

/// One pass of the planner over a copy of the fleet record. The order of its parts matters: losses are
/// recorded before new planned steps are started.
class planner::pass {
  public:
    pass(planner& parent, const configuration& config, const fleet_record& fleet,
         const observations& observed, timestamp now);

    fleet_plan run();

  private:
    /// Counts over the VMs of one pool.
    struct pool_counts {
        std::int64_t held = 0;          ///< VMs that stay in the pool or are moving to it.
        std::int64_t awaiting_wave = 0; ///< VMs that a running wave has yet to take out of service.
    };

    [[nodiscard]] const pool_counts& counts_for(const std::string& pool) const;
    void add_to_counts(const vm_record& vm) const;

    // Updates from observed changes of entries and VMs that the planner didn't cause.
    void remove_gone_entries();
    void apply_vm_list();
    void handle_unlisted_vm(vm_record& vm);
    void handle_listed_vm(vm_record& vm, const listed_vm& listed);
    void handle_suspected_vms();

    // Progress of steps that earlier passes started.
    void advance(vm_record& vm);
    [[nodiscard]] bool return_to_breached_pool(vm_record& vm);
    void advance_cordoned(vm_record& vm);
    void advance_draining(vm_record& vm);
    void advance_drained(vm_record& vm);
    void advance_in_maintenance(vm_record& vm);
    void advance_returning(vm_record& vm);
    void advance_lost(vm_record& vm);

    // New planned steps.
    void fill_pools();
    void release_surplus();
    void lend_spare(const std::string& receiver);
    void run_waves();
    void run_wave(const std::string& name, const wave_settings& wave);
    void start_wave_maintenance(vm_record& vm, const wave_settings& wave);
    void record_budget_wait(const std::string& wave, const vm_record& vm);

    [[nodiscard]] bool are_planned_steps_allowed();
    [[nodiscard]] std::int64_t count_held_vms(const std::string& pool) const;
    [[nodiscard]] std::int64_t target_size(const std::string& pool) const;
    [[nodiscard]] bool has_wave_remaining(const std::string& pool) const;
    [[nodiscard]] std::uint64_t newest_wave(const std::string& pool) const;
    [[nodiscard]] const listed_vm* find_listed_vm(const vm_record& vm) const;
    [[nodiscard]] bool is_in_state_for(const vm_record& vm, milliseconds duration) const;
    [[nodiscard]] bool is_suspected_by_own_zone(const vm_record& vm) const;
    [[nodiscard]] vm_record* find_best_free_vm(const std::string& pool);
    [[nodiscard]] vm_record* find_least_loaded_vm(const std::string& pool);
    [[nodiscard]] bool is_wave_running_in(const std::string& pool) const;
    [[nodiscard]] std::string find_pool_below_target() const;
    [[nodiscard]] std::int64_t count_expected_back(const std::string& pool) const;
    [[nodiscard]] int count_tasks_on(const vm_record& vm) const;

    void set_state(vm_record& vm, vm_state state, const std::string& why);
    void mark_lost(vm_record& vm, const std::string& why);
    void begin_maintenance(vm_record& vm, const std::string& pool, const std::string& why);
    void record_states();
    void match_with_list();
    void remove_lost_vms();
    void record_wait(std::string subject, std::string reason);

    planner& m_parent;
    const configuration& m_config;
    const fleet_record& m_fleet;
    const observations& m_observations;
    timestamp m_now;
    fleet_plan m_plan;
    std::uint64_t m_next_revision;
    bool m_is_list_fresh = false;
    std::vector<const listed_vm*> m_listed; ///< Parallel to the VMs of the next record; null when not listed.
    mutable std::map<std::string, pool_counts> m_counts;
    mutable bool m_are_counts_stale = true;
};

} // namespace siskinpaddle
