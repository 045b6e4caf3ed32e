#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <map>

namespace siskinpaddle::jobs {

/// Capacity of a pool over time, as far as it is known: what it has now, and what joins it later.
struct capacity_forecast {
    std::int64_t present_millicores = 0;
    std::int64_t joining_millicores = 0; ///< Joins at `joins_after`, and stays.
    milliseconds joins_after{0};

    /// Work that can be done within `time`, millicore-milliseconds.
    [[nodiscard]] std::int64_t work_within(milliseconds time) const noexcept;
    /// Time that this much work takes; max_time if it can't be done within that.
    [[nodiscard]] milliseconds time_for(std::int64_t work) const noexcept;

    static constexpr milliseconds max_time = 1h;
};

/// Work that a pool has accepted and not done yet, by when it is due. Work is done in the order of its due
/// times, as the scheduler places it. Not thread-safe.
///
/// Answers the load of a pool whose accepted jobs have later steps: counted by what could start now, a pool
/// whose demand ends seems to need almost nothing, gives its machines away, and finishes the jobs that it
/// has accepted late.
class commitments {
  public:
    /// Adds `work`, in millicore-milliseconds, that is due at `due`.
    void add(timestamp due, std::int64_t work);
    void clear() noexcept;

    [[nodiscard]] std::int64_t total_work() const noexcept { return m_total; }
    /// Work that is due at `at` or before.
    [[nodiscard]] std::int64_t work_due_by(timestamp at) const;
    /// Smallest constant capacity that does all work in time. Work that is due within min_time, or overdue,
    /// counts as due then: no capacity could do overdue work in time.
    [[nodiscard]] std::int64_t needed_millicores(timestamp now) const {
        return needed_millicores(now, min_time);
    }
    /// The same with all work that is due within `soonest` counted as due then, as capacity that comes only
    /// after that time can do it. Precondition: `soonest` > 0.
    [[nodiscard]] std::int64_t needed_millicores(timestamp now, milliseconds soonest) const;
    /// When `work` that is due at `due` would be done, behind all work that is due no later.
    [[nodiscard]] timestamp done_at(timestamp due, std::int64_t work, const capacity_forecast& capacity,
                                    timestamp now) const;
    /// Whether all work would still be done in time if `work` that is due at `due` were added. Work that is
    /// late without it doesn't count.
    [[nodiscard]] bool admits(timestamp due, std::int64_t work, const capacity_forecast& capacity,
                              timestamp now) const;

    /// Shortest time over which work is spread when the needed capacity is computed: tasks take a few hundred
    /// milliseconds, so that more capacity would not end them sooner.
    static constexpr milliseconds min_time = 500ms;

  private:
    /// Due times are rounded down to this, which bounds the number of entries.
    static constexpr milliseconds resolution = 50ms;

    std::map<timestamp, std::int64_t> m_work; ///< By due time.
    std::int64_t m_total = 0;
};

} // namespace siskinpaddle::jobs
