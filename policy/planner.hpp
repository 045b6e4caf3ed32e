#pragma once

#include "policy/budget.hpp"
#include "policy/configuration.hpp"
#include "policy/fleet.hpp"
#include "policy/observations.hpp"

#include <map>
#include <string>
#include <vector>

namespace siskinpaddle {

/// Options of the planner, mainly for the trade-off between idle VMs and moves. The first-fit baseline exists
/// for comparison.
struct planner_options {
    bool share_free_vms = true;      ///< Add a free VM to a pool without spare VMs while its wave runs.
    bool lend_spares = true;         ///< Move another pool's spare VM to a breached pool when no VM is free.
    bool keep_replacement_vm = true; ///< A VM that replaced another one stays; the replaced one becomes free.
    milliseconds replacement_delay = 10min; ///< Delay before a lost VM, which may return, is replaced.
    std::int64_t reserve = 0;               ///< VMs above the promised number that waves keep in service.
    bool first_fit = false;                 ///< Choose VMs by order of their ids, not by tasks and racks.
    milliseconds unlisted_timeout = 10s;    ///< Time after which a VM that isn't listed counts as lost.
};

/// Derives the options from an operator's weights. The ratio of the weights determines `replacement_delay`.
[[nodiscard]] planner_options planner_options_for(const weight_settings& weights);

/// A request to the platform to reboot a VM for its pool. Idempotent: the platform identifies the operation
/// by its id, which consists of VM, epoch and boot count.
struct reboot_action {
    std::string vm;
    std::string pool;
    std::string operation;

    bool operator==(const reboot_action&) const = default;
};

/// One decision, for the event log and the golden sessions.
struct plan_decision {
    std::string vm; ///< Empty when the decision concerns an entry or a pool.
    std::string text;

    bool operator==(const plan_decision&) const = default;
};

/// A blocked step and the reason. The step continues without intervention when the reason no longer applies.
struct plan_wait {
    std::string subject; ///< "vm w-03", "wave spring", "pool pricing".
    std::string reason;

    bool operator==(const plan_wait&) const = default;
};

/// Result of one planning step.
struct fleet_plan {
    bool changed = false;
    fleet_record next; ///< Only with `changed`: the record to write, with the old revision plus one.
    std::vector<reboot_action> reboots;
    std::vector<plan_decision> decisions;
    std::vector<plan_wait> waits;
    availability_map pools;
};

/// Decides on the next state of every VM. Its only state is the time at which it first saw each VM's state or
/// absence from the list; when that is lost because another entry takes over, decisions are only delayed.
/// Does no I/O and reads no clock. Not thread-safe.
class planner {
  public:
    explicit planner(planner_options options = {}) : m_options(options) {}

    void set_options(const planner_options& options) { m_options = options; }

    /// Plans one step at time `now`. Preconditions: `config` has no findings; `now` never decreases.
    [[nodiscard]] fleet_plan step(const configuration& config, const fleet_record& fleet,
                                  const observations& observed, timestamp now);

  private:
    class pass;

    /// Time at which a VM's current state was first seen.
    struct known_state {
        std::uint64_t revision = 0;
        timestamp first_seen{0};
    };

    planner_options m_options;
    std::map<std::string, timestamp> m_unlisted_since;
    std::map<std::string, known_state> m_states;
};

} // namespace siskinpaddle
