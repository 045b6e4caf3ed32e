#pragma once

#include "policy/jobs.hpp"

#include <vector>

namespace siskinpaddle {

/// Progress or end of a task, as reported by its worker.
enum class task_result : std::uint8_t { running, done, failed, stopped };

/// A worker's report on one assignment of a job.
struct task_update {
    std::string job;
    std::uint32_t epoch = 0;
    task_result result = task_result::running;
    std::string vm;
    job_size used = {};
};

/// Applies workers' reports to a job table. Reports on an older epoch are ignored: the job has been
/// reassigned and the end of that assignment has already been recorded. Returns whether the table changed;
/// applying the same reports again changes nothing. Pure.
bool apply_task_updates(job_table& table, const std::vector<task_update>& updates);

} // namespace siskinpaddle
