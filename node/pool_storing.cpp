#include "node/pool_task.hpp"

#include "node/keys.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// Changes that nobody waits for are collected this long, so that many ends go into one write.
constexpr milliseconds store_collect = 25ms;
/// A job that ended has a client asking for it: nearly at once, but several at a time.
constexpr milliseconds urgent_collect = 2ms;
constexpr milliseconds store_retry = 120ms;
/// Entries of a transaction that a job's progress takes: its write, and the condition on what it replaces.
constexpr std::size_t progress_entries = 2;
/// An ended job's record is removed as well.
constexpr std::size_t ended_entries = progress_entries + 1;
/// An ended job stays with the scheduler this long, for late reports on its runs.
constexpr milliseconds ended_in_scheduler = 3s;
/// Requests in the inbox that could not be taken are tried again after this; a cancelling must work within
/// three seconds.
constexpr milliseconds inbox_retry = 300ms;
/// Between two looks for ended jobs to forget.
constexpr milliseconds forget_interval = 2s;
/// VMs that are kept empty for an upkeep go back to work if whoever asked for it is silent for this long.
constexpr milliseconds cleared_bound = 6s;

} // namespace

void pool_task::store_soon() {
    const bool urgent = m_scheduler.has_urgent_changes();
    if (m_storing || (m_store_planned && !(urgent && !m_store_urgent))) {
        return;
    }
    m_store_planned = true;
    m_store_urgent = urgent;
    m_store_timer->start(urgent ? urgent_collect : store_collect);
}

void pool_task::store_round() {
    m_store_planned = false;
    m_store_urgent = false;
    if (m_storing || m_lost || !m_scheduler.has_changes()) {
        return;
    }
    m_storing = true;
    m_round = m_scheduler.begin_store_batch();
    m_chunks_open = 0;
    m_round_good = true;
    for (std::span<const std::string> left(m_round.jobs); !left.empty();) {
        left = left.subspan(write_chunk(left));
    }
    if (m_chunks_open == 0) {
        round_done();
    }
}

/// Writes what goes into one transaction; returns how many of the jobs it dealt with.
std::size_t pool_task::write_chunk(std::span<const std::string> jobs) {
    platform::store_transaction change;
    change.conditions.push_back(owner_condition());
    std::vector<std::pair<std::string, std::uint64_t>> written;
    std::size_t free_entries = platform::max_transaction_entries - 1;
    std::size_t dealt_with = 0;
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
        ++dealt_with;
    }
    if (written.empty()) {
        return dealt_with;
    }
    ++m_chunks_open;
    m_parts.store.commit(change, [this, written, token = m_held.token,
                                  alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
        if (!alive.expired()) {
            chunk_written(written, answer, token);
        }
    });
    return dealt_with;
}

void pool_task::add_progress(platform::store_transaction& change, const std::string& id,
                             const jobs::job_state& job) const {
    const std::string key = progress_prefix(m_pool) + id;
    const auto known = m_progress_revisions.find(id);
    // A write without an answer that is carried out late would undo a newer one, and the next owner would run
    // a completed job again; it holds only against the progress that it was to replace.
    change.conditions.push_back({key, known == m_progress_revisions.end() ? 0 : known->second});
    change.writes.push_back({key, encode_archive(job.progress()), 0});
    if (jobs::is_final(job.phase())) {
        change.removals.push_back(job_prefix(m_pool) + id);
    }
}

void pool_task::note_progress_revision(const std::string& job, std::int64_t revision) {
    if (m_scheduler.has_job(job)) {
        m_progress_revisions[job] = revision;
    }
}

void pool_task::chunk_written(const std::vector<std::pair<std::string, std::uint64_t>>& written,
                              const platform::store_answer& answer, std::int64_t token) {
    const bool stored = answer.status == platform::store_status::ok;
    if (stored) {
        for (const auto& [id, change] : written) {
            note_progress_revision(id, answer.revision);
            m_scheduler.mark_job_stored(id, change, event_loop::now());
            log_if_ended(id);
        }
    } else {
        m_round_good = false;
        if (answer.status == platform::store_status::conflict) {
            chunk_refused(written, answer, token);
        }
    }
    if (--m_chunks_open == 0) {
        round_done();
    }
}

/// Either the claim is over, or an earlier write of ours was carried out after all: the next round replaces
/// what that one wrote.
void pool_task::chunk_refused(const std::vector<std::pair<std::string, std::uint64_t>>& written,
                              const platform::store_answer& answer, std::int64_t token) {
    if (revision_of(answer, owner_prefix + m_held.duty) != token) {
        ownership_lost("progress", token);
    }
    for (const auto& [id, change] : written) {
        note_progress_revision(id, revision_of(answer, progress_prefix(m_pool) + id));
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

void pool_task::round_done() {
    m_storing = false;
    if (m_round_good) {
        m_scheduler.mark_batch_stored(m_round);
    } else {
        m_scheduler.mark_batch_failed(m_round);
    }
    settle_cancels();
    for (auto& [vm, link] : m_links) {
        if (std::exchange(link.waits_for_store, false)) {
            renew_later(vm, milliseconds(0));
        }
    }
    if (m_scheduler.has_changes() && !m_lost) {
        m_store_planned = true;
        m_store_timer->start(m_round_good ? urgent_collect : store_retry);
    } else if (m_wound_down) {
        std::exchange(m_wound_down, {})();
    }
}

void pool_task::wind_down(std::function<void()> done) {
    m_winding_down = true;
    m_wound_down = std::move(done);
    if (!m_storing && !m_scheduler.has_changes()) {
        std::exchange(m_wound_down, {})();
    } else {
        store_soon();
    }
}

void pool_task::forget_old() {
    const timestamp now = event_loop::now();
    if (now - m_inbox_tried_at >= inbox_retry) {
        m_inbox_tried_at = now;
        for (const platform::store_item& item : std::exchange(m_inbox_again, {})) {
            take_inbox_cancel(item);
        }
    }
    if (now - m_forgot_at < forget_interval) {
        return;
    }
    m_forgot_at = now;
    if (!m_cleared_vms.empty() && now - m_cleared_at > cleared_bound) {
        use_again(std::exchange(m_cleared_vms, {}));
    }
    for (const auto& [id, phase] : m_scheduler.remove_final_jobs(now, ended_in_scheduler)) {
        m_ended[id] = phase;
        m_ended_at[id] = now;
        m_progress_revisions.erase(id);
    }
    platform::store_transaction change;
    change.conditions.push_back(owner_condition());
    for (const auto& [id, ended] : m_ended_at) {
        if (now - ended > m_parts.settings.ended_job_retention &&
            change.removals.size() < platform::max_transaction_entries - 1) {
            change.removals.push_back(progress_prefix(m_pool) + id);
        }
    }
    for (const std::string& key : change.removals) {
        const std::string id = key.substr(progress_prefix(m_pool).size());
        m_ended.erase(id);
        m_ended_at.erase(id);
    }
    if (!change.removals.empty()) {
        m_parts.store.commit(change, [](const platform::store_answer&) {});
    }
}

} // namespace siskinpaddle::node
