#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskinpaddle::jobs {

/// What is known of a machine when a wave is planned.
struct wave_machine {
    std::string machine;
    std::string pool;
    std::string vm;                  ///< Incarnation that it runs; empty while it runs none.
    bool is_up = true;               ///< It runs, and is not being moved or kept up.
    bool in_maintenance = false;     ///< It is down for an upkeep, or may be by an earlier owner's order.
    bool kept_empty = false;         ///< Nothing runs there, and its pool's owner keeps it so.
    bool is_idle = false;            ///< Nothing runs there just now.
    bool evacuating = false;         ///< Its pool's owner is emptying it already.
    bool hosts_long_running = false; ///< It runs tasks that don't end by themselves.
};

/// An upkeep that was ordered and is not known to be over.
struct pending_maintenance {
    std::string vm_before; ///< The VM that the machine ran then; empty for one that was off.
    timestamp ordered_at{0};
    bool confirmed = false; ///< The platform has answered that it is carried out.
};

/// A wave as its owner follows it.
struct wave_state {
    std::int64_t number = 0;
    std::vector<std::string> machines;
    std::size_t max_concurrent = 1;
    /// When all should be done; nothing if the wave was begun by an earlier owner.
    std::optional<timestamp> due_at;
    std::set<std::string> confirmed; ///< The platform has answered that their upkeep is carried out.
    std::map<std::string, pending_maintenance> pending; ///< Ordered, and not known to be back.
};

/// What to do next.
struct wave_step {
    std::vector<std::string> to_evacuate; ///< Machines whose VMs are to be empty.
    std::vector<std::string> to_maintain; ///< Machines whose upkeep may begin now.
    bool completed = false;
};

/// How many machines of one pool are emptied ahead of their turn: the next one is ready when its turn comes,
/// and no more of the pool's room is given up than that.
inline constexpr std::size_t evacuate_ahead = 1;

/// How many machines of the wave may be down or on the way there, so that it ends in time with a reserve.
/// Answers waves that come in a turn of demand: with all that the operator allows taken at once, a fifth of
/// the fleet is missing for the turn's first seconds, and idle for the rest of the wave's time. A wave whose
/// begin is not known goes at the operator's bound.
[[nodiscard]] std::size_t wave_concurrency(const wave_state& wave, std::size_t remaining,
                                           milliseconds maintenance_time, timestamp now);

/// Plans a wave's next step. An order without an answer is given again, which the platform takes for the same
/// one; only confirmed ones count for the wave's end. Never more than `at_once` machines are down for it,
/// counting every machine whose order may have been carried out; machines that are idle go first, since they
/// cost nobody anything. `upkeep_time`: how long a machine is down.
[[nodiscard]] wave_step plan_wave(wave_state& wave, const std::map<std::string, wave_machine>& machines,
                                  milliseconds maintenance_time, timestamp now);

} // namespace siskinpaddle::jobs
