#pragma once

#include "policy/budget.hpp"
#include "policy/configuration.hpp"
#include "policy/fleet.hpp"
#include "policy/observations.hpp"

#include <map>
#include <string>
#include <vector>

namespace siskinpaddle {

/// How the planner trades buffer against moves; the baseline is kept for comparison.
struct planner_options {
    bool share_free_vms = true;      ///< Lend free VMs to a pool while its wave runs.
    bool lend_spares = true;         ///< Give a breached pool another pool's spare VM when none is free.
    bool keep_replacement_vm = true; ///< A VM that replaced another stays, the other becomes free.
    milliseconds replacement_delay = 10min; ///< How long a lost VM may come back before it is replaced.
    std::int64_t reserve = 0;               ///< VMs above the promise that planned steps leave untouched.
    bool first_fit = false;                 ///< Take VMs in order of their ids, not by tasks and racks.
    milliseconds unlisted_timeout = 10s;    ///< How long a VM must be unlisted before it counts as lost.
};

/// Derives the options from an operator's weights: what moves cost sets the patience before a replacement.
[[nodiscard]] planner_options planner_options_for(const weight_settings& weights);

/// Asks the platform to reboot a VM for its pool. Repeating it is harmless: the platform knows the operation
/// by VM and epoch or boot count.
struct reboot_action {
    std::string vm;
    std::string pool;
    std::string operation;

    bool operator==(const reboot_action&) const = default;
};

/// One decision, for the log and for golden sessions.
struct plan_decision {
    std::string vm; ///< Empty where an entry or a pool is meant.
    std::string text;

    bool operator==(const plan_decision&) const = default;
};

/// Something that can't go on, and why. It goes on by itself when the reason ends.
struct plan_wait {
    std::string subject; ///< "vm w-03", "wave spring", "pool pricing".
    std::string reason;

    bool operator==(const plan_wait&) const = default;
};

/// Outcome of one planning step.
struct fleet_plan {
    bool changed = false;
    fleet_record next; ///< Only with `changed`: the record to write at the old record's revision plus one.
    std::vector<reboot_action> reboots;
    std::vector<plan_decision> decisions;
    std::vector<plan_wait> waits;
    availability_map pools;
};

/// Decides on every VM's next state. Pure but for its memory of when it first saw something; losing that
/// memory (another entry takes over) only delays decisions. It does no I/O and reads no clock. Not
/// thread-safe.
class planner {
  public:
    explicit planner(planner_options options = {}) : m_options(options) {}

    void set_options(const planner_options& options) { m_options = options; }

    /// One step at time `now`. Preconditions: `config` has no findings; `now` never goes back.
    [[nodiscard]] fleet_plan step(const configuration& config, const fleet_record& fleet,
                                  const observations& seen, timestamp now);

  private:
    class pass;

    /// When a VM's present state was first seen.
    struct known_state {
        std::uint64_t revision = 0;
        timestamp first_seen{0};
    };

    planner_options m_options;
    std::map<std::string, timestamp> m_unlisted_since;
    std::map<std::string, known_state> m_states;
};

} // namespace siskinpaddle
