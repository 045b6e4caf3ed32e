#include "jobs/scheduler.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

namespace {

/// Jobs of queues whose settings are not known are kept, with the most lenient settings.
const queue_settings unknown_queue{};

} // namespace

scheduler::scheduler(scheduler_settings settings, std::uint32_t epoch, timestamp now)
    : m_settings(settings), m_first_attempt(epoch * settings.attempts_per_epoch),
      m_takeover_deadline(now + settings.takeover_timeout), m_start_window(settings.starts),
      m_start_settling(settings.settling) {}

const queue_settings* scheduler::queue_of(const job_state& job) const {
    const auto found = std::ranges::find(m_queues, job.spec().queue, &queue_settings::name);
    return found == m_queues.end() ? &unknown_queue : &*found;
}

void scheduler::add_note(std::string what, const std::string& vm, const task_id* task,
                         std::uint32_t attempt) {
    scheduler_note item{std::move(what), vm, {}, attempt};
    if (task != nullptr) {
        item.task = *task;
    }
    m_pending_decisions.notes.push_back(std::move(item));
}

void scheduler::mark_changed(job_state& job, bool urgent) {
    ++job.change_count;
    m_changed_jobs.insert(job.spec().id);
    m_has_urgent_changes = m_has_urgent_changes || urgent;
}

// --- Jobs ---

admission_verdict scheduler::check_admission(const job_spec& spec, const std::string& account) const {
    const auto found = std::ranges::find(m_queues, spec.queue, &queue_settings::name);
    if (found == m_queues.end()) {
        return {true, 0ms, load().queue_wait()};
    }
    const job_state probe(spec, timestamp(0));
    const auto admit_at = [&](const pool_load& present) {
        return admit(spec, *found, probe.critical_path_ms(), present);
    };
    if (m_accounts.is_limited(account)) {
        return admit_at(load_within(account, m_accounts.ceiling(account)));
    }
    // The pool may get more machines for the work that waits, but the account never gets beyond its limit.
    const admission_verdict by_limit = admit_at(load_within(account, m_accounts.limit(account)));
    return by_limit.accepted ? admit_at(load()) : by_limit;
}

/// The load that a job meets if only its account's work is ahead of it, and at most `available` serves it.
pool_load scheduler::load_within(const std::string& account, const resources& available) const {
    pool_load load;
    const auto waiting = m_account_work.find(account);
    load.waiting_work = waiting == m_account_work.end() ? 0 : waiting->second;
    load.usable_millicores = available.cpu_millicores;
    return load;
}

void scheduler::record_job_arrival(const job_spec& spec, timestamp now) {
    if (spec.is_long_lived() || spec.has_due_times) {
        return;
    }
    m_demand_meter.record_arrival(spec.id, estimate_job_work(spec, m_work_gauge), now);
    m_label_meters.record_arrival(spec, m_work_gauge, now);
}

void scheduler::add_job(const job_record& record, timestamp accepted_at) {
    const auto [entry, added] =
        m_jobs.emplace(record.spec.id, job_state(record.spec, accepted_at, record.account));
    if (added && !record.spec.has_due_times) {
        add_waiting_work(entry->second, 0);
    }
}

void scheduler::restore_job(const job_record& record, const std::optional<job_progress>& progress,
                            timestamp accepted_at) {
    job_state job(record.spec, accepted_at, record.account);
    job_progress stored = progress.value_or(job_progress{});
    job.restore(stored);
    job.is_final_phase_stored = is_final(job.phase());
    const auto& added = m_jobs.emplace(record.spec.id, std::move(job)).first->second;
    restore_suspicions(added);
}

cancel_outcome scheduler::cancel(const std::string& job, timestamp now) {
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end()) {
        return cancel_outcome::unknown_job;
    }
    if (is_final(found->second.phase())) {
        return cancel_outcome::already_final;
    }
    finish_job(found->second, job_phase::cancelled, now);
    return cancel_outcome::cancelled;
}

void scheduler::finish_job(job_state& job, job_phase phase, timestamp now) {
    job.set_phase(phase);
    job.final_at = now;
    remove_suspects_of_job(job.spec().id);
    mark_changed(job, true);
    stop_job_runs(job, now);
}

std::optional<job_phase> scheduler::phase_of(const std::string& job) const {
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end()) {
        return std::nullopt;
    }
    const job_state& state = found->second;
    if (is_final(state.phase()) && state.is_final_phase_stored) {
        return state.phase();
    }
    return state.has_begun() ? job_phase::running : job_phase::queued;
}

std::size_t scheduler::pending_jobs(const std::string& queue) const {
    return static_cast<std::size_t>(std::ranges::count_if(m_jobs, [&](const auto& item) {
        const job_state& job = item.second;
        return job.spec().queue == queue && !job.has_begun() && !is_final(job.phase());
    }));
}

std::set<std::string> scheduler::queues_of_jobs() const {
    std::set<std::string> queues;
    for (const auto& [id, job] : m_jobs) {
        queues.insert(job.spec().queue);
    }
    return queues;
}

const job_state* scheduler::find_job(const std::string& job) const {
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second;
}

std::vector<removed_job> scheduler::remove_final_jobs(timestamp now, milliseconds keep) {
    std::vector<removed_job> removed;
    std::erase_if(m_jobs, [&](const auto& item) {
        const job_state& job = item.second;
        if (!job.is_final_phase_stored || job.total_runs() > 0 || now - job.final_at < keep) {
            return false;
        }
        removed.push_back({item.first, job.phase(), job.account()});
        std::erase_if(m_advice, [&](const auto& known) { return std::get<0>(known.first) == item.first; });
        return true;
    });
    return removed;
}

// --- Storing ---

store_batch scheduler::begin_store_batch() {
    store_batch batch;
    batch.jobs.assign(m_changed_jobs.begin(), m_changed_jobs.end());
    m_changed_jobs.clear();
    m_has_urgent_changes = false;
    m_has_ends_to_store = false;
    for (const auto& [name, vm] : m_vms) {
        if (vm.last_received_end > vm.last_stored_end) {
            batch.end_sequences[name] = vm.last_received_end;
        }
    }
    return batch;
}

void scheduler::mark_job_stored(const std::string& job, std::uint64_t change, timestamp now) {
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end()) {
        return;
    }
    job_state& state = found->second;
    state.stored_change_count = std::max(state.stored_change_count, change);
    if (is_final(state.phase()) && state.stored_change_count == state.change_count &&
        !state.is_final_phase_stored) {
        state.is_final_phase_stored = true;
        state.final_at = now;
    }
}

void scheduler::mark_batch_stored(const store_batch& batch) {
    for (const auto& [name, seen] : batch.end_sequences) {
        if (const auto found = m_vms.find(name); found != m_vms.end()) {
            found->second.last_stored_end = std::max(found->second.last_stored_end, seen);
        }
    }
}

void scheduler::mark_batch_failed(const store_batch& batch) {
    for (const std::string& job : batch.jobs) {
        if (m_jobs.contains(job)) {
            m_changed_jobs.insert(job);
        }
    }
    m_has_urgent_changes = true;
    m_has_ends_to_store = m_has_ends_to_store || !batch.end_sequences.empty();
}

} // namespace siskinpaddle::jobs
