#pragma once

#include "core/core.hpp"
#include "fakes/task_machine.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace siskinpaddle::soak {

/// What clients saw of one job.
struct job_history {
    std::uint32_t tasks = 0;
    bool long_running = false;     ///< Its tasks run until it is cancelled.
    bool faulty = false;           ///< Its first task crashes every VM that starts it.
    bool failed = false;           ///< It was shown as failed.
    bool may_run = false;          ///< A submit was answered with success, or had an unknown outcome.
    bool submit_in_flight = false; ///< A submit is on its way; its outcome is open.
    timestamp submitted{0};        ///< When it was first sent.
    timestamp accepted{0};         ///< First success; 0: none yet.
    timestamp cancelled{0};        ///< Its cancelling was answered with success.
    bool cancel_sent = false;
    bool cancel_in_flight = false; ///< The cancelling is on its way.
    bool completed = false;        ///< It was shown as completed.
};

using fakes::vm_run;

/// What a node told of how many accepted jobs of the queue have not begun; a refusal tells nothing.
struct reported_count {
    std::uint32_t node = 0;
    timestamp sent{0}; ///< The request.
    timestamp answered{0};
    std::size_t jobs = 0;
};

/// How many jobs may have waited when a count was made: the fewest and the most that it may hold.
struct waiting_range {
    std::size_t least = 0;
    std::size_t most = 0;
};

/// What a node answered when it was asked for the queue that only one version of the configuration has.
struct configuration_probe {
    std::int64_t queried_version = 0;  ///< The version.
    std::int64_t newest_seen = 0;      ///< Newest version that this process had shown when it was asked.
    std::int64_t newest_published = 0; ///< Newest version there was when the answer came.
    bool is_present = false;
    bool is_missing = false; ///< Neither of both: it told nothing.
};

/// Bounds of the checks that have one.
struct check_bounds {
    std::size_t max_runs_per_vm = 0; ///< Tasks that fit on one VM.
    /// How long after the answer to a cancelling an order of an owner that was cut off or paused may still
    /// arrive: as long as a start may be on its way, and the owner may act beyond its claim.
    milliseconds max_start_after_cancel{0};
    /// How old a count may be when it is told; the platform's bound.
    milliseconds max_count_age{2000};
    /// How long after its acceptance a job may be unknown to its pool's owner; the platform's bound.
    milliseconds visible_within{3000};
};

/// Bounds of a VM's room.
struct capacity_bounds {
    std::int64_t task_millicores = 0;
    milliseconds lag{0}; ///< How long a capacity of before may still be gone by.
};

/// Finds broken promises in what clients and VMs saw. Pure. `live` are the VMs that are up; runs of others
/// ended when they crashed. `now` is when the records were read.
[[nodiscard]] std::vector<std::string> check_runs(const std::map<std::string, job_history>& jobs,
                                                  const std::vector<vm_run>& runs, const check_bounds& bounds,
                                                  timestamp now);
/// Starts that fill a VM beyond the most that it had said it had room for within `lag` before. What is being
/// stopped counts. Pure; thread-safe.
[[nodiscard]] std::vector<std::string> check_capacity(const std::vector<vm_run>& runs,
                                                      const std::vector<fakes::vm_capacity>& capacities,
                                                      const capacity_bounds& bounds, timestamp now);
/// Faulty tasks that owners in touch start too often after VMs have crashed under them. `in_touch` is asked
/// about runs. Pure; thread-safe.
[[nodiscard]] std::vector<std::string> check_crashes(const std::map<std::string, job_history>& jobs,
                                                     const std::vector<vm_run>& runs,
                                                     const std::function<bool(const vm_run&)>& had_contact);
/// Whether the process shows an older configuration than it had shown. A queue that is missing tells so only
/// if its version was still the newest: an answer may come from after the next one came into force. Pure;
/// thread-safe.
[[nodiscard]] bool shows_older_configuration(const configuration_probe& probe) noexcept;
/// Jobs that were accepted and not cancelled, and are not shown as completed. Those whose tasks run until
/// they are cancelled count until that was answered.
[[nodiscard]] std::vector<std::string> unfinished_jobs(const std::map<std::string, job_history>& jobs);
/// Runs that go on although their job's cancelling was answered.
[[nodiscard]] std::vector<std::string> runs_left_after_cancel(const std::map<std::string, job_history>& jobs,
                                                              const std::vector<vm_run>& runs);

/// For each count, the jobs that waited by what clients and VMs saw. The least: accepted more than the bounds
/// before the request was sent, nothing of them begun when the answer came, no cancelling sent. The most:
/// handed in before the answer came, and waiting at some time since the request was sent less the age that a
/// count may have; jobs of unknown outcome only if they were seen to begin after that. Pure; thread-safe.
[[nodiscard]] std::vector<waiting_range> waiting_ranges(const std::map<std::string, job_history>& jobs,
                                                        const std::vector<vm_run>& runs,
                                                        std::span<const reported_count> reported,
                                                        const check_bounds& bounds);
/// Counts that are under half of the jobs that certainly waited: what holds also amid faults. Pure;
/// thread-safe.
[[nodiscard]] std::vector<std::string> check_counts(const std::map<std::string, job_history>& jobs,
                                                    const std::vector<vm_run>& runs,
                                                    std::span<const reported_count> reported,
                                                    const check_bounds& bounds);
/// The same and more for counts told once all faults are over: none may be over twice the jobs that can have
/// waited, so 0 when none can, and each of `nodes` nodes must have told one. Pure; thread-safe.
[[nodiscard]] std::vector<std::string> check_final_counts(const std::map<std::string, job_history>& jobs,
                                                          const std::vector<vm_run>& runs,
                                                          std::span<const reported_count> reported,
                                                          const check_bounds& bounds, std::uint32_t nodes);

} // namespace siskinpaddle::soak
