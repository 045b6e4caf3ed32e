#pragma once

#include "policy/jobs.hpp"

#include <vector>

namespace siskinpaddle {

/// How a task ended or goes on, as its worker said.
enum class task_result : std::uint8_t { running, done, failed, stopped };

/// One worker's word on one assignment of a job.
struct task_update {
    std::string job;
    std::uint32_t epoch = 0;
    task_result result = task_result::running;
    std::string vm;
    job_size used = {};
};

/// Enters the workers' words into a table. Words on an older epoch are ignored: that assignment has been
/// given up and its end counted already. Returns whether anything changed, so entering the same words twice
/// changes nothing. Pure.
bool apply_task_updates(job_table& table, const std::vector<task_update>& updates);

} // namespace siskinpaddle
