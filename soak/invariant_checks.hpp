#pragma once

#include "core/core.hpp"
#include "fakes/task_machine.hpp"
#include "soak/load_script.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace siskinpaddle::soak {

/// The queue of a job. Counts are checked of the first one only.
enum class job_queue : std::uint8_t {
    quotes,
    bulk,  ///< Its jobs run in another pool.
    moving ///< Versions of the configuration lead it to one pool or the other, or leave it out.
};

/// What clients observed of one job.
struct job_history {
    std::uint32_t tasks = 0;
    std::size_t account = 0; ///< Index of its account.
    job_queue queue = job_queue::quotes;
    bool long_lived = false;                      ///< Its tasks run until the job is cancelled.
    bool speculative = false;                     ///< Two runs of a task may overlap.
    std::optional<long_task> tail = std::nullopt; ///< A task that runs far longer than estimated.
    bool faulty = false;                          ///< Its first task crashes each VM on which it starts.
    bool failed = false;                          ///< An answer showed the job as failed.
    bool may_run = false;                         ///< A submit succeeded or has an unknown outcome.
    bool submit_in_flight = false;                ///< A submit is in flight; its outcome is open.
    timestamp submitted{0};                       ///< When the first submit was sent.
    timestamp accepted{0};                        ///< When a submit first succeeded; 0: not yet.
    timestamp cancelled{0};                       ///< When the cancellation was confirmed; 0: not yet.
    bool cancel_sent = false;
    bool cancel_in_flight = false; ///< A cancellation is in flight.
    bool completed = false;        ///< An answer showed the job as completed.
};

using fakes::vm_run;

/// A node's answer to a query for the number of accepted jobs of the queue that have not started. Refusals
/// are not recorded.
struct reported_count {
    std::uint32_t node = 0;
    timestamp sent{0}; ///< When the request was sent.
    timestamp answered{0};
    std::size_t jobs = 0;
};

/// Smallest and largest number of jobs that can have waited when a count was made.
struct waiting_range {
    std::size_t least = 0;
    std::size_t most = 0;
};

/// A node's answer to a query for the queue that exists in only one version of the configuration.
struct configuration_probe {
    std::int64_t queried_version = 0;  ///< Version whose queue was queried.
    std::int64_t newest_seen = 0;      ///< Newest version observed on this process when the query was sent.
    std::int64_t newest_published = 0; ///< Newest published version when the answer arrived.
    bool is_present = false;           ///< The queue exists.
    /// The queue doesn't exist. Neither flag is set if the answer is inconclusive.
    bool is_missing = false;
};

/// Bounds that the checks allow for.
struct check_bounds {
    std::size_t max_runs_per_vm = 0; ///< Number of tasks that fit on one VM.
    /// How long after a confirmed cancellation, or after the acknowledged end of one of two runs of a
    /// speculative task, a start sent by a partitioned or paused owner may still arrive: the time that a
    /// start may be in flight, plus the time that the owner may act beyond its claim.
    milliseconds max_start_after_cancel{0};
    /// Maximum age of a count when a node reports it; the platform's bound.
    milliseconds max_count_age{2000};
    /// How long after its acceptance a job may be unknown to the owner of its pool; the platform's bound.
    milliseconds visible_within{3000};
};

/// Bounds for the check of VM capacity.
struct capacity_bounds {
    std::int64_t task_millicores = 0;
    milliseconds lag{0}; ///< How long after a change starts may still rely on the previous capacity.
};

/// Returns violations in the records of clients and VMs: duplicate runs of a task (more than two at a time of
/// a speculative one), runs of refused, cancelled or unknown jobs, too many runs on a VM, and jobs shown as
/// completed too early. `now` is the time at which the records were read. Pure.
[[nodiscard]] std::vector<std::string> check_runs(const std::map<std::string, job_history>& jobs,
                                                  const std::vector<vm_run>& runs, const check_bounds& bounds,
                                                  timestamp now);
/// Returns starts that load a VM beyond the largest capacity that was reported for it within `bounds.lag`
/// before the start. Runs that are being stopped count. Pure; thread-safe.
[[nodiscard]] std::vector<std::string> check_capacity(const std::vector<vm_run>& runs,
                                                      const std::vector<fakes::vm_capacity>& capacities,
                                                      const capacity_bounds& bounds, timestamp now);
/// Returns faulty tasks that owners with contact to the store and the VMs start too often after the tasks
/// have crashed VMs. `had_contact` returns whether the owner that started a run had contact then. Pure;
/// thread-safe.
[[nodiscard]] std::vector<std::string> check_crashes(const std::map<std::string, job_history>& jobs,
                                                     const std::vector<vm_run>& runs,
                                                     const std::function<bool(const vm_run&)>& had_contact);
/// Whether the process uses an older configuration than the newest observed on it. A missing queue proves
/// that only if its version is still the newest one published: otherwise the answer may have been produced
/// after the next version, which lacks that queue, came into force. Pure; thread-safe.
[[nodiscard]] bool shows_older_configuration(const configuration_probe& probe) noexcept;
/// Returns accepted jobs that are neither cancelled nor shown as finished: completed, or failed for a faulty
/// job. A long-lived job counts until its cancellation is confirmed, others until a cancellation is sent.
[[nodiscard]] std::vector<std::string> unfinished_jobs(const std::map<std::string, job_history>& jobs);
/// Returns runs that have not ended although the cancellation of their job was confirmed.
[[nodiscard]] std::vector<std::string> runs_left_after_cancel(const std::map<std::string, job_history>& jobs,
                                                              const std::vector<vm_run>& runs);

/// Returns, for each count, how many jobs waited according to the records of clients and VMs. `least` counts
/// jobs that were accepted more than `max_count_age` plus `visible_within` before the request was sent, had
/// no task started when the answer arrived, and have no cancellation sent. `most` counts jobs that were
/// submitted before the answer arrived and waited at some time after the request was sent minus
/// `max_count_age`; jobs whose submit has an unknown outcome count only if a task started after that time.
/// Pure; thread-safe.
[[nodiscard]] std::vector<waiting_range> waiting_ranges(const std::map<std::string, job_history>& jobs,
                                                        const std::vector<vm_run>& runs,
                                                        std::span<const reported_count> reported,
                                                        const check_bounds& bounds);
/// Returns counts below half of the jobs that certainly waited. No such count is allowed during faults
/// either. Pure; thread-safe.
[[nodiscard]] std::vector<std::string> check_counts(const std::map<std::string, job_history>& jobs,
                                                    const std::vector<vm_run>& runs,
                                                    std::span<const reported_count> reported,
                                                    const check_bounds& bounds);
/// Like check_counts(), with stricter rules for counts that are reported once all faults are over: no count
/// may exceed twice the number of jobs that can have waited, so it must be 0 if none can, and each of the
/// `nodes` nodes must have reported a count. Pure; thread-safe.
[[nodiscard]] std::vector<std::string> check_final_counts(const std::map<std::string, job_history>& jobs,
                                                          const std::vector<vm_run>& runs,
                                                          std::span<const reported_count> reported,
                                                          const check_bounds& bounds, std::uint32_t nodes);

} // namespace siskinpaddle::soak
