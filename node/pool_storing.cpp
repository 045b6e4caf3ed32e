#include "node/pool_task.hpp"

#include "node/keys.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// Delay that coalesces changes which no client waits for, so that many ends go into one write.
constexpr milliseconds store_coalesce_delay = 25ms;
/// Delay for ended jobs, whose clients poll for the result: short, but long enough to coalesce several ends.
constexpr milliseconds urgent_coalesce_delay = 2ms;
constexpr milliseconds store_retry = 120ms;
/// Transaction entries for a job's progress: its write, and the condition on the progress that it replaces.
constexpr std::size_t progress_entries = 2;
/// The record of an ended job is removed as well.
constexpr std::size_t ended_entries = progress_entries + 1;
/// How long an ended job stays in the scheduler, for late reports on its runs.
constexpr milliseconds scheduler_retention = 3s;
/// Delay before cancellations in the inbox that could not be carried out are retried; a cancellation must
/// take effect within three seconds.
constexpr milliseconds inbox_retry = 300ms;
/// Interval between reviews of the pool's record. Changes of settings are rare and need not be stored at
/// once.
constexpr milliseconds pool_record_interval = 10s;
/// Interval between removals of ended jobs.
constexpr milliseconds cleanup_interval = 2s;
/// Transaction entries for the removal of an ended job: its progress and its place.
constexpr std::size_t entries_per_forgotten_job = 2;
constexpr std::size_t forgotten_jobs_per_write =
    (platform::max_transaction_entries - 1) / entries_per_forgotten_job;
/// Most ended jobs that are removed at a time, so that removals use a small part of the store's rate.
constexpr std::size_t max_forgotten_jobs = 4 * forgotten_jobs_per_write;
/// VMs that are kept empty at the request of the fleet's owner take work again if it sends no demand query
/// for this long.
constexpr milliseconds cleared_timeout = 6s;

} // namespace

void pool_task::schedule_store() {
    const bool urgent = m_scheduler.has_urgent_changes();
    if (m_store_in_flight || (m_store_planned && !(urgent && !m_store_urgent))) {
        return;
    }
    m_store_planned = true;
    m_store_urgent = urgent;
    m_store_timer->start(urgent ? urgent_coalesce_delay : store_coalesce_delay);
}

void pool_task::store_changes() {
    m_store_planned = false;
    m_store_urgent = false;
    if (m_store_in_flight || m_ownership_lost || !m_scheduler.has_changes()) {
        return;
    }
    m_store_in_flight = true;
    m_store_round = m_scheduler.begin_store_batch();
    m_chunks_in_flight = 0;
    m_store_round_succeeded = true;
    for (std::span<const std::string> remaining(m_store_round.jobs); !remaining.empty();) {
        remaining = remaining.subspan(write_chunk(remaining));
    }
    if (m_chunks_in_flight == 0) {
        finish_store_round();
    }
}

/// Writes as many of the jobs as fit into one transaction; returns how many of the jobs it processed.
std::size_t pool_task::write_chunk(std::span<const std::string> jobs) {
    platform::store_transaction change;
    change.conditions.push_back(owner_condition());
    std::vector<std::pair<std::string, std::uint64_t>> written;
    std::size_t free_entries = platform::max_transaction_entries - 1;
    std::size_t processed = 0;
    for (const std::string& id : jobs) {
        if (const jobs::job_state* job = m_scheduler.find_job(id)) {
            const bool ended = jobs::is_final(job->phase());
            const std::size_t needed = ended ? ended_entries : progress_entries;
            if (needed > free_entries) {
                break;
            }
            free_entries -= needed;
            add_progress(change, id, *job);
            written.emplace_back(id, job->change_count);
        }
        ++processed;
    }
    if (written.empty()) {
        return processed;
    }
    ++m_chunks_in_flight;
    m_context.store.commit(change, [this, written, token = m_ownership.token,
                                    alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
        if (!alive.expired()) {
            on_chunk_written(written, answer, token);
        }
    });
    return processed;
}

void pool_task::add_progress(platform::store_transaction& change, const std::string& id,
                             const jobs::job_state& job) const {
    const std::string key = progress_prefix(m_pool) + id;
    const auto known = m_progress_revisions.find(id);
    // An unanswered write that is executed late would undo a newer one, and the next owner would run a
    // completed job again. The write is therefore conditional on the progress that it replaces.
    change.conditions.push_back({key, known == m_progress_revisions.end() ? 0 : known->second});
    change.writes.push_back({key, encode_archive(job.progress()), 0});
    if (jobs::is_final(job.phase())) {
        change.removals.push_back(job_prefix(m_pool) + id);
    }
}

void pool_task::update_progress_revision(const std::string& job, std::int64_t revision) {
    if (m_scheduler.has_job(job)) {
        m_progress_revisions[job] = revision;
    }
}

