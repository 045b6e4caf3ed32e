#include "jobs/scheduler.hpp"

#include <algorithm>
#include <tuple>

namespace siskinpaddle::jobs {

namespace {

/// A suspected task waits this long for room on the VMs that suspected tasks run on already.
constexpr milliseconds widen_after = 1500ms;
/// A task to be isolated waits this long for a VM without long-running tasks; machines come within it.
constexpr milliseconds isolation_patience = 2500ms;
/// What runs on a VM that has been silent for so long is noted in the store, so that it outlives the owner.
constexpr milliseconds silence_noted_after = 250ms;
/// Suspected tasks of different jobs start this far apart, so that what they do to their VMs doesn't look
/// like a loss of many.
constexpr milliseconds between_suspects = 120ms;
/// One of so many usable VMs may be kept for isolated tasks at a time.
constexpr std::size_t isolated_share = 4;

bool takes_work(const vm_state& vm) {
    return vm.listed && vm.reachable && !vm.cordoned && !vm.info().draining;
}

} // namespace

// --- Evidence ---

void scheduler::take_vm_end(const vm_end& end, vm_fate fate, timestamp now) {
    if (end.cause == vm_end_cause::ordered) {
        silent_vm_answers(end.vm, now); // Its silence was that of the order.
        return;
    }
    const bool mass = ended_in_mass(end);
    if (end.had_responded) {
        m_recent_ends.add(end.vm, end.unresponsive_since, now);
    }
    for (const blamed_run& item : blame(end, mass)) {
        // A run that has lasted longer than proven_after isn't blamed, so its age fits.
        const auto age = static_cast<std::uint16_t>(item.age.count());
        hold_against(item.task, {end.vm, item.kind, fate, age}, now);
    }
    if (fate == vm_fate::ended) {
        silent_vm_ended(end.vm, now);
    } else {
        m_silent_vms[end.vm] = end.machine;
    }
}

/// An owner that dies between a crash and the VM's next life would take what it knows with it.
void scheduler::note_silent_vms(timestamp now) {
    if (m_suspects.empty()) {
        std::erase_if(m_silent_vms, [this](const auto& item) { return !m_vms.contains(item.first); });
    }
    for (const auto& [name, vm] : m_vms) {
        const bool silent =
            !vm.reachable && vm.has_responded() && now - vm.unresponsive_since() >= silence_noted_after;
        if (silent && !vm.has_no_runs() && !m_silent_vms.contains(name)) {
            take_vm_end(describe_end(vm, vm_end_cause::lease_expired, now), vm_fate::silent, now);
        }
    }
}

bool scheduler::ended_in_mass(const vm_end& end) const {
    std::vector<timestamp> silent{end.unresponsive_since};
    std::size_t heard = 0;
    for (const auto& [name, vm] : m_vms) {
        heard += vm.has_responded() ? 1 : 0;
        if (name != end.vm && vm.has_responded() && vm.unresponsive_since() != timestamp(0)) {
            silent.push_back(vm.unresponsive_since());
        }
    }
    return is_mass_loss(m_recent_ends.together(end.unresponsive_since, silent), heard);
}

void scheduler::hold_against(const task_id& id, const crash_evidence& evidence, timestamp now) {
    const auto found = m_jobs.find(id.job);
    if (found == m_jobs.end() || is_final(found->second.phase()) || found->second.task(id).done) {
        return;
    }
    std::vector<crash_evidence>& crashes = found->second.task(id).crashes;
    const auto known = std::ranges::find(crashes, evidence.vm, &crash_evidence::vm);
    if (known == crashes.end()) {
        crashes.push_back(evidence);
    } else if (known->fate < evidence.fate) {
        known->fate = evidence.fate;
    } else {
        return;
    }
    m_suspects.insert(id);
    reconsider(id, name_of(evidence.fate), now);
}

/// After a change of what is held against the task, which is stored before the task starts again.
void scheduler::reconsider(const task_id& id, std::string_view why, timestamp now) {
    job_state& job = m_jobs.find(id.job)->second;
    task_state& task = job.task(id);
    const suspicion level = suspicion_of(task.crashes);
    changed(job, level > suspicion::none);
    task.crashes_change = job.changed;
    if (level > suspicion::none) {
        m_out.suspicions.push_back({id, level, task.crashes, std::string(why)});
    }
    if (level == suspicion::given_up) {
        give_task_up(id, now);
    }
}

void scheduler::give_task_up(const task_id& id, timestamp now) {
    job_state& job = m_jobs.find(id.job)->second;
    explain_by(job.task(id), id.job);
    finish(job, job_phase::failed, now);
}

/// What the culprit's VMs held against tasks of other jobs hardly counts any more.
void scheduler::explain_by(const task_state& culprit, const std::string& job) {
    for (const task_id& id : m_suspects) {
        if (id.job == job) {
            continue;
        }
        job_state& other = m_jobs.find(id.job)->second;
        bool explained = false;
        for (crash_evidence& item : other.task(id).crashes) {
            const bool same =
                std::ranges::find(culprit.crashes, item.vm, &crash_evidence::vm) != culprit.crashes.end();
            explained = explained || (same && item.kind != evidence_kind::explained);
            item.kind = same ? evidence_kind::explained : item.kind;
        }
        if (explained) {
            changed(other, false);
            m_out.suspicions.push_back({id, suspicion_of(other.task(id).crashes), other.task(id).crashes,
                                        std::string(name_of(evidence_kind::explained))});
        }
    }
}

void scheduler::clear_suspicion(job_state& job, const task_id& id, std::string_view why) {
    if (m_suspects.erase(id) == 0) {
        return;
    }
    std::vector<crash_evidence>& crashes = job.task(id).crashes;
    if (suspicion_of(crashes) > suspicion::none) {
        m_out.suspicions.push_back({id, suspicion::none, crashes, std::string(why)});
    }
    crashes.clear();
    changed(job, false);
}

/// What an earlier owner stored.
void scheduler::suspect_again(const job_state& restored) {
    if (is_final(restored.phase())) {
        return;
    }
    restored.each_step([&](step_place place) {
        for (std::uint32_t index = 0; index < restored.spec().steps[place.step].count; ++index) {
            const task_id id = restored.id_of(place, index);
            for (const crash_evidence& item : restored.task(id).crashes) {
                m_suspects.insert(id);
                if (item.fate != vm_fate::ended) {
                    m_silent_vms.emplace(item.vm, std::string());
                }
            }
        }
    });
}

void scheduler::forget_suspicions(const std::string& job) {
    m_suspects.erase(m_suspects.lower_bound({job, 0, 0, 0}), m_suspects.lower_bound({job + '\0', 0, 0, 0}));
}

std::vector<task_id> scheduler::suspects_of(const std::string& vm) const {
    std::vector<task_id> found;
    for (const task_id& id : m_suspects) {
        const std::vector<crash_evidence>& crashes = m_jobs.find(id.job)->second.task(id).crashes;
        if (std::ranges::find(crashes, vm, &crash_evidence::vm) != crashes.end()) {
            found.push_back(id);
        }
    }
    return found;
}

/// The VM was cut off or busy, and nothing crashed it.
void scheduler::silent_vm_answers(const std::string& vm, timestamp now) {
    if (m_silent_vms.erase(vm) == 0) {
        return;
    }
    for (const task_id& id : suspects_of(vm)) {
        job_state& job = m_jobs.find(id.job)->second;
        std::vector<crash_evidence>& crashes = job.task(id).crashes;
        std::vector<crash_evidence> left = crashes;
        std::erase_if(
            left, [&](const crash_evidence& item) { return item.vm == vm && item.fate != vm_fate::ended; });
        if (left.empty()) {
            clear_suspicion(job, id, "vm-answers");
        } else if (left != crashes) {
            crashes = std::move(left);
            reconsider(id, "vm-answers", now);
        }
    }
}

void scheduler::silent_vm_ended(const std::string& vm, timestamp now) {
    if (m_silent_vms.erase(vm) == 0) {
        return;
    }
    for (const task_id& id : suspects_of(vm)) {
        // Another suspect may just have been given up, and others of its job with it.
        if (m_suspects.contains(id)) {
            hold_against(id, {vm, evidence_kind::shared, vm_fate::ended, 0}, now);
        }
    }
}

void scheduler::machine_answers(const vm_info& alive, timestamp now) {
    std::vector<std::string> ended;
    for (const auto& [vm, machine] : m_silent_vms) {
        if (machine == alive.machine && vm != alive.incarnation) {
            ended.push_back(vm);
        }
    }
    for (const std::string& vm : ended) {
        silent_vm_ended(vm, now);
    }
}

/// An earlier owner may have started a suspected task on a VM that has crashed since, and may have died
/// before it heard of that. Answers owners that are killed one after the other while a task crashes VMs:
/// each would begin to count anew.
void scheduler::infer_ends(timestamp now) {
    std::set<std::string> known;
    for (const task_id& id : m_suspects) {
        for (const crash_evidence& item : m_jobs.find(id.job)->second.task(id).crashes) {
            known.insert(item.vm);
        }
    }
    const auto is_new = [&](const std::string& vm) { return !known.contains(vm); };
    const auto crashed = std::ranges::find_if(m_ended_unheard, is_new);
    const auto silent = std::ranges::find_if(m_unheard, is_new);
    if (crashed == m_ended_unheard.end() && silent == m_unheard.end()) {
        return;
    }
    const bool certain = crashed != m_ended_unheard.end();
    const std::string vm = certain ? *crashed : *silent;
    const std::set<task_id> suspects = m_suspects;
    for (const task_id& id : suspects) {
        const task_state& task = m_jobs.find(id.job)->second.task(id);
        if (m_suspects.contains(id) && task.unaccounted && task.runs.empty()) {
            hold_against(id, {vm, evidence_kind::inferred, certain ? vm_fate::ended : vm_fate::lapsed, 0},
                         now);
        }
    }
}

// --- Placing ---

std::size_t scheduler::usable_vms() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_vms, [](const auto& item) { return takes_work(item.second); }));
}

