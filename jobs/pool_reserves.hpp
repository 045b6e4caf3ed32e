#pragma once

#include "core/core.hpp"

#include <cstddef>
#include <map>
#include <span>
#include <string>

namespace siskinpaddle::jobs {

struct reserve_settings {
    /// Share of the machines without use that pools may keep together; 0: they keep none. Machines are
    /// without use if no pool would need them even if the largest demand of all pools together doubled.
    double max_share = 0;
    /// Time in which the memory of a demand peak halves.
    milliseconds half_life = 10min;
};

/// What is to be known about a pool to decide its reserve; counts of VMs.
struct pool_level {
    std::string pool;
    std::size_t listed = 0; ///< Machines in the pool, whether or not their VMs serve it yet.
    std::size_t wanted = 0; ///< For its present demand, whether or not there are as many machines.
};

/// Decides how many VMs each pool keeps between its demand peaks. Not thread-safe.
///
/// Answers the load of pools whose peaks come by turns in a fleet with plenty of machines: a pool that gives
/// its VMs away as soon as it doesn't use them orders them again at the next peak, and the callers of the
/// peak's first seconds wait until they come. While nobody else wants the machines, a pool keeps as many as
/// its largest peak needed; one that has had no peak yet, as many as it was found with. In a fleet that its
/// pools can fill nothing is kept, so that machines go where work waits.
///
/// State is per fleet's owner and not stored: a new owner finds the pools with the reserves that they have.
class pool_reserves {
  public:
    /// Returns for each pool how many VMs it keeps, its present demand included. `machines`: all that could
    /// serve a pool. Called in each round.
    [[nodiscard]] std::map<std::string, std::size_t> update(std::span<const pool_level> pools,
                                                            std::size_t machines,
                                                            const reserve_settings& settings, timestamp now);

  private:
    std::map<std::string, double> m_peaks; ///< Pool -> its largest level, which fades with time.
    double m_total_peak = 0;               ///< The same of all pools together.
    timestamp m_updated_at{0};
};

/// Shares `available` so that no pool gets more than it asks for and those that get less get the same. Pure;
/// thread-safe.
[[nodiscard]] std::map<std::string, std::size_t>
share_equally(const std::map<std::string, std::size_t>& requests, std::size_t available);

} // namespace siskinpaddle::jobs
