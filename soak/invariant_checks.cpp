#include "soak/invariant_checks.hpp"

#include <algorithm>

namespace siskinpaddle::soak {

namespace {

/// Requirement: number of crashes after which a task that crashes its VMs must not be started repeatedly.
constexpr std::size_t max_crashes = 3;
constexpr std::size_t too_many_starts = 3;
/// Number of runs that a speculative task may have at a time.
constexpr std::int64_t max_copies = 2;
/// End of the identifier of the task that crashes its VMs, in a faulty job.
constexpr std::string_view faulty_task_suffix = ".0.0.0";

std::string job_of(const std::string& task) {
    return task.substr(0, task.find('.'));
}

timestamp end_of(const fakes::task_vm::run_record& run, timestamp now) {
    return run.ended_at == timestamp(0) ? now : run.ended_at;
}

std::string text_of(const vm_run& item) {
    return item.run.task + "#" + std::to_string(item.run.attempt) + "@" + item.vm + " [" +
           std::to_string(item.run.started_at.count()) + ".." + std::to_string(item.run.ended_at.count()) +
           " " + item.run.outcome + " ack " + std::to_string(item.run.acknowledged.count()) + "]";
}

/// Checks that no two runs of a task overlap, and that none starts after the end of a successful run was
/// acknowledged.
void check_no_duplicate_runs(const std::vector<vm_run>& of_task, timestamp now,
                             std::vector<std::string>& violations) {
    for (std::size_t i = 0; i < of_task.size(); ++i) {
        for (std::size_t k = 0; k < of_task.size(); ++k) {
            const fakes::task_vm::run_record& first = of_task[i].run;
            const fakes::task_vm::run_record& second = of_task[k].run;
            if (i < k && first.started_at < end_of(second, now) && second.started_at < end_of(first, now)) {
                violations.push_back("two runs at a time: " + text_of(of_task[i]) + " and " +
                                     text_of(of_task[k]));
            }
            const bool is_acknowledged = first.outcome == "done" && first.acknowledged != timestamp(0);
            if (i != k && is_acknowledged && second.started_at > first.acknowledged) {
                violations.push_back("run again after its end: " + text_of(of_task[i]) + " and " +
                                     text_of(of_task[k]));
            }
        }
    }
}

/// Returns how many of the runs were active when `item` started, including `item`.
std::int64_t count_concurrent_runs(const std::vector<vm_run>& runs, const vm_run& item, timestamp now) {
    return std::ranges::count_if(runs, [&](const vm_run& other) {
        return other.run.started_at <= item.run.started_at && end_of(other.run, now) > item.run.started_at;
    });
}

/// Checks that at most two runs of a speculative task overlap, and that none starts long after the end of a
/// successful one was acknowledged.
void check_copies(const std::vector<vm_run>& of_task, const check_bounds& bounds, timestamp now,
                  std::vector<std::string>& violations) {
    for (const vm_run& item : of_task) {
        const auto starts_too_late = [&](const vm_run& other) {
            return other.run.outcome == "done" && other.run.acknowledged != timestamp(0) &&
                   item.run.started_at > other.run.acknowledged + bounds.max_start_after_cancel;
        };
        if (std::ranges::any_of(of_task, starts_too_late)) {
            violations.push_back("copy started long after the end of its task: " + text_of(item));
        }
        if (count_concurrent_runs(of_task, item, now) > max_copies) {
            violations.push_back("more than two runs of a speculative task: " + text_of(item));
        }
    }
}

void check_run_allowed(const job_history& job, const vm_run& item, const check_bounds& bounds,
                       std::vector<std::string>& violations) {
    if (!job.may_run && !job.submit_in_flight) {
        violations.push_back("run of a refused job: " + text_of(item));
    }
    if (job.cancelled != timestamp(0) &&
        item.run.started_at > job.cancelled + bounds.max_start_after_cancel) {
        violations.push_back("started after the cancellation of its job: " + text_of(item));
    }
}

/// Returns the largest capacity that was in force for the VM within `lag` before `at`.
std::int64_t max_reported_capacity(const std::string& vm, const std::vector<fakes::vm_capacity>& capacities,
                                   timestamp at, milliseconds lag) {
    std::int64_t previous_capacity = 0; ///< Capacity in force at `at - lag`.
    std::int64_t max_recent_capacity = 0;
    for (const fakes::vm_capacity& item : capacities) {
        if (item.vm != vm || item.valid_from > at) {
            continue;
        }
        if (item.valid_from <= at - lag) {
            previous_capacity = item.cpu_millicores;
        } else {
            max_recent_capacity = std::max(max_recent_capacity, item.cpu_millicores);
        }
    }
    return std::max(max_recent_capacity, previous_capacity);
}

void check_run_count(const std::vector<vm_run>& of_vm, const check_bounds& bounds, timestamp now,
                     std::vector<std::string>& violations) {
    for (const vm_run& item : of_vm) {
        const std::int64_t concurrent_runs = count_concurrent_runs(of_vm, item, now);
        if (static_cast<std::size_t>(concurrent_runs) > bounds.max_runs_per_vm) {
            violations.push_back("more runs than fit: " + std::to_string(concurrent_runs) + " at " +
                                 text_of(item));
            return;
        }
    }
}

/// When the first task of each started job started on a VM, by job.
using first_starts = std::map<std::string, timestamp>;

first_starts find_first_starts(const std::vector<vm_run>& runs) {
    first_starts result;
    for (const vm_run& item : runs) {
        const auto [position, is_first] = result.try_emplace(job_of(item.run.task), item.run.started_at);
        position->second = std::min(position->second, item.run.started_at);
    }
    return result;
}

bool must_have_waited(const job_history& job, std::optional<timestamp> started,
                      const reported_count& reported, const check_bounds& bounds) {
    const bool is_known = job.accepted != timestamp(0) &&
                          job.accepted + bounds.max_count_age + bounds.visible_within < reported.sent;
    return is_known && !job.cancel_sent && (!started || *started > reported.answered);
}

bool may_have_waited(const job_history& job, std::optional<timestamp> started, const reported_count& reported,
                     const check_bounds& bounds) {
    const timestamp oldest = reported.sent - bounds.max_count_age;
    if (job.submitted > reported.answered) {
        return false;
    }
    if (started) {
        return *started >= oldest;
    }
    return job.cancel_sent ? job.cancelled >= oldest : job.accepted != timestamp(0);
}

waiting_range waiting_range_of(const std::map<std::string, job_history>& jobs, const first_starts& starts,
                               const reported_count& reported, const check_bounds& bounds) {
    waiting_range result;
    for (const auto& [id, job] : jobs) {
        if (job.queue != job_queue::quotes) {
            continue;
        }
        const auto found = starts.find(id);
        const auto started = found == starts.end() ? std::nullopt : std::optional(found->second);
        result.least += must_have_waited(job, started, reported, bounds) ? 1 : 0;
        result.most += may_have_waited(job, started, reported, bounds) ? 1 : 0;
    }
    return result;
}

std::string text_of(const reported_count& reported, const waiting_range& waited) {
    return "n" + std::to_string(reported.node + 1) + " [asked " + std::to_string(reported.sent.count()) +
           " answered " + std::to_string(reported.answered.count()) + "] reported " +
           std::to_string(reported.jobs) + " waiting jobs, " + std::to_string(waited.least) + " to " +
           std::to_string(waited.most) + " waited";
}

} // namespace

std::vector<std::string> check_runs(const std::map<std::string, job_history>& jobs,
                                    const std::vector<vm_run>& runs, const check_bounds& bounds,
                                    timestamp now) {
    std::vector<std::string> violations;
    std::map<std::string, std::vector<vm_run>> by_task;
    std::map<std::string, std::vector<vm_run>> by_vm;
    std::map<std::string, std::set<std::string>> done;
    for (const vm_run& item : runs) {
        by_task[item.run.task].push_back(item);
        by_vm[item.vm].push_back(item);
        const std::string id = job_of(item.run.task);
        if (item.run.outcome == "done") {
            done[id].insert(item.run.task);
        }
        const auto job = jobs.find(id);
        if (job == jobs.end()) {
            violations.push_back("run of an unknown job: " + text_of(item));
        } else {
            check_run_allowed(job->second, item, bounds, violations);
        }
    }
    for (const auto& [task, of_task] : by_task) {
        const auto job = jobs.find(job_of(task));
        if (job != jobs.end() && job->second.speculative) {
            check_copies(of_task, bounds, now, violations);
        } else {
            check_no_duplicate_runs(of_task, now, violations);
        }
    }
    for (const auto& [vm, of_vm] : by_vm) {
        check_run_count(of_vm, bounds, now, violations);
    }
    for (const auto& [id, job] : jobs) {
        if (job.completed && done[id].size() != job.tasks) {
            violations.push_back("shown as completed with " + std::to_string(done[id].size()) + " of " +
                                 std::to_string(job.tasks) + " tasks done: " + id);
        }
    }
    return violations;
}

std::vector<std::string> check_capacity(const std::vector<vm_run>& runs,
                                        const std::vector<fakes::vm_capacity>& capacities,
                                        const capacity_bounds& bounds, timestamp now) {
    std::map<std::string, std::vector<vm_run>> by_vm;
    for (const vm_run& item : runs) {
        by_vm[item.vm].push_back(item);
    }
    std::vector<std::string> violations;
    for (const auto& [vm, of_vm] : by_vm) {
        for (const vm_run& item : of_vm) {
            const std::int64_t capacity =
                max_reported_capacity(vm, capacities, item.run.started_at, bounds.lag);
            const std::int64_t used = count_concurrent_runs(of_vm, item, now) * bounds.task_millicores;
            if (used > capacity) {
                violations.push_back("started beyond its VM's capacity of " + std::to_string(capacity) +
                                     ": " + text_of(item));
                break;
            }
        }
    }
    return violations;
}

std::vector<std::string> check_crashes(const std::map<std::string, job_history>& jobs,
                                       const std::vector<vm_run>& runs,
                                       const std::function<bool(const vm_run&)>& had_contact) {
    std::map<std::string, std::vector<vm_run>> by_task;
    for (const vm_run& item : runs) {
        const auto job = jobs.find(job_of(item.run.task));
        if (job != jobs.end() && job->second.faulty && item.run.task.ends_with(faulty_task_suffix)) {
            by_task[item.run.task].push_back(item);
        }
    }
    std::vector<std::string> violations;
    for (auto& [task, of_task] : by_task) {
        std::ranges::sort(of_task, {}, [](const vm_run& item) { return item.run.started_at; });
        std::size_t crashes = 0;
        std::size_t starts_after = 0;
        for (const vm_run& item : of_task) {
            starts_after += crashes >= max_crashes && had_contact(item) ? 1 : 0;
            crashes += item.run.outcome == "crashed" ? 1 : 0;
        }
        if (starts_after >= too_many_starts) {
            violations.push_back("started " + std::to_string(starts_after) + " times after " +
                                 std::to_string(max_crashes) + " crashes: " + task);
        }
    }
    return violations;
}

bool shows_older_configuration(const configuration_probe& probe) noexcept {
    const bool older_there = probe.is_present && probe.queried_version < probe.newest_seen;
    const bool seen_missing = probe.is_missing && probe.queried_version == probe.newest_seen;
    return older_there || (seen_missing && probe.queried_version == probe.newest_published);
}

std::vector<std::string> unfinished_jobs(const std::map<std::string, job_history>& jobs) {
    std::vector<std::string> result;
    for (const auto& [id, job] : jobs) {
        const bool ended = job.faulty ? job.failed : job.completed;
        const bool is_finished = job.long_lived ? job.cancelled != timestamp(0) : job.cancel_sent || ended;
        if (job.accepted != timestamp(0) && !is_finished) {
            result.push_back(id);
        }
    }
    return result;
}

std::vector<std::string> runs_left_after_cancel(const std::map<std::string, job_history>& jobs,
                                                const std::vector<vm_run>& runs) {
    std::vector<std::string> result;
    for (const vm_run& item : runs) {
        const auto job = jobs.find(job_of(item.run.task));
        const bool cancelled = job != jobs.end() && job->second.cancelled != timestamp(0);
        if (cancelled && item.run.ended_at == timestamp(0)) {
            result.push_back(text_of(item));
        }
    }
    return result;
}

std::vector<waiting_range> waiting_ranges(const std::map<std::string, job_history>& jobs,
                                          const std::vector<vm_run>& runs,
                                          std::span<const reported_count> reported,
                                          const check_bounds& bounds) {
    const first_starts starts = find_first_starts(runs);
    std::vector<waiting_range> result;
    for (const reported_count& item : reported) {
        result.push_back(waiting_range_of(jobs, starts, item, bounds));
    }
    return result;
}

std::vector<std::string> check_counts(const std::map<std::string, job_history>& jobs,
                                      const std::vector<vm_run>& runs,
                                      std::span<const reported_count> reported, const check_bounds& bounds) {
    const std::vector<waiting_range> waited = waiting_ranges(jobs, runs, reported, bounds);
    std::vector<std::string> violations;
    for (std::size_t i = 0; i < reported.size(); ++i) {
        if (reported[i].jobs * 2 < waited[i].least) {
            violations.push_back("count too low: " + text_of(reported[i], waited[i]));
        }
    }
    return violations;
}

std::vector<std::string> check_final_counts(const std::map<std::string, job_history>& jobs,
                                            const std::vector<vm_run>& runs,
                                            std::span<const reported_count> reported,
                                            const check_bounds& bounds, std::uint32_t nodes) {
    const std::vector<waiting_range> waited = waiting_ranges(jobs, runs, reported, bounds);
    std::vector<std::string> violations = check_counts(jobs, runs, reported, bounds);
    std::set<std::uint32_t> reporting_nodes;
    for (std::size_t i = 0; i < reported.size(); ++i) {
        reporting_nodes.insert(reported[i].node);
        if (reported[i].jobs > waited[i].most * 2) {
            violations.push_back("count too high: " + text_of(reported[i], waited[i]));
        }
    }
    for (std::uint32_t node = 0; node < nodes; ++node) {
        if (!reporting_nodes.contains(node)) {
            violations.push_back("no count reported after the end of all faults: n" +
                                 std::to_string(node + 1));
        }
    }
    return violations;
}

} // namespace siskinpaddle::soak