/// Notes on the VMs where suspected tasks run, and ends the isolation of those that no task needs any more.
void scheduler::mark_suspects() {
    if (m_suspects.empty() && !m_marked) {
        return;
    }
    m_marked = !m_suspects.empty();
    for (auto& [name, vm] : m_vms) {
        vm.suspect_jobs.clear();
    }
    std::set<std::string> isolated;
    for (const task_id& id : m_suspects) {
        const task_state& task = m_jobs.find(id.job)->second.task(id);
        const suspicion level = suspicion_of(task.crashes);
        if (level < suspicion::suspected) {
            continue;
        }
        for (const run& item : task.runs) {
            if (const auto vm = m_vms.find(item.vm); vm != m_vms.end()) {
                vm->second.suspect_jobs.insert(id.job);
            }
        }
        if (level == suspicion::isolated) {
            isolated.insert(id.job);
        }
    }
    for (auto& [name, vm] : m_vms) {
        const bool needed = isolated.contains(vm.isolated_for_job) &&
                            (takes_work(vm) || vm.suspect_jobs.contains(vm.isolated_for_job));
        if (!needed) {
            vm.isolated_for_job.clear();
        }
    }
}

vm_state* scheduler::choose_vm_for(const job_state& job, const task_id& id, const step_advice* advice,
                                   const std::string& near_rack, timestamp now) {
    const task_state& task = job.task(id);
    const suspicion level = suspicion_of(task.crashes);
    if (level < suspicion::suspected) {
        return choose_vm(m_vms, job, id, m_settings.placement, advice, near_rack, now);
    }
    if (m_suspect_started != id.job && now - m_suspect_started_at < between_suspects) {
        return nullptr;
    }
    // Members of a gang run on several VMs at a time: they are kept apart, not isolated.
    const bool gang = job.spec().steps[id.step].gang;
    if (level == suspicion::isolated && !gang) {
        return choose_isolated_vm(job, id, advice, now);
    }
    const auto at_risk = static_cast<std::size_t>(
        std::ranges::count_if(m_vms, [](const auto& item) { return !item.second.suspect_jobs.empty(); }));
    const bool may_widen =
        gang || at_risk < most_at_risk(usable_vms()) || now - task.idle_since >= widen_after;
    return choose_vm_for_suspect(m_vms, job, id, m_settings.placement, advice, near_rack, may_widen, now);
}

