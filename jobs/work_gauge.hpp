#pragma once

#include "jobs/job_state.hpp"

#include <map>
#include <string>

namespace siskinpaddle::jobs {

/// Measures work in the room that it takes on a pool's VMs and in the time that it really takes. Not
/// thread-safe.
///
/// Answers two ways in which declared figures mislead admission and the demand for machines:
/// - Tasks fill a VM by memory before its processor is full. Counted by processor alone such a VM looks half
///   empty, its pool asks for no machines, and its queue stands still.
/// - Estimates are wrong together, not only one by one: all tasks of a queue may take 1.4 times what was
///   declared, so a turn of demand asks for too few machines for as long as it lasts.
class work_gauge {
  public:
    /// A VM of the pool has this capacity. Where they differ, the largest counts.
    void record_vm_capacity(const resources& capacity) noexcept;
    [[nodiscard]] const resources& largest_vm_capacity() const noexcept { return m_largest_vm_capacity; }

    /// Room that a need takes on a VM, as millicores of that VM: the share of whichever it takes most of.
    [[nodiscard]] std::int64_t equivalent_millicores(const resources& need) const noexcept;

    /// A task of the queue ended as done after `took`, from its start to the word of its end.
    void record_task(const std::string& queue, std::int64_t estimate_ms, milliseconds took);
    /// How much longer than estimated the queue's tasks take together; 1 while little is known.
    [[nodiscard]] double time_factor(const std::string& queue) const;

  private:
    struct time_totals {
        double estimated_ms = 0;
        double taken_ms = 0;
    };

    resources m_largest_vm_capacity;
    std::map<std::string, time_totals> m_queues;
};

/// Work of so many tasks of a step, millicore-milliseconds.
[[nodiscard]] std::int64_t estimate_work(const step_spec& step, std::uint32_t tasks, const std::string& queue,
                                         const work_gauge& gauge);
/// Work of a whole job, millicore-milliseconds. Long-running tasks count as none.
[[nodiscard]] std::int64_t estimate_job_work(const job_spec& spec, const work_gauge& gauge);

/// Work in tasks that have no run yet, millicore-milliseconds.
struct waiting_work {
    std::int64_t all = 0;
    std::int64_t runnable = 0; ///< The part of it whose earlier steps are done.
};
/// What waits of one occurrence of the job.
[[nodiscard]] waiting_work estimate_waiting_work(const job_state& job, std::uint32_t occurrence,
                                                 const work_gauge& gauge);

} // namespace siskinpaddle::jobs
