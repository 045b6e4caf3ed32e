#include "policy/placement.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace siskinpaddle {

namespace {

constexpr double usage_margin = 1.2;
constexpr double usage_weight = 0.3;
constexpr int reports_to_believe = 3;
constexpr std::uint32_t failures_to_fail = 3;

/// Free room on one VM during a step.
struct room {
    const vm_record* vm = nullptr;
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t accelerators = 0;
    int tasks = 0;
};

bool holds(const room& space, const job_size& size) {
    return space.cpu >= size.cpu_millicores && space.memory >= size.memory_mb &&
           space.accelerators >= size.accelerators;
}

class placement_pass {
  public:
    explicit placement_pass(const placement_input& input) : m_in(input) { m_plan.next = input.jobs; }

    placement_plan run() {
        collect_rooms();
        for (job_record& job : m_plan.next.jobs) {
            settle(job);
        }
        charge_running();
        place_queued();
        m_plan.changed = m_plan.next != m_in.jobs;
        if (m_plan.changed) {
            ++m_plan.next.revision;
        }
        return std::move(m_plan);
    }

  private:
    void decide(const job_record& job, const std::string& text) {
        m_plan.decisions.push_back({job.id, job.vm, text});
    }

    void collect_rooms() {
        for (const vm_record& vm : m_in.fleet.vms) {
            if (vm.pool != m_in.pool || vm.state == vm_state::lost) {
                continue;
            }
            m_could_hold.push_back(&vm);
            const auto health = m_in.workers.find(vm.id);
            const bool aside = health != m_in.workers.end() && health->second.aside_until > m_in.now;
            if (vm.state == vm_state::serving && !aside) {
                m_rooms[vm.id] = {&vm, std::int64_t{vm.cores} * 1000, vm.memory_mb, vm.accelerators, 0};
            }
        }
    }

    /// Follows up on a job whose VM is leaving, lost or no longer the one it was assigned to.
    void settle(job_record& job) {
        if (!may_run(job.state)) {
            return;
        }
        const vm_record* vm = m_in.fleet.find_vm(job.vm);
        const auto ended = m_in.ended_tasks.find(job.vm);
        if (ended != m_in.ended_tasks.end() && ended->second > job.vm_epoch) {
            // Its worker has restarted or its lease has certainly run out, so it can't run twice.
            const bool cancelling = job.state == job_state::cancelling;
            job.state = cancelling ? job_state::cancelled : job_state::queued;
            decide(job, cancelling ? "cancelled with its VM" : "its VM was lost; queued again");
            job.last_vm = job.vm;
            job.vm.clear();
            return;
        }
        const bool leaving =
            vm != nullptr && (vm->state == vm_state::cordoned || vm->state == vm_state::draining);
        const bool running = job.state == job_state::running || job.state == job_state::assigned;
        const bool patient = job.urgency == job_urgency::patient || m_in.options.move_all;
        if (leaving && running && patient) {
            job.state = job_state::stopping;
            job.reason = "its VM is leaving";
            decide(job, "checkpoint and stop: its VM is leaving");
        }
    }

    void charge_running() {
        m_team_use = m_in.used_by_teams;
        for (const job_record& job : m_plan.next.jobs) {
            if (!may_run(job.state)) {
                continue;
            }
            const job_size size = m_in.usage.planned_size(job);
            charge_team(job);
            if (const auto space = m_rooms.find(job.vm); space != m_rooms.end()) {
                take(space->second, size);
            }
        }
    }

    static void take(room& space, const job_size& size) {
        space.cpu -= size.cpu_millicores;
        space.memory -= size.memory_mb;
        space.accelerators -= size.accelerators;
        ++space.tasks;
    }

    void charge_team(const job_record& job) {
        m_team_use[job.team].cpu_millicores += job.size.cpu_millicores;
        m_team_use[job.team].accelerators += job.size.accelerators;
    }

