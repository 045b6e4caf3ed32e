#pragma once

#include "core/core.hpp"

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace siskinpaddle::soak {

enum class fault_kind : std::uint8_t {
    node_kill,
    node_term,
    node_pause,
    store_link_delay,
    store_link_reset,
    store_link_cut_out,
    store_link_cut_back,
    store_link_silent,
    vm_link_delay,
    vm_link_reset,
    vm_link_cut_out,
    vm_link_cut_back,
    vm_link_silent,
    client_link_reset,
    vm_crash,
    store_silent,
    store_busy,
    store_lost_answers,
    store_late_writes,
    store_compact,
    store_leases_lapse,
    new_configuration,
    // Scheduled periodically instead of drawn at random, see make_plan().
    node_slow,        ///< The node is stopped most of the time, so that it gets little processor time.
    store_holds_jobs, ///< Writes of job records wait until the fault ends; other calls are answered.
    vm_shrinks,       ///< The VM reports a smaller capacity until the fault ends.
    vm_fails_runs,    ///< All runs on the VM fail.
    vm_late_orders,   ///< The VM executes some starts late, loses some stops, and answers none of them.
    vm_drains,        ///< The VM reports that it drains, and terminates when the fault ends.
    node_reloads,     ///< The node gets SIGHUP and reads its settings file again.
    vm_restarts,      ///< The VM ends and starts again at once.
    vm_restarts_cut,  ///< As vm_restarts, behind a link that is cut in both directions until the fault ends.
    vm_restarts_late, ///< As vm_restarts, at the end of the fault, while answers of its previous start are
                      ///< late.
    accounts_change,  ///< A new configuration with other API keys and limits.
    store_connections_silent, ///< The node's open connections to the store go silent; new ones work.
    vm_starts_unanswered,     ///< All VMs leave a part of their starts unanswered, and execute some late.
    /// The VM starts again under its id while its open connections go silent, carries out a renewal that its
    /// previous start left unanswered, and is cut off soon after, until the fault ends.
    vm_restarts_then_cut
};

/// One fault of a plan.
struct planned_fault {
    milliseconds start_offset{0}; ///< Since the start of the load.
    milliseconds duration{0};     ///< Until the fault is reverted; 0 for a fault without duration.
    fault_kind kind = fault_kind::node_kill;
    std::uint32_t target = 0; ///< Index of the node or VM, modulo their number.

    bool operator==(const planned_fault&) const = default;
};

/// Whether the fault concerns the process of a node. Thread-safe.
[[nodiscard]] bool is_node_fault(fault_kind kind) noexcept;

/// Returns a plan over `length`, sorted by start: random faults, some of them starting together, and periodic
/// faults that keep jobs in the pool's inbox, disturb VMs or reload nodes. The same seed gives the same plan.
/// Pure; thread-safe.
[[nodiscard]] std::vector<planned_fault> make_plan(std::uint64_t seed, milliseconds length);

} // namespace siskinpaddle::soak

template <>
inline constexpr std::array siskinpaddle::enum_names<siskinpaddle::soak::fault_kind>{
    std::pair{siskinpaddle::soak::fault_kind::node_kill, std::string_view("node-kill")},
    std::pair{siskinpaddle::soak::fault_kind::node_term, std::string_view("node-term")},
    std::pair{siskinpaddle::soak::fault_kind::node_pause, std::string_view("node-pause")},
    std::pair{siskinpaddle::soak::fault_kind::store_link_delay, std::string_view("store-link-delay")},
    std::pair{siskinpaddle::soak::fault_kind::store_link_reset, std::string_view("store-link-reset")},
    std::pair{siskinpaddle::soak::fault_kind::store_link_cut_out, std::string_view("store-link-cut-out")},
    std::pair{siskinpaddle::soak::fault_kind::store_link_cut_back, std::string_view("store-link-cut-back")},
    std::pair{siskinpaddle::soak::fault_kind::store_link_silent, std::string_view("store-link-silent")},
    std::pair{siskinpaddle::soak::fault_kind::vm_link_delay, std::string_view("vm-link-delay")},
    std::pair{siskinpaddle::soak::fault_kind::vm_link_reset, std::string_view("vm-link-reset")},
    std::pair{siskinpaddle::soak::fault_kind::vm_link_cut_out, std::string_view("vm-link-cut-out")},
    std::pair{siskinpaddle::soak::fault_kind::vm_link_cut_back, std::string_view("vm-link-cut-back")},
    std::pair{siskinpaddle::soak::fault_kind::vm_link_silent, std::string_view("vm-link-silent")},
    std::pair{siskinpaddle::soak::fault_kind::client_link_reset, std::string_view("client-link-reset")},
    std::pair{siskinpaddle::soak::fault_kind::vm_crash, std::string_view("vm-crash")},
    std::pair{siskinpaddle::soak::fault_kind::store_silent, std::string_view("store-silent")},
    std::pair{siskinpaddle::soak::fault_kind::store_busy, std::string_view("store-busy")},
    std::pair{siskinpaddle::soak::fault_kind::store_lost_answers, std::string_view("store-lost-answers")},
    std::pair{siskinpaddle::soak::fault_kind::store_late_writes, std::string_view("store-late-writes")},
    std::pair{siskinpaddle::soak::fault_kind::store_compact, std::string_view("store-compact")},
    std::pair{siskinpaddle::soak::fault_kind::store_leases_lapse, std::string_view("store-leases-lapse")},
    std::pair{siskinpaddle::soak::fault_kind::new_configuration, std::string_view("new-configuration")},
    std::pair{siskinpaddle::soak::fault_kind::node_slow, std::string_view("node-slow")},
    std::pair{siskinpaddle::soak::fault_kind::store_holds_jobs, std::string_view("store-holds-jobs")},
    std::pair{siskinpaddle::soak::fault_kind::vm_shrinks, std::string_view("vm-shrinks")},
    std::pair{siskinpaddle::soak::fault_kind::vm_fails_runs, std::string_view("vm-fails-runs")},
    std::pair{siskinpaddle::soak::fault_kind::vm_late_orders, std::string_view("vm-late-orders")},
    std::pair{siskinpaddle::soak::fault_kind::vm_drains, std::string_view("vm-drains")},
    std::pair{siskinpaddle::soak::fault_kind::node_reloads, std::string_view("node-reloads")},
    std::pair{siskinpaddle::soak::fault_kind::vm_restarts, std::string_view("vm-restarts")},
    std::pair{siskinpaddle::soak::fault_kind::vm_restarts_cut, std::string_view("vm-restarts-cut")},
    std::pair{siskinpaddle::soak::fault_kind::vm_restarts_late, std::string_view("vm-restarts-late")},
    std::pair{siskinpaddle::soak::fault_kind::accounts_change, std::string_view("accounts-change")},
    std::pair{siskinpaddle::soak::fault_kind::store_connections_silent,
              std::string_view("store-connections-silent")},
    std::pair{siskinpaddle::soak::fault_kind::vm_starts_unanswered, std::string_view("vm-starts-unanswered")},
    std::pair{siskinpaddle::soak::fault_kind::vm_restarts_then_cut,
              std::string_view("vm-restarts-then-cut")}};
