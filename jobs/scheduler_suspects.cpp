#include "jobs/scheduler.hpp"

#include <algorithm>
#include <tuple>

namespace siskinpaddle::jobs {

namespace {

/// A suspected task that has waited this long for capacity on VMs that already run suspected tasks may start
/// on another VM even if max_vms_at_risk() is reached.
constexpr milliseconds spread_delay = 1500ms;
/// Time that a task to be isolated waits for a VM without long-lived tasks; machines arrive within it.
constexpr milliseconds isolation_timeout = 2500ms;
/// Runs on a VM that has been unresponsive for this long are recorded in the store, so that the record
/// survives the owner.
constexpr milliseconds unresponsive_record_delay = 250ms;
/// Within this interval, suspected tasks of few different jobs are started, so that the crashes that they
/// cause don't look like a mass loss.
constexpr milliseconds suspect_start_interval = 120ms;
/// At most one in this many usable VMs may be reserved for isolated tasks at a time.
constexpr std::size_t isolated_vm_divisor = 4;

bool accepts_work(const vm_state& vm) {
    return vm.listed && vm.reachable && !vm.cordoned && !vm.info().draining;
}

} // namespace

// --- Evidence ---

void scheduler::evaluate_vm_end(const vm_end& end, end_certainty certainty, timestamp now) {
    if (end.cause == vm_end_cause::ordered) {
        process_unresponsive_vm_response(end.vm, now); // The order made the VM unresponsive.
        return;
    }
    const bool mass = is_part_of_mass_loss(end);
    if (end.had_responded) {
        m_recent_ends.add(end.vm, end.unresponsive_since, now);
    }
    for (const suspect_run& item : find_suspect_runs(end, mass)) {
        // A run that has lasted longer than proven_after is no suspect, so the age fits.
        const auto age = static_cast<std::uint16_t>(item.age.count());
        add_crash_evidence(item.task, {end.vm, item.kind, certainty, age}, now);
    }
    if (certainty == end_certainty::ended) {
        confirm_unresponsive_vm_end(end.vm, now);
    } else {
        m_unresponsive_vms[end.vm] = end.machine;
    }
}

/// Records the runs on unresponsive VMs as evidence before the end of the VM is certain. Without this record,
/// an owner that dies between a crash and the VM's next incarnation would lose the evidence.
void scheduler::record_unresponsive_vms(timestamp now) {
    if (m_suspects.empty()) {
        std::erase_if(m_unresponsive_vms, [this](const auto& item) { return !m_vms.contains(item.first); });
    }
    for (const auto& [name, vm] : m_vms) {
        const bool unresponsive =
            !vm.reachable && vm.has_responded() && now - vm.unresponsive_since() >= unresponsive_record_delay;
        if (unresponsive && !vm.has_no_runs() && !m_unresponsive_vms.contains(name)) {
            evaluate_vm_end(describe_end(vm, vm_end_cause::lease_expired, now), end_certainty::unresponsive,
                            now);
        }
    }
}

bool scheduler::is_part_of_mass_loss(const vm_end& end) const {
    std::vector<timestamp> unresponsive{end.unresponsive_since};
    std::size_t known_vms = 0;
    for (const auto& [name, vm] : m_vms) {
        known_vms += vm.has_responded() ? 1 : 0;
        if (name != end.vm && vm.has_responded() && vm.unresponsive_since() != timestamp(0)) {
            unresponsive.push_back(vm.unresponsive_since());
        }
    }
    return is_mass_loss(m_recent_ends.count_simultaneous(end.unresponsive_since, unresponsive), known_vms);
}

void scheduler::add_crash_evidence(const task_id& id, const crash_evidence& evidence, timestamp now) {
    const auto found = m_jobs.find(id.job);
    if (found == m_jobs.end() || is_final(found->second.phase()) || found->second.task(id).done) {
        return;
    }
    std::vector<crash_evidence>& crashes = found->second.task(id).crashes;
    const auto known = std::ranges::find(crashes, evidence.vm, &crash_evidence::vm);
    if (known == crashes.end()) {
        crashes.push_back(evidence);
    } else if (known->certainty < evidence.certainty) {
        known->certainty = evidence.certainty;
    } else {
        return;
    }
    m_suspects.insert(id);
    update_suspicion(id, name_of(evidence.certainty), now);
}

/// Updates the suspicion level after a change of the evidence, which is stored before the task starts again.
void scheduler::update_suspicion(const task_id& id, std::string_view reason, timestamp now) {
    job_state& job = m_jobs.find(id.job)->second;
    task_state& task = job.task(id);
    const suspicion level = suspicion_of(task.crashes);
    mark_changed(job, level > suspicion::none);
    task.crashes_change_count = job.change_count;
    if (level > suspicion::none) {
        m_pending_decisions.suspicion_changes.push_back({id, level, task.crashes, std::string(reason)});
    }
    if (level == suspicion::given_up) {
        give_up_task(id, now);
    }
}

void scheduler::give_up_task(const task_id& id, timestamp now) {
    job_state& job = m_jobs.find(id.job)->second;
    mark_explained_by(job.task(id), id.job);
    finish_job(job, job_phase::failed, now);
}

/// Marks evidence against tasks of other jobs as explained if it comes from a VM on which the culprit
/// crashed; explained evidence has less weight.
void scheduler::mark_explained_by(const task_state& culprit, const std::string& job) {
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
            mark_changed(other, false);
            m_pending_decisions.suspicion_changes.push_back({id, suspicion_of(other.task(id).crashes),
                                                             other.task(id).crashes,
                                                             std::string(name_of(evidence_kind::explained))});
        }
    }
}

