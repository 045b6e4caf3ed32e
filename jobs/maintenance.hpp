#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskinpaddle::jobs {

/// State of a machine when a wave is planned.
struct wave_machine {
    std::string machine;
    std::string pool;
    std::string vm;                ///< Incarnation of the VM that it runs; empty if it runs none.
    bool is_up = true;             ///< It is running, and neither being moved nor in maintenance.
    bool in_maintenance = false;   ///< It is down for maintenance, or may be by a previous owner's order.
    bool kept_empty = false;       ///< Nothing runs there, and its pool's owner starts nothing there.
    bool is_idle = false;          ///< Nothing runs there at present.
    bool evacuating = false;       ///< Its pool's owner is already evacuating it.
    bool hosts_long_lived = false; ///< It runs long-lived tasks.
};

/// Maintenance of a machine that was ordered and is not known to be finished.
struct pending_maintenance {
    std::string vm_before; ///< The VM that the machine ran when ordered; empty if it was off.
    timestamp ordered_at{0};
    bool confirmed = false; ///< The platform has confirmed the order.
};

/// State of a wave as tracked by the fleet's owner.
struct wave_state {
    std::int64_t number = 0;
    std::vector<std::string> machines;
    std::size_t max_concurrent = 1;
    /// When the wave should be completed; empty if a previous owner began it.
    std::optional<timestamp> due_at;
    std::set<std::string> confirmed; ///< Machines whose maintenance the platform has confirmed.
    std::map<std::string, pending_maintenance> pending; ///< Ordered and not known to be finished.
};

/// Actions to take next for a wave.
struct wave_step {
    std::vector<std::string> to_evacuate; ///< Machines whose VMs are to be evacuated.
    std::vector<std::string> to_maintain; ///< Machines whose maintenance may begin now.
    bool completed = false;
};

/// How many machines are evacuated ahead of those whose maintenance may begin: the next machine is empty when
/// one of them finishes, and no further capacity is lost.
inline constexpr std::size_t evacuate_ahead = 1;

/// How many machines of the wave may be down or being evacuated at a time, so that the wave ends in time with
/// a reserve. A wave may coincide with a demand peak: taking as many machines at once as the operator allows
/// would remove a fifth of the fleet in the first seconds of the peak, and the wave would then be finished
/// long before its deadline. A wave whose deadline is not known, or less than the reserve away, uses the
/// operator's limit. `remaining`: machines without confirmed maintenance. `maintenance_time`: how long a
/// machine is down.
[[nodiscard]] std::size_t wave_concurrency(const wave_state& wave, std::size_t remaining,
                                           milliseconds maintenance_time, timestamp now);

/// Plans a wave's next step. An order without an answer is sent again, which the platform treats as the same
/// order; only confirmed orders count towards completion. At most `max_concurrent` machines are down for the
/// wave, counting every machine whose order may have been carried out. Machines that are kept empty go first,
/// since their maintenance interrupts no runs. `maintenance_time`: how long a machine is down.
[[nodiscard]] wave_step plan_wave(wave_state& wave, const std::map<std::string, wave_machine>& machines,
                                  milliseconds maintenance_time, timestamp now);

} // namespace siskinpaddle::jobs