    [[nodiscard]] bool within_quota(const job_record& job) {
        const auto team = m_in.config.teams.find(job.team);
        if (team == m_in.config.teams.end()) {
            return false;
        }
        const job_size& used = m_team_use[job.team];
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
            place(*job);
        }
    }

    void place(job_record& job) {
        if (job.failures >= failures_to_fail) {
            job.state = job_state::failed;
            job.reason = "failed " + std::to_string(job.failures) + " times, last on " + job.failed_on;
            decide(job, job.reason);
            return;
        }
        const job_size size = m_in.usage.planned_size(job);
        const bool possible = std::any_of(m_could_hold.begin(), m_could_hold.end(),
                                          [&size](const vm_record* vm) { return fits(*vm, size); });
        if (!possible) {
            park(job, "no VM of pool " + m_in.pool + " is large enough");
            return;
        }
        if (!m_in.config.teams.contains(job.team)) {
            park(job, "team " + job.team + " is not configured");
            return;
        }
        if (!within_quota(job)) {
            note_waiting(job, "quota of team " + job.team + " is used up");
            return;
        }
        if (waits_for_own_vm(job)) {
            note_waiting(job, "waits for " + job.last_vm + " to come back");
            return;
        }
        if (room* space = best_room(job, size)) {
            assign(job, *space, size);
            return;
        }
        if (job.urgency == job_urgency::urgent) {
            make_way(job, size);
        }
        note_waiting(job, "no VM has room");
    }

    void park(job_record& job, const std::string& reason) {
        if (job.state == job_state::parked && job.reason == reason) {
            return;
        }
        job.state = job_state::parked;
        job.reason = reason;
        decide(job, "parked: " + reason);
    }

    void note_waiting(job_record& job, const std::string& reason) {
        job.state = job_state::queued;
        if (job.reason != reason) {
            job.reason = reason;
            decide(job, "waits: " + reason);
        }
    }

    /// Whether the job had better wait for the VM that it ran on, which is being maintained or has restarted.
    /// It ends when the VM serves again, or when the planner gives it up and so takes it out of the pool.
    [[nodiscard]] bool waits_for_own_vm(const job_record& job) const {
        if (!m_in.options.hold_patient || job.urgency != job_urgency::patient ||
            job.last_vm == job.failed_on) {
            return false;
        }
        const vm_record* vm = m_in.fleet.find_vm(job.last_vm);
        return vm != nullptr && vm->pool == m_in.pool && vm->state != vm_state::serving;
    }

    /// The fullest VM on which the job fits keeps large gaps for large jobs; racks with fewer tasks of the
    /// same kind go first, so that one rack's loss hits few of them.
    room* best_room(const job_record& job, const job_size& size) {
        std::map<std::string, int> same_kind;
        for (const job_record& other : m_plan.next.jobs) {
            const vm_record* vm = may_run(other.state) ? m_in.fleet.find_vm(other.vm) : nullptr;
            if (vm != nullptr && other.kind == job.kind) {
                ++same_kind[vm->rack];
            }
        }
        room* best = nullptr;
        const auto rank = [&](const room& space) {
            const bool elsewhere = !job.last_vm.empty() && space.vm->id != job.last_vm;
            return std::tuple(space.vm->id == job.failed_on, elsewhere, is_due(*space.vm),
                              same_kind[space.vm->rack], space.cpu);
        };
        for (auto& [id, space] : m_rooms) {
            const bool better = best == nullptr || (!m_in.options.first_fit && rank(space) < rank(*best));
            if (holds(space, size) && better) {
                best = &space;
            }
        }
        return best;
    }

    /// Whether the VM's turn in a running wave is still to come: what starts there now would soon have to
    /// move.
    [[nodiscard]] bool is_due(const vm_record& vm) const {
        return m_in.options.avoid_due &&
               std::any_of(m_in.config.waves.begin(), m_in.config.waves.end(), [&vm](const auto& item) {
                   const wave_settings& wave = item.second;
                   return !wave.paused && (wave.pool == "*" || wave.pool == vm.pool) &&
                          vm.wave < static_cast<std::uint64_t>(wave.order);
               });
    }

