#pragma once

#include "jobs/job_state.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace siskinpaddle::jobs {

/// Where a job stands among the others that wait for room; smaller goes first.
struct job_rank {
    /// 0: long-running jobs, which earn from the moment they run and are few. 1: jobs that can still reach
    /// their objective. 2: jobs that will be late. 3: jobs too late to be of use; they only fill idle room.
    int group = 1;
    int priority = 0;
    timestamp objective_at{0};

    auto operator<=>(const job_rank&) const = default;
};

/// When what may begin at `begins_at` should be done for the job's client to be served in time.
[[nodiscard]] timestamp objective_of(const job_state& job, const queue_settings& queue, timestamp begins_at);

/// Ranks what may begin at `begins_at`: a job, or one of its occurrences. Answers a demand that rises to
/// several times the pool's room for seconds: first come, first served would serve every job late once the
/// queue is longer than the objective, so a job that has missed its objective makes way for those that can
/// still reach theirs.
[[nodiscard]] job_rank rank_of(const job_state& job, const queue_settings& queue, timestamp begins_at,
                               timestamp now);

/// Within this time work that waits should be done, ms: well within objectives of two seconds and more.
inline constexpr std::int64_t drain_time_ms = 1000;
/// Within this time work that is late should be done: its callers wait, but no longer for an objective.
inline constexpr std::int64_t late_drain_time_ms = 4000;

/// Load of a pool, as admission sees it.
struct pool_load {
    std::int64_t waiting_work = 0;  ///< Millicore-milliseconds that go before a new job.
    std::int64_t runnable_work = 0; ///< The part of it that could run now; the rest waits for earlier steps.
    std::int64_t upcoming_work = 0; ///< Of occurrences that are due by the time that machines take to come.
    std::int64_t late_work = 0;     ///< Of accepted jobs that are late; it goes after a new job, but is done.
    std::int64_t usable_millicores = 0;       ///< Capacity of the VMs that take work ...
    std::int64_t used_millicores = 0;         ///< ... the room that runs take there ...
    std::int64_t long_running_millicores = 0; ///< ... and the part of it that long-running tasks keep.
    std::size_t usable_vms = 0;
    /// What the owner can keep at work, where it gets starts out more slowly than there is room: its link or
    /// its processor binds, and VMs beyond that would idle.
    std::optional<std::int64_t> sustained_millicores;

    std::int64_t arriving_millicores = 0;   ///< Of VMs that are on their way to the pool ...
    std::int64_t obtainable_millicores = 0; ///< ... and of machines that no pool wants just now.

    /// Capacity that running, waiting and coming work would use if what does not run yet were to be done
    /// within the drain time.
    [[nodiscard]] std::int64_t wanted_millicores() const noexcept {
        return used_millicores + (runnable_work + upcoming_work) / drain_time_ms;
    }
    /// Capacity that late work would use were it to be done within its drain time.
    [[nodiscard]] std::int64_t late_millicores() const noexcept { return late_work / late_drain_time_ms; }
    /// The part of a need that the owner can make use of.
    [[nodiscard]] std::int64_t limit_to_sustained(std::int64_t need_millicores) const noexcept;
    /// How long the pool takes for the work that waits, with the machines that are on their way.
    [[nodiscard]] milliseconds queue_wait() const noexcept;
    /// The same, with the machines that can be had as well once they have come.
    [[nodiscard]] milliseconds shortest_queue_wait() const noexcept;

  private:
    [[nodiscard]] std::int64_t millicores_for_waiting_work(std::int64_t extra_millicores) const noexcept;
};

/// How long machines take to come: a round of their owner, and the 1.8 s from the order to the first task.
inline constexpr milliseconds machine_lead_time = 2s;

/// Follows the capacity that a pool needs: at once upwards, slowly downwards, so that the gaps between two
/// bursts don't send machines away that are needed again a second later. Upwards it goes by the rate at which
/// work arrives: machines take two seconds to come, and by the time that the queue shows what a new turn of
/// demand needs, its first callers are late. A rate that rises is carried on to when the machines come: a
/// turn that rises evenly over four seconds is half over by then.
class demand_meter {
  public:
    /// A job was handed in, accepted or turned away; `work` in millicore-milliseconds.
    void record_arrival(const std::string& job, std::int64_t work, timestamp now);
    /// `wanted`: what running and waiting work would use now; `endless`: the part of it that long-running
    /// tasks keep beside whatever arrives; millicores.
    void update(std::int64_t wanted, std::int64_t long_running, timestamp now);
    /// What is needed now: for what is there, or for what has arrived lately, whichever is more; millicores.
    [[nodiscard]] std::int64_t current_need() const noexcept {
        return static_cast<std::int64_t>(m_current_need);
    }
    /// The same, falling slowly.
    [[nodiscard]] std::int64_t smoothed_need() const noexcept {
        return static_cast<std::int64_t>(m_smoothed_need);
    }

  private:
    struct arrival {
        std::int64_t work = 0;
        timestamp at{0};
    };

    [[nodiscard]] double projected_rate(timestamp now) const;

    std::map<std::string, arrival> m_arrivals; ///< By job: a client's retries count once.
    double m_current_need = 0;
    double m_smoothed_need = 0;
    timestamp m_updated_at{0};
};

/// What to do with a job that a client wants to submit.
struct admission_verdict {
    bool accepted = true;
    milliseconds retry_after{0};
    milliseconds queue_time{0}; ///< How long the work that waits takes; what decided.
};

/// Accepts a job if it can reach its objective behind the work that waits, so that accepted work is finished
/// in time and the rest is told at once to come back later. Answers bursts and turns above the pool's room:
/// with everything accepted, all jobs end late. Long-running jobs are always accepted; they need room, not
/// turns.
///
/// While there are machines that no pool wants, a job that will be late is accepted as well if it will be of
/// some use: its room is taken from nobody, and a caller who is refused seldom has time for a second try.
/// Accepting late jobs without such machines would serve fewer in time.
[[nodiscard]] admission_verdict admit(const job_spec& spec, const queue_settings& queue,
                                      std::int64_t critical_path_ms, const pool_load& load);

} // namespace siskinpaddle::jobs
