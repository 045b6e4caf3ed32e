#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace siskinpaddle::jobs {

/// One VM as its pool's owner sees it.
struct vm_load {
    std::string vm;
    bool is_usable = false; ///< It takes work.
    bool is_idle = false;   ///< Nothing runs there, or may yet start, and what ended there is stored.
    bool released = false;  ///< It is kept empty, and a new owner would not wait for it.
    bool hosts_long_running = false; ///< It has runs that don't end by themselves.
    std::int64_t used_millicores = 0;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(vm, is_usable, is_idle, released, hosts_long_running, used_millicores);
    }
};

/// The part of a pool's demand that only VMs with a certain label serve.
struct label_demand {
    std::string label;
    std::int64_t need_millicores = 0; ///< As in `pool_demand`.
    std::int64_t retained_millicores = 0;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(label, need_millicores, retained_millicores);
    }
};

/// What a pool's owner tells of its demand.
struct pool_demand {
    std::int64_t need_millicores = 0; ///< Capacity that would keep its jobs within their objectives now.
    std::int64_t retained_millicores =
        0; ///< The same, falling only slowly: what is worth keeping for what may come.
    /// Further capacity for accepted work that is late. Served from machines that no pool needs for work that
    /// can still be in time.
    std::int64_t late_millicores = 0;
    /// VMs that its long-running tasks need at least: few of a step may share one, however small they are.
    std::uint64_t min_vms = 0;
    std::vector<label_demand> labels; ///< Each is contained in the figures above.
    std::vector<vm_load> vms;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(need_millicores, retained_millicores, late_millicores, min_vms, labels, vms);
    }
};

/// One machine as the platform lists it.
struct balance_machine {
    std::string machine;
    std::string pool;
    std::string kind;
    std::string rack;
    std::string availability_zone;
    std::string vm; ///< Empty while it runs none.
    bool is_up = false;
    bool is_moving = false;
    bool is_reserved = false; ///< An upkeep wants it, or an order about it is under way.
    bool kept_empty = false;  ///< Its pool's owner keeps it empty already.
    std::int64_t millicores = 0;

    /// Whether its VM serves tasks that require the label.
    [[nodiscard]] bool has_label(const std::string& label) const noexcept {
        return label == kind || label == rack;
    }
};

struct machine_move {
    std::string machine;
    std::string pool;
    std::string from;
    bool operator==(const machine_move&) const = default;
};

struct balance_plan {
    std::vector<machine_move> moves;
    std::set<std::string> vms_to_evacuate; ///< VMs that are to be empty, so that they can be moved next.
    std::size_t unneeded_machines = 0;     ///< Machines beyond what all pools want together.
};

/// What one plan leaves for the next.
struct balance_state {
    std::map<std::string, timestamp> surplus_since; ///< Pool -> since when it has more than it needs.
    std::set<std::pair<std::string, std::string>>
        refused_kinds; ///< Kind of machine and pool that don't go together.
};

/// Figures of the balancing.
struct balance_settings {
    /// VMs that a pool keeps whatever its demand, so that the loss of one leaves it serving.
    std::size_t min_vms = 2;
    /// A pool gives machines back only after it had too many for this long. A move costs about as much as one
    /// machine for a second, and so does the way back; a pause shorter than that is not worth it.
    milliseconds release_delay = 500ms;
    /// Beyond the demand, since tasks don't fill a VM to the last core.
    double headroom = 1.15;
};

/// Plans which machines go to which pool. Answers demand that moves from pool to pool, several times what one
/// holds, while the others idle: machines that nobody uses follow it, and wait in the spare pool, where they
/// cost nothing, when nobody needs them. Where all together need more than there is, each gets the same share
/// of its need, so that a pool whose turn ends gives way to the one whose turn begins. Machines with the
/// labels that a pool's tasks require come first and leave last: counted by cores alone a pool whose tasks
/// want one kind of machine would get another and ask for no more, and its jobs would never be done. Only VMs
/// on which nothing runs are moved. `spare_pool` may be empty: then nothing is given back. Pools without an
/// entry in `demands` are left alone.
[[nodiscard]] balance_plan plan_balance(const std::vector<balance_machine>& machines,
                                        const std::map<std::string, pool_demand>& demands,
                                        const std::string& spare_pool, const balance_settings& settings,
                                        balance_state& state, timestamp now);

} // namespace siskinpaddle::jobs