void scheduler::clear_suspicion(job_state& job, const task_id& id, std::string_view reason) {
    if (m_suspects.erase(id) == 0) {
        return;
    }
    std::vector<crash_evidence>& crashes = job.task(id).crashes;
    if (suspicion_of(crashes) > suspicion::none) {
        m_pending_decisions.suspicion_changes.push_back({id, suspicion::none, crashes, std::string(reason)});
    }
    crashes.clear();
    mark_changed(job, false);
}

/// Restores the evidence that a previous owner stored.
void scheduler::restore_suspicions(const job_state& restored) {
    if (is_final(restored.phase())) {
        return;
    }
    restored.for_each_step([&](step_position position) {
        for (std::uint32_t index = 0; index < restored.spec().steps[position.step].count; ++index) {
            const task_id id = restored.id_of(position, index);
            for (const crash_evidence& item : restored.task(id).crashes) {
                m_suspects.insert(id);
                if (item.certainty != end_certainty::ended) {
                    m_unresponsive_vms.emplace(item.vm, std::string());
                }
            }
        }
    });
}

void scheduler::remove_suspects_of_job(const std::string& job) {
    m_suspects.erase(m_suspects.lower_bound({job, 0, 0, 0}), m_suspects.lower_bound({job + '\0', 0, 0, 0}));
}

std::vector<task_id> scheduler::suspects_on(const std::string& vm) const {
    std::vector<task_id> found;
    for (const task_id& id : m_suspects) {
        const std::vector<crash_evidence>& crashes = m_jobs.find(id.job)->second.task(id).crashes;
        if (std::ranges::find(crashes, vm, &crash_evidence::vm) != crashes.end()) {
            found.push_back(id);
        }
    }
    return found;
}

/// Withdraws the evidence from a VM that was only cut off or busy: nothing crashed it.
void scheduler::process_unresponsive_vm_response(const std::string& vm, timestamp now) {
    if (m_unresponsive_vms.erase(vm) == 0) {
        return;
    }
    for (const task_id& id : suspects_on(vm)) {
        job_state& job = m_jobs.find(id.job)->second;
        std::vector<crash_evidence>& crashes = job.task(id).crashes;
        std::vector<crash_evidence> left = crashes;
        std::erase_if(left, [&](const crash_evidence& item) {
            return item.vm == vm && item.certainty != end_certainty::ended;
        });
        if (left.empty()) {
            clear_suspicion(job, id, "vm-answers");
        } else if (left != crashes) {
            crashes = std::move(left);
            update_suspicion(id, "vm-answers", now);
        }
    }
}

void scheduler::confirm_unresponsive_vm_end(const std::string& vm, timestamp now) {
    if (m_unresponsive_vms.erase(vm) == 0) {
        return;
    }
    for (const task_id& id : suspects_on(vm)) {
        // Another suspect may just have been given up, and with it the other tasks of its job.
        if (m_suspects.contains(id)) {
            add_crash_evidence(id, {vm, evidence_kind::shared, end_certainty::ended, 0}, now);
        }
    }
}

void scheduler::confirm_superseded_vms(const vm_info& alive, timestamp now) {
    std::vector<std::string> ended;
    for (const auto& [vm, machine] : m_unresponsive_vms) {
        if (machine == alive.machine && vm != alive.incarnation) {
            ended.push_back(vm);
        }
    }
    for (const std::string& vm : ended) {
        confirm_unresponsive_vm_end(vm, now);
    }
}

