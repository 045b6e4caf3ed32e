#include "soak/ledger.hpp"

#include <algorithm>

namespace siskinpaddle::soak {

namespace {

/// The users' bound on a task that crashes its VMs.
constexpr std::size_t crashes_allowed = 3;
constexpr std::size_t starts_too_many = 3;
/// Of the task of a faulty job that crashes its VMs.
constexpr std::string_view faulty_index = ".0.0.0";

std::string job_of(const std::string& task) {
    return task.substr(0, task.find('.'));
}

timestamp end_of(const fakes::task_vm::run_record& run, timestamp now) {
    return run.ended == timestamp(0) ? now : run.ended;
}

std::string text_of(const vm_run& item) {
    return item.run.task + "#" + std::to_string(item.run.attempt) + "@" + item.vm + " [" +
           std::to_string(item.run.began.count()) + ".." + std::to_string(item.run.ended.count()) + " " +
           item.run.how + " ack " + std::to_string(item.run.acknowledged.count()) + "]";
}

/// No task runs twice at a time, or again after an end as done that was acknowledged.
void check_once(const std::vector<vm_run>& of_task, timestamp now, std::vector<std::string>& broken) {
    for (std::size_t i = 0; i < of_task.size(); ++i) {
        for (std::size_t k = 0; k < of_task.size(); ++k) {
            const fakes::task_vm::run_record& first = of_task[i].run;
            const fakes::task_vm::run_record& second = of_task[k].run;
            if (i < k && first.began < end_of(second, now) && second.began < end_of(first, now)) {
                broken.push_back("two runs at a time: " + text_of(of_task[i]) + " and " +
                                 text_of(of_task[k]));
            }
            const bool noted = first.how == "done" && first.acknowledged != timestamp(0);
            if (i != k && noted && second.began > first.acknowledged) {
                broken.push_back("run again after its end: " + text_of(of_task[i]) + " and " +
                                 text_of(of_task[k]));
            }
        }
    }
}

void check_wanted(const job_history& job, const vm_run& item, const ledger_bounds& bounds,
                  std::vector<std::string>& broken) {
    if (!job.may_run && !job.asking) {
        broken.push_back("refused, and yet run: " + text_of(item));
    }
    if (job.cancelled != timestamp(0) && item.run.began > job.cancelled + bounds.after_cancelling) {
        broken.push_back("started after its cancelling: " + text_of(item));
    }
}

/// Runs on the VM when this one began, it included.
std::int64_t beside(const std::vector<vm_run>& of_vm, const vm_run& item, timestamp now) {
    return std::ranges::count_if(of_vm, [&](const vm_run& other) {
        return other.run.began <= item.run.began && end_of(other.run, now) > item.run.began;
    });
}

/// The most that the VM said within `lag` before the moment.
std::int64_t room_of(const std::string& vm, const std::vector<fakes::vm_capacity>& capacities, timestamp at,
                     milliseconds lag) {
    std::int64_t in_force = 0; ///< When the time began.
    std::int64_t most = 0;
    for (const fakes::vm_capacity& item : capacities) {
        if (item.vm != vm || item.from > at) {
            continue;
        }
        if (item.from <= at - lag) {
            in_force = item.cpu_millicores;
        } else {
            most = std::max(most, item.cpu_millicores);
        }
    }
    return std::max(most, in_force);
}

void check_room(const std::vector<vm_run>& of_vm, const ledger_bounds& bounds, timestamp now,
                std::vector<std::string>& broken) {
    for (const vm_run& item : of_vm) {
        const std::int64_t present = beside(of_vm, item, now);
        if (static_cast<std::size_t>(present) > bounds.runs_at_once) {
            broken.push_back("more runs than fit: " + std::to_string(present) + " at " + text_of(item));
            return;
        }
    }
}

/// When each job's first task began at a VM; of jobs that have begun.
using first_begins = std::map<std::string, timestamp>;

first_begins first_begins_of(const std::vector<vm_run>& runs) {
    first_begins result;
    for (const vm_run& item : runs) {
        const auto [place, is_first] = result.try_emplace(job_of(item.run.task), item.run.began);
        place->second = std::min(place->second, item.run.began);
    }
    return result;
}

bool surely_waited(const job_history& job, std::optional<timestamp> begun, const told_count& told,
                   const ledger_bounds& bounds) {
    const bool known =
        job.accepted != timestamp(0) && job.accepted + bounds.count_age + bounds.visible_within < told.sent;
    return known && !job.cancel_sent && (!begun || *begun > told.answered);
}

bool may_have_waited(const job_history& job, std::optional<timestamp> begun, const told_count& told,
                     const ledger_bounds& bounds) {
    const timestamp oldest = told.sent - bounds.count_age;
    if (job.submitted > told.answered) {
        return false;
    }
    if (begun) {
        return *begun >= oldest;
    }
    return job.cancel_sent ? job.cancelled >= oldest : job.accepted != timestamp(0);
}

waiting_range range_of(const std::map<std::string, job_history>& jobs, const first_begins& begins,
                       const told_count& told, const ledger_bounds& bounds) {
    waiting_range result;
    for (const auto& [id, job] : jobs) {
        const auto found = begins.find(id);
        const auto begun = found == begins.end() ? std::nullopt : std::optional(found->second);
        result.least += surely_waited(job, begun, told, bounds) ? 1 : 0;
        result.most += may_have_waited(job, begun, told, bounds) ? 1 : 0;
    }
    return result;
}

std::string text_of(const told_count& told, const waiting_range& waited) {
    return "n" + std::to_string(told.node + 1) + " [asked " + std::to_string(told.sent.count()) +
           " answered " + std::to_string(told.answered.count()) + "] told " + std::to_string(told.jobs) +
           " waiting jobs, " + std::to_string(waited.least) + " to " + std::to_string(waited.most) +
           " waited";
}

} // namespace

std::vector<std::string> check_runs(const std::map<std::string, job_history>& jobs,
                                    const std::vector<vm_run>& runs, const ledger_bounds& bounds,
                                    timestamp now) {
    std::vector<std::string> broken;
    std::map<std::string, std::vector<vm_run>> by_task;
    std::map<std::string, std::vector<vm_run>> by_vm;
    std::map<std::string, std::set<std::string>> done;
    for (const vm_run& item : runs) {
        by_task[item.run.task].push_back(item);
        by_vm[item.vm].push_back(item);
        const std::string id = job_of(item.run.task);
        if (item.run.how == "done") {
            done[id].insert(item.run.task);
        }
        const auto job = jobs.find(id);
        if (job == jobs.end()) {
            broken.push_back("nobody asked for it: " + text_of(item));
        } else {
            check_wanted(job->second, item, bounds, broken);
        }
    }
    for (const auto& [task, of_task] : by_task) {
        check_once(of_task, now, broken);
    }
    for (const auto& [vm, of_vm] : by_vm) {
        check_room(of_vm, bounds, now, broken);
    }
    for (const auto& [id, job] : jobs) {
        if (job.completed && done[id].size() != job.tasks) {
            broken.push_back("shown as completed with " + std::to_string(done[id].size()) + " of " +
                             std::to_string(job.tasks) + " tasks done: " + id);
        }
    }
    return broken;
}

std::vector<std::string> check_capacity(const std::vector<vm_run>& runs,
                                        const std::vector<fakes::vm_capacity>& capacities,
                                        const capacity_bounds& bounds, timestamp now) {
    std::map<std::string, std::vector<vm_run>> by_vm;
    for (const vm_run& item : runs) {
        by_vm[item.vm].push_back(item);
    }
    std::vector<std::string> broken;
    for (const auto& [vm, of_vm] : by_vm) {
        for (const vm_run& item : of_vm) {
            const std::int64_t room = room_of(vm, capacities, item.run.began, bounds.lag);
            const std::int64_t used = beside(of_vm, item, now) * bounds.task_millicores;
            if (used > room) {
                broken.push_back("started beyond its VM's capacity of " + std::to_string(room) + ": " +
                                 text_of(item));
                break;
            }
        }
    }
    return broken;
}

std::vector<std::string> check_crashes(const std::map<std::string, job_history>& jobs,
                                       const std::vector<vm_run>& runs,
                                       const std::function<bool(const vm_run&)>& in_touch) {
    std::map<std::string, std::vector<vm_run>> by_task;
    for (const vm_run& item : runs) {
        const auto job = jobs.find(job_of(item.run.task));
        if (job != jobs.end() && job->second.faulty && item.run.task.ends_with(faulty_index)) {
            by_task[item.run.task].push_back(item);
        }
    }
    std::vector<std::string> broken;
    for (auto& [task, of_task] : by_task) {
        std::ranges::sort(of_task, {}, [](const vm_run& item) { return item.run.began; });
        std::size_t crashes = 0;
        std::size_t starts_after = 0;
        for (const vm_run& item : of_task) {
            starts_after += crashes >= crashes_allowed && in_touch(item) ? 1 : 0;
            crashes += item.run.how == "crashed" ? 1 : 0;
        }
        if (starts_after >= starts_too_many) {
            broken.push_back("started " + std::to_string(starts_after) + " times after " +
                             std::to_string(crashes_allowed) + " crashes: " + task);
        }
    }
    return broken;
}

bool went_back(const configuration_probe& probe) noexcept {
    const bool older_there = probe.there && probe.asked < probe.seen_before;
    const bool seen_missing = probe.missing && probe.asked == probe.seen_before;
    return older_there || (seen_missing && probe.asked == probe.newest);
}

std::vector<std::string> unfinished(const std::map<std::string, job_history>& jobs) {
    std::vector<std::string> result;
    for (const auto& [id, job] : jobs) {
        const bool ended = job.faulty ? job.failed : job.completed;
        const bool over = job.endless ? job.cancelled != timestamp(0) : job.cancel_sent || ended;
        if (job.accepted != timestamp(0) && !over) {
            result.push_back(id);
        }
    }
    return result;
}

std::vector<std::string> left_running(const std::map<std::string, job_history>& jobs,
                                      const std::vector<vm_run>& runs) {
    std::vector<std::string> result;
    for (const vm_run& item : runs) {
        const auto job = jobs.find(job_of(item.run.task));
        const bool cancelled = job != jobs.end() && job->second.cancelled != timestamp(0);
        if (cancelled && item.run.ended == timestamp(0)) {
            result.push_back(text_of(item));
        }
    }
    return result;
}

std::vector<waiting_range> waiting_at(const std::map<std::string, job_history>& jobs,
                                      const std::vector<vm_run>& runs, std::span<const told_count> told,
                                      const ledger_bounds& bounds) {
    const first_begins begins = first_begins_of(runs);
    std::vector<waiting_range> result;
    for (const told_count& item : told) {
        result.push_back(range_of(jobs, begins, item, bounds));
    }
    return result;
}

std::vector<std::string> check_counts(const std::map<std::string, job_history>& jobs,
                                      const std::vector<vm_run>& runs, std::span<const told_count> told,
                                      const ledger_bounds& bounds) {
    const std::vector<waiting_range> waited = waiting_at(jobs, runs, told, bounds);
    std::vector<std::string> broken;
    for (std::size_t i = 0; i < told.size(); ++i) {
        if (told[i].jobs * 2 < waited[i].least) {
            broken.push_back("count too low: " + text_of(told[i], waited[i]));
        }
    }
    return broken;
}

std::vector<std::string> check_settled_counts(const std::map<std::string, job_history>& jobs,
                                              const std::vector<vm_run>& runs,
                                              std::span<const told_count> told, const ledger_bounds& bounds,
                                              std::uint32_t nodes) {
    const std::vector<waiting_range> waited = waiting_at(jobs, runs, told, bounds);
    std::vector<std::string> broken = check_counts(jobs, runs, told, bounds);
    std::set<std::uint32_t> telling;
    for (std::size_t i = 0; i < told.size(); ++i) {
        telling.insert(told[i].node);
        if (told[i].jobs > waited[i].most * 2) {
            broken.push_back("count too high: " + text_of(told[i], waited[i]));
        }
    }
    for (std::uint32_t node = 0; node < nodes; ++node) {
        if (!telling.contains(node)) {
            broken.push_back("tells no count after all has settled: n" + std::to_string(node + 1));
        }
    }
    return broken;
}

} // namespace siskinpaddle::soak
