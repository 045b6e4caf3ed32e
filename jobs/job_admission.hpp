#pragma once

#include "jobs/commitments.hpp"
#include "jobs/job_state.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace siskinpaddle::jobs {

/// Rank of a job among the jobs that wait for capacity; smaller ranks are placed first.
struct job_rank {
    /// 0: long-lived jobs, which are few and are of use from the moment they run. 1: jobs that can still
    /// meet their objective. 2: jobs that have missed their objective. 3: jobs too late to be useful, which
    /// only fill idle capacity.
    int group = 1;
    int priority = 0;
    timestamp objective_at{0};

    auto operator<=>(const job_rank&) const = default;
};

/// Returns when work that may begin at `begins_at` must be done to meet its queue's objective.
[[nodiscard]] timestamp objective_of(const job_state& job, const queue_settings& queue, timestamp begins_at);

/// Ranks a job, or one of its occurrences, that may begin at `begins_at`. Demand can rise to several times
/// the pool's capacity for seconds: first come, first served would then finish every job late once the queue
/// is longer than the objective, so a job that has missed its objective yields to jobs that can still meet
/// theirs.
[[nodiscard]] job_rank rank_of(const job_state& job, const queue_settings& queue, timestamp begins_at,
                               timestamp now);

/// Target time for draining waiting work, ms: well within objectives of two seconds and more.
inline constexpr std::int64_t drain_time_ms = 1000;
/// Target time for draining late work, ms: clients wait for this work, but its objective is already missed.
inline constexpr std::int64_t late_drain_time_ms = 4000;

/// Time from the need for a machine to its first task: a round of the fleet's owner, and 1.8 s from the
/// order to the first task.
inline constexpr milliseconds machine_lead_time = 2s;

/// Load of a pool, as used by admission.
struct pool_load {
    std::int64_t waiting_work = 0; ///< Millicore-milliseconds that are placed before a new job.
    /// The part of `waiting_work` that could run now; the rest waits for earlier steps.
    std::int64_t runnable_work = 0;
    std::int64_t upcoming_work = 0; ///< Work of occurrences that become due within machine_lead_time.
    /// Work of accepted jobs that are late; it ranks after a new job, but is done.
    std::int64_t late_work = 0;
    std::int64_t usable_millicores = 0;     ///< Capacity of the VMs that accept work.
    std::int64_t used_millicores = 0;       ///< Capacity of these VMs that runs use.
    std::int64_t long_lived_millicores = 0; ///< The part of `used_millicores` that long-lived tasks use.
    std::size_t usable_vms = 0;
    /// Capacity that the owner can keep busy. Set only while the owner's link or processor limits the rate of
    /// starts; VMs beyond this capacity would be idle.
    std::optional<std::int64_t> sustained_millicores;

    std::int64_t arriving_millicores = 0;   ///< Capacity of VMs that are being moved to the pool.
    std::int64_t obtainable_millicores = 0; ///< Capacity of machines that no pool wants at present.

    /// Capacity that running, waiting and upcoming work would use if all work that isn't running yet were
    /// done within the drain time.
    [[nodiscard]] std::int64_t wanted_millicores() const noexcept {
        return used_millicores + (runnable_work + upcoming_work) / drain_time_ms;
    }
    /// Capacity that late work would use if it were done within its drain time.
    [[nodiscard]] std::int64_t late_millicores() const noexcept { return late_work / late_drain_time_ms; }
    /// Limits a need to the capacity that the owner can keep busy.
    [[nodiscard]] std::int64_t limit_to_sustained(std::int64_t need_millicores) const noexcept;
    /// Time that the pool needs for the waiting work, with the VMs that are being moved to it.
    [[nodiscard]] milliseconds queue_wait() const noexcept;
    /// The same as queue_wait(), with the obtainable machines added after machine_lead_time.
    [[nodiscard]] milliseconds shortest_queue_wait() const noexcept;
    /// Capacity for work that isn't running yet: the VMs that are there or being moved, and the obtainable
    /// machines after machine_lead_time.
    [[nodiscard]] capacity_forecast forecast() const noexcept;
    /// Time until a job that has missed its objective could begin: behind the waiting and the late work.
    [[nodiscard]] milliseconds late_queue_wait() const noexcept;

  private:
    [[nodiscard]] std::int64_t available_millicores(std::int64_t extra_millicores) const noexcept;
    [[nodiscard]] std::int64_t millicores_for_waiting_work(std::int64_t extra_millicores) const noexcept;
};

/// Tracks the capacity that a pool needs. The need rises at once and falls slowly, so that machines aren't
/// released in the gap between two bursts and needed again a second later. A rise is derived from the rate at
/// which work arrives: machines take two seconds to arrive, and by the time the queue shows a rise in demand,
/// its first jobs are late. A rising rate is extrapolated to the time when the machines arrive: a demand that
/// rises evenly over four seconds has completed half of its rise by then.
class demand_meter {
  public:
    /// Records a submitted job, accepted or refused; `work` in millicore-milliseconds.
    void record_arrival(const std::string& job, std::int64_t work, timestamp now);
    /// `wanted`: capacity that running and waiting work would use now; `long_lived`: the part of it that
    /// long-lived tasks use in addition to any arriving work; both in millicores.
    void update(std::int64_t wanted, std::int64_t long_lived, timestamp now);
    /// Capacity needed now, millicores: for present work or for recently arrived work, whichever needs more.
    [[nodiscard]] std::int64_t current_need() const noexcept {
        return static_cast<std::int64_t>(m_current_need);
    }
    /// The same as current_need(), but falls slowly.
    [[nodiscard]] std::int64_t smoothed_need() const noexcept {
        return static_cast<std::int64_t>(m_smoothed_need);
    }

  private:
    struct arrival {
        std::int64_t work = 0;
        timestamp at{0};
    };

    [[nodiscard]] double projected_rate(timestamp now) const;

    std::map<std::string, arrival> m_arrivals; ///< By job, so that a client's retries count once.
    double m_current_need = 0;
    double m_smoothed_need = 0;
    timestamp m_updated_at{0};
};

/// Decision on a job that a client submits.
struct admission_verdict {
    bool accepted = true;
    milliseconds retry_after{0};
    milliseconds queue_time{0}; ///< Estimated time for the waiting work; the basis of the decision.
    milliseconds objective{0};  ///< Time from the client's first attempt until the job must be done.
};

/// Time since its client's first attempt after which a job is of no use.
[[nodiscard]] milliseconds useful_time(milliseconds objective) noexcept;

/// Accepts a job if it can meet its objective behind the waiting work, so that accepted work finishes in time
/// and other jobs are refused at once with a retry delay. If everything were accepted while demand exceeds
/// the pool's capacity, all jobs would end late. Long-lived jobs are always accepted; they need capacity,
/// not a position in the queue.
///
/// While there are machines that no pool wants, a job that will be late is accepted as well if it will still
/// be of some use: it takes capacity from no other job, and a client that is refused seldom has time for a
/// second attempt. Without such machines, accepting late jobs would let fewer jobs finish in time.
///
/// `waited`: time since the client's first attempt, for a job that was refused before. Its objective counts
/// from then. If it will be late, it is accepted if the pool is idle, or if, with such machines, it will
/// still be of some use behind all other work.
[[nodiscard]] admission_verdict admit(const job_spec& spec, const queue_settings& queue,
                                      std::int64_t critical_path_ms, const pool_load& load,
                                      milliseconds waited = milliseconds(0));

} // namespace siskinpaddle::jobs
