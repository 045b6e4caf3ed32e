#pragma once

#include "jobs/job_state.hpp"

#include <map>
#include <string>

namespace siskinpaddle::jobs {

/// Measures work by the share of a VM that it takes and by its observed duration. Not thread-safe.
///
/// Corrects two errors that declared figures cause in admission and in the demand for machines:
/// - Tasks can use up a VM's memory before its processor. Counted by processor alone, such a VM appears half
///   empty, its pool requests no machines, and its queue stalls.
/// - Estimates can be wrong for a whole queue, not only for single tasks: if all its tasks take 1.4 times the
///   declared time, too few machines are requested throughout a demand peak.
class work_gauge {
  public:
    /// Records the capacity of a VM of the pool. If capacities differ, the largest is used.
    void record_vm_capacity(const resources& capacity) noexcept;
    /// Capacity of the largest VM recorded; zero if none was recorded yet.
    [[nodiscard]] const resources& largest_vm_capacity() const noexcept { return m_largest_vm_capacity; }

    /// The share of the largest VM that `need` takes, expressed in millicores of that VM. The resource with
    /// the largest share decides.
    [[nodiscard]] std::int64_t equivalent_millicores(const resources& need) const noexcept;

    /// Records a successful task of the queue. `took`: time from its start to the report of its end.
    void record_task(const std::string& queue, std::int64_t estimate_ms, milliseconds took);
    /// Ratio of observed to estimated time over the queue's tasks; close to 1 until enough tasks are
    /// recorded.
    [[nodiscard]] double time_factor(const std::string& queue) const;

  private:
    struct time_totals {
        double estimated_ms = 0;
        double taken_ms = 0;
    };

    resources m_largest_vm_capacity;
    std::map<std::string, time_totals> m_queues;
};

/// Work of `tasks` tasks of the step, millicore-milliseconds.
[[nodiscard]] std::int64_t estimate_work(const step_spec& step, std::uint32_t tasks, const std::string& queue,
                                         const work_gauge& gauge);
/// Work of a whole job, millicore-milliseconds. Long-lived tasks count as no work.
[[nodiscard]] std::int64_t estimate_job_work(const job_spec& spec, const work_gauge& gauge);

/// Work in tasks that have no run yet, millicore-milliseconds.
struct waiting_work {
    std::int64_t all = 0;
    std::int64_t runnable = 0; ///< The part whose earlier steps are done.
};
/// Waiting work of one occurrence of the job. Tasks that a previous owner may have started are not counted:
/// they can't be started until the VMs that may run them have responded or their leases have expired, and by
/// then they are late. Counted, they would keep new jobs out of a pool with free VMs for that long.
[[nodiscard]] waiting_work estimate_waiting_work(const job_state& job, std::uint32_t occurrence,
                                                 const work_gauge& gauge);

} // namespace siskinpaddle::jobs