void pool_task::on_chunk_written(const std::vector<std::pair<std::string, std::uint64_t>>& written,
                                 const platform::store_answer& answer, std::int64_t token) {
    const bool stored = answer.status == platform::store_status::ok;
    if (stored) {
        for (const auto& [id, change] : written) {
            update_progress_revision(id, answer.revision);
            m_scheduler.mark_job_stored(id, change, event_loop::now());
            log_if_ended(id);
        }
    } else {
        m_store_round_succeeded = false;
        if (answer.status == platform::store_status::conflict) {
            on_chunk_refused(written, answer, token);
        }
    }
    if (--m_chunks_in_flight == 0) {
        finish_store_round();
    }
}

/// Handles a conflict: either the ownership is lost, or an earlier write of this node was executed after all.
/// In the latter case the next round replaces what that write stored.
void pool_task::on_chunk_refused(const std::vector<std::pair<std::string, std::uint64_t>>& written,
                                 const platform::store_answer& answer, std::int64_t token) {
    if (revision_of(answer, owner_prefix + m_ownership.duty) != token) {
        on_ownership_lost("progress", token);
    }
    for (const auto& [id, change] : written) {
        update_progress_revision(id, revision_of(answer, progress_prefix(m_pool) + id));
    }
}

void pool_task::log_if_ended(const std::string& id) const {
    const jobs::job_state* job = m_scheduler.find_job(id);
    if (job == nullptr || !job->is_final_phase_stored) {
        return;
    }
    log_event(event_id::job_ended, {{"pool", m_pool},
                                    {"job", id},
                                    {"phase", name_of(job->phase())},
                                    {"age_ms", (event_loop::now() - job->accepted_at()).count()},
                                    {"chain_ms", job->critical_path_ms()}});
}

void pool_task::finish_store_round() {
    m_store_in_flight = false;
    if (m_store_round_succeeded) {
        m_scheduler.mark_batch_stored(m_store_round);
    } else {
        m_scheduler.mark_batch_failed(m_store_round);
    }
    answer_stored_cancels();
    for (auto& [vm, renewal] : m_renewals) {
        if (std::exchange(renewal.waits_for_store, false)) {
            schedule_renewal(vm, milliseconds(0));
        }
    }
    if (m_scheduler.has_changes() && !m_ownership_lost) {
        m_store_planned = true;
        m_store_timer->start(m_store_round_succeeded ? urgent_coalesce_delay : store_retry);
    } else if (m_on_shut_down) {
        std::exchange(m_on_shut_down, {})();
    }
}

void pool_task::shut_down(std::function<void()> done) {
    m_shutting_down = true;
    m_on_shut_down = std::move(done);
    if (!m_store_in_flight && !m_scheduler.has_changes()) {
        std::exchange(m_on_shut_down, {})();
    } else {
        schedule_store();
    }
}

void pool_task::run_cleanup() {
    const timestamp now = event_loop::now();
    if (now - m_inbox_retried_at >= inbox_retry) {
        m_inbox_retried_at = now;
        for (const platform::store_item& item : std::exchange(m_unresolved_inbox_cancels, {})) {
            process_inbox_cancel(item);
        }
    }
    if (now - m_cleaned_up_at < cleanup_interval) {
        return;
    }
    m_cleaned_up_at = now;
    if (!m_evacuated_vms.empty() && now - m_evacuated_at > cleared_timeout) {
        uncordon_vms(std::exchange(m_evacuated_vms, {}));
    }
    for (const jobs::removed_job& job : m_scheduler.remove_final_jobs(now, scheduler_retention)) {
        m_ended[job.id] = {job.phase, job.account, now};
        m_progress_revisions.erase(job.id);
    }
    forget_ended_jobs(now);
    place_restored_jobs();
    if (now - m_pool_record_reviewed_at >= pool_record_interval) {
        review_pool_record(now);
    }
}

/// Removes what is stored of jobs that ended long ago. A new owner reads again, and removes later, what is
/// left by a removal that failed.
void pool_task::forget_ended_jobs(timestamp now) {
    std::vector<std::string> forgotten;
    for (const auto& [id, job] : m_ended) {
        if (now - job.ended_at > m_context.settings.ended_job_retention &&
            forgotten.size() < max_forgotten_jobs) {
            forgotten.push_back(id);
        }
    }
    for (std::span<const std::string> remaining(forgotten); !remaining.empty();) {
        const auto batch = remaining.first(std::min(remaining.size(), forgotten_jobs_per_write));
        platform::store_transaction change;
        change.conditions.push_back(owner_condition());
        for (const std::string& id : batch) {
            change.removals.push_back(progress_prefix(m_pool) + id);
            change.removals.push_back(place_key(id));
            m_ended.erase(id);
        }
        m_context.store.commit(change, [](const platform::store_answer&) {});
        remaining = remaining.subspan(batch.size());
    }
}

} // namespace siskinpaddle::node
