#pragma once

#include "policy/policy.hpp"

#include <string>
#include <vector>

namespace siskinpaddle::tests {

/// Builds small fleets for policy tests: VMs are serving, entries have applied everything, the list is
/// recent.
struct fleet_builder {
    configuration config;
    fleet_record fleet;
    observations observed;
    timestamp now{1'000};

    fleet_builder() {
        config.number = 1;
        config.members["m"] = {std::string(64, '0'), true};
        fleet.revision = 10;
        observed.is_list_known = true;
    }

    fleet_builder& pool(const std::string& name, std::int64_t promised, std::int64_t size) {
        config.pools[name].member = "m";
        config.pools[name].promised = promised;
        config.pools[name].size = size;
        return *this;
    }

    fleet_builder& entry(const std::string& id, const std::string& zone = "a") {
        fleet.put_entry({id, zone, "127.0.0.1", 1, "127.0.0.1", 2, 7});
        report(id);
        return *this;
    }

    fleet_builder& vm(const std::string& id, const std::string& pool, const std::string& zone = "a",
                      const std::string& rack = "r1") {
        vm_record record;
        record.id = id;
        record.availability_zone = zone;
        record.rack = rack;
        record.address = "127.0.0.1";
        record.port = 80;
        record.agent_port = 81;
        record.cores = 32;
        record.memory_mb = 64'000;
        record.pool = pool;
        record.state = pool.empty() ? vm_state::free : vm_state::serving;
        record.boot_count = 1;
        record.state_revision = 1;
        fleet.put_vm(record);
        add_to_list(id, record);
        return *this;
    }

    fleet_builder& wave(const std::string& name, const std::string& pool, std::int64_t order,
                        std::int64_t width) {
        config.waves[name] = {pool, order, width, 60s, false};
        return *this;
    }

    /// Records a heartbeat of the entry that reports the current revision as applied.
    void report(const std::string& id) {
        entry_report& item = observed.entries[id];
        item.incarnation = 7;
        item.applied_config = config.number;
        item.applied_fleet = fleet.revision;
        item.received_at = now;
    }

    void report_all() {
        for (const entry_record& item : fleet.entries) {
            report(item.id);
        }
    }

    void add_to_list(const std::string& id, const vm_record& record) {
        listed_vm item;
        item.id = id;
        item.availability_zone = record.availability_zone;
        item.rack = record.rack;
        item.address = record.address;
        item.port = record.port;
        item.agent_port = record.agent_port;
        item.cores = record.cores;
        item.memory_mb = record.memory_mb;
        item.boot_count = record.boot_count;
        observed.listed_vms[id] = item;
    }

    /// Runs one planning step `later` milliseconds after the last one, with a newly read list, and applies
    /// the plan.
    fleet_plan step(planner& planning, milliseconds later = 1s) {
        now += later;
        observed.list_read_at = now;
        fleet_plan plan = planning.step(config, fleet, observed, now);
        if (plan.changed) {
            fleet = plan.next;
        }
        return plan;
    }

    /// Simulates the plan's completion: the platform performs the reboots, all entries report, and returning
    /// VMs pass their health check.
    void complete_actions(const fleet_plan& plan) {
        for (const reboot_action& action : plan.reboots) {
            observed.listed_vms[action.vm].boot_count = fleet.find_vm(action.vm)->boot_count + 1;
        }
        for (auto& [id, item] : observed.entries) {
            item.healthy_vms.clear();
            for (const vm_record& vm : fleet.vms) {
                if (vm.state == vm_state::returning) {
                    item.healthy_vms.insert(vm.id);
                }
            }
        }
        report_all();
    }

    /// Runs `count` planning steps and completes the actions of each.
    void run(planner& planning, int count = 60) {
        for (int i = 0; i < count; ++i) {
            complete_actions(step(planning));
        }
    }

    [[nodiscard]] vm_state state(const std::string& id) const { return fleet.find_vm(id)->state; }
    [[nodiscard]] std::string pool_of(const std::string& id) const { return fleet.find_vm(id)->pool; }
};

} // namespace siskinpaddle::tests
