#include "node/pool_task.hpp"

#include "node/keys.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// Transaction entries for the transfer of one job: a condition, a write and a removal.
constexpr std::size_t entries_per_job = 3;
/// Most jobs that one transaction transfers, besides its condition on the owner.
constexpr std::size_t max_jobs_per_write = (platform::max_transaction_entries - 1) / entries_per_job;
/// Most transactions in flight. Several, so that one without an answer does not delay the others for its
/// timeout; limited, so that a full inbox does not use up the store's rate at once.
constexpr std::size_t max_writes_in_flight = 4;
constexpr milliseconds write_retry = 300ms;

} // namespace

void pool_task::process_inbox_cancel(const platform::store_item& item) {
    if (item.deleted) {
        return;
    }
    if (m_ownership_lost) {
        m_unresolved_inbox_cancels.push_back(item); // Retried once a new claim by this node has succeeded.
        return;
    }
    cancel_job(item.key.substr(cancel_key(m_pool, "").size()), [this, item](const peer_answer& answer) {
        if (outcome_of(answer) == peer_outcome::ok) {
            remove_from_inbox(item.key);
        } else {
            m_unresolved_inbox_cancels.push_back(item); // The job's submit may still be in flight.
        }
    });
}

/// Registers a job from the inbox. From then on the owner answers requests about the job, also before it has
/// stored the job's record.
void pool_task::process_inbox_submit(const platform::store_item& item) {
    if (item.deleted) {
        return;
    }
    const std::string job = item.key.substr(submit_key(m_pool, "").size());
    const auto record = decode_archive<jobs::job_record>(item.value);
    if (!record) {
        log_event(event_id::run_noted, {{"what", "inbox-damaged"}, {"key", item.key}});
        remove_from_inbox(item.key);
        return;
    }
    // The acceptance was already reported to the client, so the job is taken regardless of the load.
    log_event(event_id::submit_accepted, {{"pool", m_pool}, {"job", job}, {"by", "inbox"}});
    // An item whose transfer is in flight stays unchanged: its transaction is conditional on the revision
    // that was read.
    m_inbox_jobs.try_emplace(job, inbox_job{record.value(), item.key, item.revision, false});
    m_inbox_timer->start(0ms); // Jobs that are read together are transferred together.
}

/// Moves jobs from the inbox to job records, several per transaction. With one transaction per job, a full
/// inbox costs a busy owner and the store's rate more than the jobs themselves, and takes seconds to empty.
void pool_task::transfer_inbox_jobs() {
    while (!m_ownership_lost && m_inbox_writes_in_flight < max_writes_in_flight) {
        const std::vector<std::string> batch = select_inbox_jobs();
        if (batch.empty()) {
            return;
        }
        platform::store_transaction change;
        change.conditions.push_back(owner_condition());
        for (const std::string& job : batch) {
            inbox_job& item = m_inbox_jobs.at(job);
            item.writing = true;
            // A write that is executed late must not restore a job that has ended since.
            change.conditions.push_back({item.key, item.revision});
            change.writes.push_back({job_prefix(m_pool) + job, encode_archive(item.record), 0});
            change.removals.push_back(item.key);
        }
        ++m_inbox_writes_in_flight;
        m_context.store.commit(change,
                               [this, batch, token = m_ownership.token,
                                alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
                                   if (!alive.expired()) {
                                       on_inbox_jobs_written(batch, answer, token);
                                   }
                               });
    }
}

/// Selects the next jobs to transfer. Jobs that also arrived through a submit are only removed from the
/// inbox. A job whose record is being written for such a submit waits for that write; otherwise it could end
/// before the transfer writes its record again.
std::vector<std::string> pool_task::select_inbox_jobs() {
    std::vector<std::string> batch;
    for (auto position = m_inbox_jobs.begin();
         position != m_inbox_jobs.end() && batch.size() < max_jobs_per_write;) {
        const auto& [job, item] = *position;
        if (item.writing || m_submitting.contains(job)) {
            ++position;
        } else if (m_scheduler.has_job(job) || m_ended.contains(job)) {
            remove_from_inbox(item.key);
            position = m_inbox_jobs.erase(position);
        } else {
            batch.push_back(job);
            ++position;
        }
    }
    return batch;
}

void pool_task::on_inbox_jobs_written(const std::vector<std::string>& batch,
                                      const platform::store_answer& answer, std::int64_t token) {
    --m_inbox_writes_in_flight;
    const bool conflict = answer.status == platform::store_status::conflict;
    const bool is_still_owner = conflict && revision_of(answer, owner_prefix + m_ownership.duty) == token;
    if (conflict && !is_still_owner) {
        on_ownership_lost("inbox", token);
    }
    bool all_transferred = true;
    for (const std::string& job : batch) {
        const auto found = m_inbox_jobs.find(job);
        if (found == m_inbox_jobs.end()) {
            continue;
        }
        inbox_job& item = found->second;
        // Only the owner removes requests, so an earlier write of this node was executed.
        const bool carried_out = is_still_owner && revision_of(answer, item.key) != item.revision;
        if (answer.status == platform::store_status::ok || carried_out) {
            m_restored_jobs.insert(job);
            add_job(item.record, accepted_at(item.record.accepted_ms));
            m_inbox_jobs.erase(found);
        } else {
            // Also after a conflict: the write may have been sent under a token that a new claim by this node
            // has replaced, and no other node would transfer the job before the next owner.
            item.writing = false;
            all_transferred = false;
        }
    }
    m_inbox_timer->start(all_transferred ? 0ms : write_retry);
    schedule_decision();
}

void pool_task::add_job(const jobs::job_record& record, timestamp accepted) {
    const std::string& job = record.spec.id;
    if (!m_scheduler.has_job(job) && !m_ended.contains(job)) {
        m_scheduler.add_job(record, accepted);
    }
    if (m_inbox_cancels.items().contains(cancel_key(m_pool, job))) {
        // The cancellation was read before the job's submit was stored and found no job. It has to take
        // effect before any task of the job starts.
        m_scheduler.cancel(job, event_loop::now());
    }
}

std::size_t pool_task::count_waiting_in_inbox(const std::string& queue) const {
    return static_cast<std::size_t>(std::ranges::count_if(m_inbox_jobs, [&](const auto& item) {
        const auto& [job, left] = item;
        return left.record.spec.queue == queue && !m_scheduler.has_job(job) && !m_ended.contains(job);
    }));
}

milliseconds pool_task::inbox_age() const {
    return event_loop::now() - m_inbox.complete_until();
}

void pool_task::remove_from_inbox(const std::string& key) {
    platform::store_transaction change;
    change.conditions.push_back(owner_condition());
    change.removals.push_back(key);
    m_context.store.commit(change, [](const platform::store_answer&) {});
}

} // namespace siskinpaddle::node