/// Runs of other jobs on the VM that could be blamed if it ended now.
std::size_t scheduler::unproven_others(const vm_state& vm, const std::string& job, timestamp now) const {
    std::size_t count = 0;
    for (const task_id& id : vm.tasks()) {
        if (id.job == job) {
            continue;
        }
        for (const run& item : m_jobs.find(id.job)->second.task(id).runs) {
            count += item.vm == vm.info().incarnation && now - item.started_at < proven_after ? 1 : 0;
        }
    }
    return count;
}

/// A VM for a task that is to run where no other job's run can be blamed. One is kept for its job until what
/// runs there has ended or is proven, so that a pool without an empty VM isolates tasks, too.
vm_state* scheduler::choose_isolated_vm(const job_state& job, const task_id& id, const step_advice* advice,
                                        timestamp now) {
    const std::string& name = job.spec().id;
    std::size_t others = 0;
    bool kept = false;
    for (const auto& [incarnation, vm] : m_vms) {
        kept = kept || vm.isolated_for_job == name;
        others += !vm.isolated_for_job.empty() && vm.isolated_for_job != name && takes_work(vm) ? 1 : 0;
    }
    if (!kept && others >= std::max<std::size_t>(1, usable_vms() / isolated_share)) {
        return nullptr;
    }
    vm_state* best = nullptr;
    std::tuple<bool, std::size_t, std::size_t> best_cost;
    for (auto& item : m_vms) {
        vm_state& vm = item.second;
        const bool fits = kept ? vm.isolated_for_job == name : !vm.has_other_suspects(name);
        if (!fits || !can_host_after_short_runs(vm, job, id, m_settings.placement, advice, now)) {
            continue;
        }
        const std::tuple cost{vm.hosts_long_running(), unproven_others(vm, name, now), vm.tasks().size()};
        if (best == nullptr || cost < best_cost) {
            best = &vm;
            best_cost = cost;
        }
    }
    if (best == nullptr) {
        return nullptr;
    }
    if (!kept && best->hosts_long_running() && now - job.task(id).idle_since < isolation_patience) {
        m_isolation_lacks_vm = true;
        return nullptr;
    }
    best->isolated_for_job = name;
    const bool clean = unproven_others(*best, name, now) == 0;
    return clean && reserved_resources(job.spec().steps[id.step]).fits_in(best->free_capacity()) ? best
                                                                                                 : nullptr;
}

} // namespace siskinpaddle::jobs
