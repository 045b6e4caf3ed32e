#pragma once

#include "jobs/fair_shares.hpp"
#include "jobs/job_admission.hpp"
#include "jobs/job_state.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace siskinpaddle::jobs {

/// Why a task has no run at present.
enum class wait_reason : std::uint8_t {
    capacity,        ///< No VM of the pool has room for it, or jobs before it take the room.
    earlier_steps,   ///< Tasks of earlier steps are not done.
    due_time,        ///< Its occurrence is not due yet.
    account_limit,   ///< Its account uses all that it may have running.
    unconfirmed_vms, ///< A previous owner may have started it on a VM that has not answered yet.
    crash_evidence   ///< VMs ended while running it; it waits for a VM where it can do less harm.
};

/// A job that waits, in the order in which the pool's owner places jobs.
struct waiting_job {
    std::string job;
    std::string account; ///< Empty if it has none.
    std::string queue;
    job_rank rank;
    milliseconds waiting{0};         ///< Since it was accepted, or since its occurrence was due.
    milliseconds until_objective{0}; ///< Negative once its objective has passed.
    std::uint32_t waiting_tasks = 0;
    std::uint32_t running_tasks = 0;
    wait_reason reason = wait_reason::capacity; ///< Of its first waiting task.
};

/// One run of a task, for an operator.
struct run_report {
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
    std::string vm;
    run_phase phase = run_phase::starting;
    milliseconds age{0};
    std::int64_t percent = 0;
};

/// One step of one occurrence of a job, for an operator.
struct step_report {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t tasks = 0;
    std::uint32_t done = 0;
    std::uint32_t waiting = 0;
    std::optional<wait_reason> reason; ///< Of its first waiting task; empty if none waits.
    std::vector<run_report> runs;
};

/// All that the owner knows about one job, without its payload.
struct job_report {
    std::string job;
    std::string account;
    std::string queue;
    job_phase phase = job_phase::queued;
    milliseconds age{0};
    milliseconds until_objective{0}; ///< Of the first occurrence.
    std::vector<step_report> steps;
};

/// What one account has in a pool.
struct account_report {
    std::string account;
    resources used;
    resources ceiling; ///< What it may use here; unlimited_resources without a limit.
    bool is_limited = false;
    std::size_t jobs = 0;
    std::size_t waiting_jobs = 0;
    account_share share;
};

} // namespace siskinpaddle::jobs

template <>
inline constexpr std::array siskinpaddle::enum_names<siskinpaddle::jobs::wait_reason>{
    std::pair{siskinpaddle::jobs::wait_reason::capacity, std::string_view("capacity")},
    std::pair{siskinpaddle::jobs::wait_reason::earlier_steps, std::string_view("earlier-steps")},
    std::pair{siskinpaddle::jobs::wait_reason::due_time, std::string_view("due-time")},
    std::pair{siskinpaddle::jobs::wait_reason::account_limit, std::string_view("account-limit")},
    std::pair{siskinpaddle::jobs::wait_reason::unconfirmed_vms, std::string_view("unconfirmed-vms")},
    std::pair{siskinpaddle::jobs::wait_reason::crash_evidence, std::string_view("crash-evidence")}};

template <>
inline constexpr std::array siskinpaddle::enum_names<siskinpaddle::jobs::run_phase>{
    std::pair{siskinpaddle::jobs::run_phase::starting, std::string_view("starting")},
    std::pair{siskinpaddle::jobs::run_phase::unconfirmed, std::string_view("unconfirmed")},
    std::pair{siskinpaddle::jobs::run_phase::running, std::string_view("running")},
    std::pair{siskinpaddle::jobs::run_phase::stopping, std::string_view("stopping")}};
