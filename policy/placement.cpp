#include "policy/placement.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace siskinpaddle {

namespace {

constexpr double usage_margin = 1.2;
constexpr double estimate_weight = 0.3;
constexpr int min_reports_for_estimate = 3;
constexpr std::uint32_t max_job_failures = 3;

/// Free capacity of one VM during a placement step.
struct free_capacity {
    const vm_record* vm = nullptr;
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t accelerators = 0;
    int tasks = 0;
};

bool has_capacity_for(const free_capacity& capacity, const job_size& size) {
    return capacity.cpu >= size.cpu_millicores && capacity.memory >= size.memory_mb &&
           capacity.accelerators >= size.accelerators;
}

class placement_pass {
  public:
    explicit placement_pass(const placement_input& input) : m_input(input) { m_plan.next = input.jobs; }

    placement_plan run() {
        collect_free_capacity();
        for (job_record& job : m_plan.next.jobs) {
            update_after_vm_change(job);
        }
        account_running_jobs();
        place_queued();
        m_plan.changed = m_plan.next != m_input.jobs;
        if (m_plan.changed) {
            ++m_plan.next.revision;
        }
        return std::move(m_plan);
    }

  private:
    void record_decision(const job_record& job, const std::string& text) {
        m_plan.decisions.push_back({job.id, job.vm, text});
    }

    void collect_free_capacity() {
        for (const vm_record& vm : m_input.fleet.vms) {
            if (vm.pool != m_input.pool || vm.state == vm_state::lost) {
                continue;
            }
            m_candidate_vms.push_back(&vm);
            const auto health = m_input.workers.find(vm.id);
            const bool is_quarantined =
                health != m_input.workers.end() && health->second.quarantined_until > m_input.now;
            if (vm.state == vm_state::serving && !is_quarantined) {
                m_free_capacity[vm.id] = {&vm, std::int64_t{vm.cores} * 1000, vm.memory_mb, vm.accelerators,
                                          0};
            }
        }
    }

    /// Updates a job whose VM is leaving, or whose task has ended together with its VM's epoch.
    void update_after_vm_change(job_record& job) {
        if (!may_be_running(job.state)) {
            return;
        }
        const vm_record* vm = m_input.fleet.find_vm(job.vm);
        const auto ended = m_input.ended_tasks.find(job.vm);
        if (ended != m_input.ended_tasks.end() && ended->second > job.vm_epoch) {
            // The worker has restarted or its lease is confirmed to have expired, so the task can't run
            // twice.
            const bool cancelling = job.state == job_state::cancelling;
            job.state = cancelling ? job_state::cancelled : job_state::queued;
            record_decision(job, cancelling ? "cancelled with its VM" : "its VM was lost; queued again");
            job.last_vm = job.vm;
            job.vm.clear();
            return;
        }
        const bool is_leaving =
            vm != nullptr && (vm->state == vm_state::cordoned || vm->state == vm_state::draining);
        const bool is_running = job.state == job_state::running || job.state == job_state::assigned;
        const bool must_stop = job.urgency == job_urgency::patient || m_input.options.stop_all_on_leaving_vm;
        if (is_leaving && is_running && must_stop) {
            job.state = job_state::stopping;
            job.reason = "its VM is leaving";
            record_decision(job, "checkpoint and stop: its VM is leaving");
        }
    }

    void account_running_jobs() {
        m_team_usage = m_input.used_by_teams;
        for (const job_record& job : m_plan.next.jobs) {
            if (!may_be_running(job.state)) {
                continue;
            }
            const job_size size = m_input.usage.planned_size(job);
            add_team_usage(job);
            if (const auto found = m_free_capacity.find(job.vm); found != m_free_capacity.end()) {
                deduct_capacity(found->second, size);
            }
        }
    }

    static void deduct_capacity(free_capacity& capacity, const job_size& size) {
        capacity.cpu -= size.cpu_millicores;
        capacity.memory -= size.memory_mb;
        capacity.accelerators -= size.accelerators;
        ++capacity.tasks;
    }

    void add_team_usage(const job_record& job) {
        m_team_usage[job.team].cpu_millicores += job.size.cpu_millicores;
        m_team_usage[job.team].accelerators += job.size.accelerators;
    }