    void assign(job_record& job, room& space, const job_size& size) {
        job.state = job_state::assigned;
        job.vm = space.vm->id;
        job.vm_epoch = space.vm->epoch;
        job.moves += !job.last_vm.empty() && job.last_vm != job.vm ? 1 : 0;
        ++job.epoch;
        job.reason.clear();
        take(space, size);
        charge_team(job);
        decide(job, "assigned epoch=" + std::to_string(job.epoch) + " rack=" + space.vm->rack);
    }

    /// Stops the patient job whose leaving frees enough room for the urgent one, if there is one.
    void make_way(const job_record& urgent, const job_size& size) {
        const std::string reason = "makes way for " + urgent.id;
        for (const job_record& job : m_plan.next.jobs) {
            if (job.state == job_state::stopping && job.reason == reason) {
                return; // One is stopping for it already.
            }
        }
        for (job_record& job : m_plan.next.jobs) {
            if (job.urgency != job_urgency::patient || job.state != job_state::running) {
                continue;
            }
            const auto space = m_rooms.find(job.vm);
            if (space == m_rooms.end()) {
                continue;
            }
            room after = space->second;
            const job_size freed = m_in.usage.planned_size(job);
            after.cpu += freed.cpu_millicores;
            after.memory += freed.memory_mb;
            after.accelerators += freed.accelerators;
            if (holds(after, size)) {
                job.state = job_state::stopping;
                job.reason = reason;
                decide(job, "checkpoint and stop: " + reason);
                space->second.cpu = space->second.memory = 0; // Its room is spoken for.
                return;
            }
        }
    }

    const placement_input& m_in;
    placement_plan m_plan;
    std::map<std::string, room> m_rooms;
    std::vector<const vm_record*> m_could_hold;
    std::map<std::string, job_size> m_team_use;
};

} // namespace

void usage_estimates::look(const std::string& pool, const job_table& table) {
    std::set<std::string>& learnt = m_learnt[pool];
    std::set<std::string> ended;
    for (const job_record& job : table.jobs) {
        if (job.state != job_state::done) {
            continue;
        }
        if (!learnt.contains(job.id) && job.used.cpu_millicores > 0) {
            learn(job.kind, job.used);
        }
        ended.insert(job.id);
    }
    learnt = std::move(ended);
}

void usage_estimates::learn(const std::string& kind, const job_size& used) {
    estimate& known = m_kinds[kind];
    const double weight = known.reports == 0 ? 1 : usage_weight;
    known.cpu_millicores += weight * (used.cpu_millicores - known.cpu_millicores);
    known.memory_mb += weight * (used.memory_mb - known.memory_mb);
    ++known.reports;
}

job_size usage_estimates::planned_size(const job_record& job) const {
    const auto found = m_kinds.find(job.kind);
    if (found == m_kinds.end() || found->second.reports < reports_to_believe) {
        return job.size;
    }
    return {static_cast<std::uint32_t>(std::ceil(found->second.cpu_millicores * usage_margin)),
            static_cast<std::uint32_t>(std::ceil(found->second.memory_mb * usage_margin)),
            job.size.accelerators};
}

bool fits(const vm_record& vm, const job_size& size) {
    return vm.cores * 1000U >= size.cpu_millicores && vm.memory_mb >= size.memory_mb &&
           vm.accelerators >= size.accelerators;
}

placement_options placement_options_for(const weight_settings& weights) {
    placement_options options;
    options.hold_patient = weights.moves > weights.buffer;
    return options;
}

placement_plan place_jobs(const placement_input& input) {
    return placement_pass(input).run();
}

} // namespace siskinpaddle
