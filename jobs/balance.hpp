#pragma once

#include "jobs/pool_reserves.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace siskinpaddle::jobs {

/// State of one VM as reported by its pool's owner.
struct vm_load {
    std::string vm;
    bool is_usable = false; ///< It accepts new runs.
    bool is_idle = false;   ///< No run is or may become active there, and the ends of all runs are stored.
    bool released = false;  ///< It is kept empty, and after a takeover the new owner would not wait for it.
    bool hosts_long_lived = false; ///< It runs long-lived tasks.
    std::int64_t used_millicores = 0;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(vm, is_usable, is_idle, released, hosts_long_lived, used_millicores);
    }
};

/// Returns the loads by the ids of the VMs, which is how the platform names them in its list of machines. A
/// VM whose previous incarnation may still hold runs is as busy as both. Pure; thread-safe.
[[nodiscard]] std::vector<vm_load> merge_by_id(std::span<const vm_load> incarnations);

/// The part of a pool's demand that only VMs with a given label can serve.
struct label_demand {
    std::string label;
    std::int64_t need_millicores = 0; ///< As in `pool_demand`.
    std::int64_t retained_millicores = 0;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(label, need_millicores, retained_millicores);
    }
};

/// A pool's demand as reported by the pool's owner.
struct pool_demand {
    std::int64_t need_millicores = 0; ///< Capacity needed now to finish jobs within their objectives.
    /// The same, decaying slowly: capacity worth keeping for demand to come.
    std::int64_t retained_millicores = 0;
    /// Further capacity for accepted work that is late. Served only from machines that no pool needs for work
    /// that can still finish in time.
    std::int64_t late_millicores = 0;
    /// Minimum number of VMs for the long-lived tasks: a step may limit how many of its tasks share a VM,
    /// however small the tasks are.
    std::uint64_t min_vms = 0;
    std::vector<label_demand> labels; ///< Included in the totals above.
    /// Capacity needed to finish all accepted work that can still be in time, later steps included. Not part
    /// of the archive below, which older versions read; `peer_answer` carries it.
    std::int64_t committed_millicores = 0;
    std::vector<vm_load> vms;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(need_millicores, retained_millicores, late_millicores, min_vms, labels, vms);
    }
};

/// State of one machine as listed by the platform.
struct balance_machine {
    std::string machine;
    std::string pool;
    std::string kind;
    std::string rack;
    std::string availability_zone;
    std::string vm; ///< Empty while it runs no VM.
    bool is_up = false;
    bool is_moving = false;
    bool is_reserved = false; ///< Needed for maintenance, or an order for it is in flight.
    bool kept_empty = false;  ///< Its pool's owner already keeps its VM empty.
    std::int64_t millicores = 0;

    /// Whether its VM can run tasks that require the label.
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
    std::set<std::string> vms_to_evacuate;   ///< VMs to evacuate so that their machines can be moved next.
    std::size_t unneeded_machines = 0;       ///< Machines beyond the demand of all pools together.
    std::map<std::string, std::size_t> kept; ///< Pool -> VMs that it keeps, as of pool_reserves.
};

/// State carried over from one plan to the next.
struct balance_state {
    std::map<std::string, timestamp> surplus_since; ///< Pool -> when its surplus began.
    /// Pairs of machine kind and pool for which a move was refused.
    std::set<std::pair<std::string, std::string>> refused_kinds;
    pool_reserves reserves;
};

struct balance_settings {
    /// VMs that a pool keeps regardless of its demand, so that it still serves after losing one.
    std::size_t min_vms = 2;
    /// A pool releases machines only after it has had a surplus for this long. A move costs about as much as
    /// one machine for a second, and so does moving it back; releasing for a shorter gap is not worth it.
    milliseconds release_delay = 500ms;
    /// Factor on the demand, since tasks don't fill a VM to the last core.
    double headroom = 1.15;
    reserve_settings reserves;
};

/// Plans which machines move to which pool. Demand peaks move from pool to pool and reach several times the
/// capacity of one pool while other pools idle: unused machines are moved to the pools that need them, and to
/// the spare pool, where they cost nothing, while no pool needs them. Of the idle ones each pool keeps its
/// reserve (`pool_reserves`), which yields to the need of other pools. If the pools together need more than
/// there is, each gets the same share of its need, so that a pool whose peak ends gives up machines to the
/// one whose peak begins. Machines with labels that a pool's tasks require are assigned first and released
/// last: counted by cores alone, a pool whose tasks require one kind of machine could be filled with another
/// kind, request no more machines, and never finish its jobs. Only VMs without runs are moved. If
/// `spare_pool` is empty, no machines are released. Machines of pools without an entry in `demands` are not
/// moved.
[[nodiscard]] balance_plan plan_balance(const std::vector<balance_machine>& machines,
                                        const std::map<std::string, pool_demand>& demands,
                                        const std::string& spare_pool, const balance_settings& settings,
                                        balance_state& state, timestamp now);

} // namespace siskinpaddle::jobs
