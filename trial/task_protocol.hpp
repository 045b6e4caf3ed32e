#pragma once

#include "policy/policy.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace siskinpaddle {

/// Order to a worker for one task.
enum class task_order : std::uint8_t { run, checkpoint_and_stop, stop };

template <>
inline constexpr std::array enum_names<task_order>{
    std::pair{task_order::run, std::string_view("run")},
    std::pair{task_order::checkpoint_and_stop, std::string_view("checkpoint-and-stop")},
    std::pair{task_order::stop, std::string_view("stop")}};

/// State of a task as reported by its worker.
enum class task_state : std::uint8_t {
    absent, ///< Unknown to the worker, which will never run the task under this epoch.
    running,
    done,
    failed,
    stopped
};

template <>
inline constexpr std::array enum_names<task_state>{
    std::pair{task_state::absent, std::string_view("absent")},
    std::pair{task_state::running, std::string_view("running")},
    std::pair{task_state::done, std::string_view("done")},
    std::pair{task_state::failed, std::string_view("failed")},
    std::pair{task_state::stopped, std::string_view("stopped")}};

/// One task in a call to a worker. The epoch distinguishes successive assignments of a job: a worker never
/// restarts an epoch that has ended on it, and refuses older epochs.
struct task_call {
    std::string job;
    std::uint32_t epoch = 0;
    task_order order = task_order::run;
    std::string kind;
    std::uint64_t expected_ms = 0;
    job_size size;
};

/// One task in a worker's answer. The reported usage lags behind the actual usage.
struct task_report {
    std::string job;
    std::uint32_t epoch = 0;
    task_state state = task_state::absent;
    job_size used;
};

/// A worker's answer: the boot count of its VM and the states of its tasks.
struct worker_answer {
    std::uint64_t boot = 0;
    std::vector<task_report> tasks;
};

[[nodiscard]] std::string encode_task_calls(const std::vector<task_call>& calls, milliseconds lease);
[[nodiscard]] std::vector<task_call> decode_task_calls(std::string_view text, milliseconds& lease,
                                                       findings& problems);
[[nodiscard]] std::string encode_worker_answer(const worker_answer& answer);
[[nodiscard]] worker_answer decode_worker_answer(std::string_view text, findings& problems);

} // namespace siskinpaddle