    [[nodiscard]] bool within_quota(const job_record& job) {
        const auto team = m_input.config.teams.find(job.team);
        if (team == m_input.config.teams.end()) {
            return false;
        }
        const job_size& used = m_team_usage[job.team];
        return std::int64_t{used.cpu_millicores} + job.size.cpu_millicores <= team->second.cpu_millicores &&
               std::int64_t{used.accelerators} + job.size.accelerators <= team->second.accelerators;
    }

    void place_queued() {
        std::vector<job_record*> waiting;
        for (job_record& job : m_plan.next.jobs) {
            if (job.state == job_state::queued || job.state == job_state::parked) {
                waiting.push_back(&job);
            }
        }
        std::stable_sort(waiting.begin(), waiting.end(),
                         [](const job_record* a, const job_record* b) { return a->urgency < b->urgency; });
        for (job_record* job : waiting) {
            place_job(*job);
        }
    }

    void place_job(job_record& job) {
        if (job.failures >= max_job_failures) {
            job.state = job_state::failed;
            job.reason = "failed " + std::to_string(job.failures) + " times, last on " + job.failed_on;
            record_decision(job, job.reason);
            return;
        }
        const job_size size = m_input.usage.planned_size(job);
        const bool fits_some_vm =
            std::any_of(m_candidate_vms.begin(), m_candidate_vms.end(),
                        [&size](const vm_record* vm) { return fits_empty_vm(*vm, size); });
        if (!fits_some_vm) {
            park(job, "no VM of pool " + m_input.pool + " is large enough");
            return;
        }
        if (!m_input.config.teams.contains(job.team)) {
            park(job, "team " + job.team + " is not configured");
            return;
        }
        if (!within_quota(job)) {
            record_waiting(job, "quota of team " + job.team + " is used up");
            return;
        }
        if (waits_for_last_vm(job)) {
            record_waiting(job, "waits for " + job.last_vm + " to come back");
            return;
        }
        if (free_capacity* capacity = find_best_vm(job, size)) {
            assign(job, *capacity, size);
            return;
        }
        if (job.urgency == job_urgency::urgent) {
            preempt_for(job, size);
        }
        record_waiting(job, "no VM has room");
    }

    void park(job_record& job, const std::string& reason) {
        if (job.state == job_state::parked && job.reason == reason) {
            return;
        }
        job.state = job_state::parked;
        job.reason = reason;
        record_decision(job, "parked: " + reason);
    }

    void record_waiting(job_record& job, const std::string& reason) {
        job.state = job_state::queued;
        if (job.reason != reason) {
            job.reason = reason;
            record_decision(job, "waits: " + reason);
        }
    }

    /// Whether the job should wait for the VM on which it ran and which is being maintained or has restarted.
    /// The wait ends when the VM serves again, or when the planner gives the VM up and removes it from the
    /// pool.
    [[nodiscard]] bool waits_for_last_vm(const job_record& job) const {
        if (!m_input.options.wait_for_last_vm || job.urgency != job_urgency::patient ||
            job.last_vm == job.failed_on) {
            return false;
        }
        const vm_record* vm = m_input.fleet.find_vm(job.last_vm);
        return vm != nullptr && vm->pool == m_input.pool && vm->state != vm_state::serving;
    }

    /// Finds the best VM for a job. Avoids the VM on which the job last failed, then prefers its last VM,
    /// then VMs without a pending wave. After these, racks with fewer tasks of the same kind are preferred,
    /// so that the loss of one rack affects few of them, and then the fullest VM on which the job fits, which
    /// keeps large free capacity for large jobs.
    free_capacity* find_best_vm(const job_record& job, const job_size& size) {
        std::map<std::string, int> same_kind;
        for (const job_record& other : m_plan.next.jobs) {
            const vm_record* vm = may_be_running(other.state) ? m_input.fleet.find_vm(other.vm) : nullptr;
            if (vm != nullptr && other.kind == job.kind) {
                ++same_kind[vm->rack];
            }
        }
        free_capacity* best = nullptr;
        const auto rank = [&](const free_capacity& capacity) {
            const bool is_move = !job.last_vm.empty() && capacity.vm->id != job.last_vm;
            return std::tuple(capacity.vm->id == job.failed_on, is_move, has_pending_wave(*capacity.vm),
                              same_kind[capacity.vm->rack], capacity.cpu);
        };
        for (auto& [id, capacity] : m_free_capacity) {
            const bool is_better =
                best == nullptr || (!m_input.options.first_fit && rank(capacity) < rank(*best));
            if (has_capacity_for(capacity, size) && is_better) {
                best = &capacity;
            }
        }
        return best;
    }