/// A previous owner may have started a suspected task on a VM that has crashed since, and may have died
/// before it learned of the crash. Without this inference, owners that are killed one after the other while a
/// task crashes VMs would each restart the count.
void scheduler::infer_crash_evidence(timestamp now) {
    std::set<std::string> known;
    for (const task_id& id : m_suspects) {
        for (const crash_evidence& item : m_jobs.find(id.job)->second.task(id).crashes) {
            known.insert(item.vm);
        }
    }
    const auto is_new = [&](const std::string& vm) { return !known.contains(vm); };
    const auto crashed = std::ranges::find_if(m_ended_unconfirmed_vms, is_new);
    const auto unresponsive = std::ranges::find_if(m_unconfirmed_vms, is_new);
    if (crashed == m_ended_unconfirmed_vms.end() && unresponsive == m_unconfirmed_vms.end()) {
        return;
    }
    const bool confirmed = crashed != m_ended_unconfirmed_vms.end();
    const std::string vm = confirmed ? *crashed : *unresponsive;
    const std::set<task_id> suspects = m_suspects;
    for (const task_id& id : suspects) {
        const task_state& task = m_jobs.find(id.job)->second.task(id);
        if (m_suspects.contains(id) && task.may_have_unknown_run && task.runs.empty()) {
            add_crash_evidence(id,
                               {vm, evidence_kind::inferred,
                                confirmed ? end_certainty::ended : end_certainty::lease_expired, 0},
                               now);
        }
    }
}

// --- Placement ---

std::size_t scheduler::usable_vm_count() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_vms, [](const auto& item) { return accepts_work(item.second); }));
}

/// Marks the VMs where suspected tasks run, and ends the isolation of VMs that no task needs any more. A VM
/// that takes no work is not kept either: few VMs may be isolated at a time, and a quarantine lasts longer
/// than the runs that the other jobs wait for.
void scheduler::mark_suspect_vms(timestamp now) {
    if (m_suspects.empty() && !m_has_suspect_marks) {
        return;
    }
    m_has_suspect_marks = !m_suspects.empty();
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
        const bool usable = accepts_work(vm) && !vm.is_quarantined(now);
        const bool needed = isolated.contains(vm.isolated_for_job) &&
                            (usable || vm.suspect_jobs.contains(vm.isolated_for_job));
        if (!needed) {
            vm.isolated_for_job.clear();
        }
    }
}

vm_state* scheduler::choose_vm_for_task(const job_state& job, const task_id& id, const step_advice* advice,
                                        const placement_preference& preferred, timestamp now) {
    const task_state& task = job.task(id);
    const suspicion level = suspicion_of(task.crashes);
    if (level < suspicion::suspected) {
        return choose_vm(m_vms, job, id, m_settings.placement, advice, preferred, now);
    }
    std::erase_if(m_suspect_starts,
                  [&](const auto& item) { return now - item.second >= suspect_start_interval; });
    if (!m_suspect_starts.contains(id.job) &&
        m_suspect_starts.size() >= max_suspect_jobs_together(usable_vm_count())) {
        return nullptr;
    }
    // Members of a gang run on several VMs at a time: they are kept apart, not isolated.
    const bool gang = job.spec().steps[id.step].gang;
    if (level == suspicion::isolated && !gang) {
        return choose_isolated_vm(job, id, advice, now);
    }
    const auto at_risk = static_cast<std::size_t>(
        std::ranges::count_if(m_vms, [](const auto& item) { return !item.second.suspect_jobs.empty(); }));
    const bool allow_new_vm =
        gang || at_risk < max_vms_at_risk(usable_vm_count()) || now - task.idle_since >= spread_delay;
    return choose_vm_for_suspect(m_vms, job, id, m_settings.placement, advice, preferred.rack, allow_new_vm,
                                 now);
}

/// Counts the runs of other jobs on the VM that could be blamed if the VM ended now.
std::size_t scheduler::unproven_runs_of_other_jobs(const vm_state& vm, const std::string& job,
                                                   timestamp now) const {
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

/// Chooses a VM for a task that must run where no other job's run can be blamed. The VM is reserved for the
/// task's job until the runs there have ended or are proven, so that a pool without an empty VM can isolate
/// tasks, too.
vm_state* scheduler::choose_isolated_vm(const job_state& job, const task_id& id, const step_advice* advice,
                                        timestamp now) {
    const std::string& name = job.spec().id;
    std::size_t others = 0;
    bool kept = false;
    for (const auto& [incarnation, vm] : m_vms) {
        kept = kept || vm.isolated_for_job == name;
        others += !vm.isolated_for_job.empty() && vm.isolated_for_job != name && accepts_work(vm) ? 1 : 0;
    }
    if (!kept && others >= std::max<std::size_t>(1, usable_vm_count() / isolated_vm_divisor)) {
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
        const std::tuple cost{vm.hosts_long_lived(), unproven_runs_of_other_jobs(vm, name, now),
                              vm.tasks().size()};
        if (best == nullptr || cost < best_cost) {
            best = &vm;
            best_cost = cost;
        }
    }
    if (best == nullptr) {
        return nullptr;
    }
    if (!kept && best->hosts_long_lived() && now - job.task(id).idle_since < isolation_timeout) {
        m_isolation_lacks_vm = true;
        return nullptr;
    }
    best->isolated_for_job = name;
    const bool clean = unproven_runs_of_other_jobs(*best, name, now) == 0;
    return clean && reserved_resources(job.spec().steps[id.step]).fits_in(best->free_capacity()) ? best
                                                                                                 : nullptr;
}

} // namespace siskinpaddle::jobs