    /// Whether a running wave has yet to maintain the VM: a job that starts there would soon have to move.
    [[nodiscard]] bool has_pending_wave(const vm_record& vm) const {
        return m_input.options.avoid_pending_wave &&
               std::any_of(m_input.config.waves.begin(), m_input.config.waves.end(), [&vm](const auto& item) {
                   const wave_settings& wave = item.second;
                   return !wave.paused && (wave.pool == "*" || wave.pool == vm.pool) &&
                          vm.completed_wave < static_cast<std::uint64_t>(wave.order);
               });
    }

    void assign(job_record& job, free_capacity& capacity, const job_size& size) {
        job.state = job_state::assigned;
        job.vm = capacity.vm->id;
        job.vm_epoch = capacity.vm->epoch;
        job.moves += !job.last_vm.empty() && job.last_vm != job.vm ? 1 : 0;
        ++job.epoch;
        job.reason.clear();
        deduct_capacity(capacity, size);
        add_team_usage(job);
        record_decision(job, "assigned epoch=" + std::to_string(job.epoch) + " rack=" + capacity.vm->rack);
    }

    /// Stops the first patient job that frees enough capacity for the urgent one, if there is any.
    void preempt_for(const job_record& urgent, const job_size& size) {
        const std::string reason = "makes way for " + urgent.id;
        for (const job_record& job : m_plan.next.jobs) {
            if (job.state == job_state::stopping && job.reason == reason) {
                return; // Another job is already being stopped for it.
            }
        }
        for (job_record& job : m_plan.next.jobs) {
            if (job.urgency != job_urgency::patient || job.state != job_state::running) {
                continue;
            }
            const auto found = m_free_capacity.find(job.vm);
            if (found == m_free_capacity.end()) {
                continue;
            }
            free_capacity after = found->second;
            const job_size freed = m_input.usage.planned_size(job);
            after.cpu += freed.cpu_millicores;
            after.memory += freed.memory_mb;
            after.accelerators += freed.accelerators;
            if (has_capacity_for(after, size)) {
                job.state = job_state::stopping;
                job.reason = reason;
                record_decision(job, "checkpoint and stop: " + reason);
                found->second.cpu = found->second.memory = 0; // Reserved for the urgent job.
                return;
            }
        }
    }

    const placement_input& m_input;
    placement_plan m_plan;
    std::map<std::string, free_capacity> m_free_capacity;
    std::vector<const vm_record*> m_candidate_vms;
    std::map<std::string, job_size> m_team_usage;
};

} // namespace

void usage_estimates::update_from_table(const std::string& pool, const job_table& table) {
    std::set<std::string>& counted = m_counted_jobs[pool];
    std::set<std::string> ended;
    for (const job_record& job : table.jobs) {
        if (job.state != job_state::done) {
            continue;
        }
        if (!counted.contains(job.id) && job.used.cpu_millicores > 0) {
            record_usage(job.kind, job.used);
        }
        ended.insert(job.id);
    }
    counted = std::move(ended);
}

void usage_estimates::record_usage(const std::string& kind, const job_size& used) {
    estimate& known = m_kinds[kind];
    const double weight = known.reports == 0 ? 1 : estimate_weight;
    known.cpu_millicores += weight * (used.cpu_millicores - known.cpu_millicores);
    known.memory_mb += weight * (used.memory_mb - known.memory_mb);
    ++known.reports;
}

job_size usage_estimates::planned_size(const job_record& job) const {
    const auto found = m_kinds.find(job.kind);
    if (found == m_kinds.end() || found->second.reports < min_reports_for_estimate) {
        return job.size;
    }
    return {static_cast<std::uint32_t>(std::ceil(found->second.cpu_millicores * usage_margin)),
            static_cast<std::uint32_t>(std::ceil(found->second.memory_mb * usage_margin)),
            job.size.accelerators};
}

bool fits_empty_vm(const vm_record& vm, const job_size& size) {
    return vm.cores * 1000U >= size.cpu_millicores && vm.memory_mb >= size.memory_mb &&
           vm.accelerators >= size.accelerators;
}

placement_options placement_options_for(const weight_settings& weights) {
    placement_options options;
    options.wait_for_last_vm = weights.moves > weights.buffer;
    return options;
}

placement_plan place_jobs(const placement_input& input) {
    return placement_pass(input).run();
}

} // namespace siskinpaddle
