#include "node/pool_task.hpp"

#include "node/job_lookup.hpp"
#include "node/keys.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// A condition and a write for each job, besides the condition on the owner.
constexpr std::size_t max_jobs_per_placing = (platform::max_transaction_entries - 1) / 2;

} // namespace

/// The queues that have jobs here or had until recently: an ended job is still asked for, and may be
/// submitted again.
std::set<std::string> pool_task::queues_in_use(timestamp now) {
    std::set<std::string> with_jobs = m_scheduler.queues_of_jobs();
    for (const auto& [job, item] : m_inbox_jobs) {
        with_jobs.insert(item.record.spec.queue);
    }
    for (const auto* list : {&m_submits, &m_sent_submits}) {
        for (const waiting_submit& item : *list) {
            with_jobs.insert(item.record.spec.queue);
        }
    }
    for (const std::string& queue : with_jobs) {
        m_queues_used_at[queue] = now;
    }
    for (const jobs::queue_settings& queue : m_context.records.find(m_pool).record.queues) {
        m_queues_used_at.try_emplace(queue.name, now);
    }
    std::set<std::string> result;
    for (const auto& [queue, used_at] : m_queues_used_at) {
        if (now - used_at <= m_context.settings.ended_job_retention) {
            result.insert(queue);
        }
    }
    return result;
}

bool pool_task::has_jobs() const {
    return m_scheduler.job_count() > 0 || !m_ended.empty() || !m_inbox_jobs.empty() || !m_submitting.empty();
}

/// Updates the pool's record: settings that a version has changed, queues that have no jobs here any more,
/// and jobs that were accepted without a record. Removes it when the pool has nothing left.
void pool_task::review_pool_record(timestamp now) {
    if (!m_ready || m_ownership_lost || m_writing_pool_record) {
        return;
    }
    m_pool_record_reviewed_at = now;
    const pool_records::stored_record& stored = m_context.records.find(m_pool);
    const jobs::pool_record wanted = jobs::revise_pool_record(
        stored.record, m_context.configuration.current(), m_pool, queues_in_use(now));
    std::erase_if(m_queues_used_at, [&](const auto& item) { return wanted.find(item.first) == nullptr; });
    const bool is_needed = has_jobs() || !wanted.queues.empty();
    const bool is_stored = stored.revision != 0;
    if (!is_needed && is_stored) {
        write_pool_record({});
    } else if (is_needed && (!is_stored || wanted != stored.record)) {
        write_pool_record(wanted);
    }
}

/// Replaces the stored record, or removes it if there is none to replace it.
void pool_task::write_pool_record(const pool_record_update& record) {
    m_writing_pool_record = true;
    platform::store_transaction change;
    change.conditions.push_back(owner_condition());
    change.conditions.push_back({pool_record_key(m_pool), m_context.records.find(m_pool).revision});
    if (record) {
        change.writes.push_back({pool_record_key(m_pool), encode_archive(*record), 0});
    } else {
        change.removals.push_back(pool_record_key(m_pool));
    }
    m_context.store.commit(change, [this, record, token = m_ownership.token,
                                    alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
        if (alive.expired()) {
            return;
        }
        m_writing_pool_record = false;
        if (answer.status == platform::store_status::ok) {
            log_event(event_id::pool_record_stored, {{"pool", m_pool},
                                                     {"queues", record ? record->queues.size() : 0},
                                                     {"kept", static_cast<int>(record.has_value())}});
            m_context.records.set(m_pool, record, answer.revision);
        } else if (answer.status == platform::store_status::conflict) {
            if (revision_of(answer, owner_prefix + m_ownership.duty) != token) {
                on_ownership_lost("pool-record", token);
            }
            m_context.records.renew(m_pool, answer);
        }
    });
}

/// Selects restored jobs whose queue leads to another pool, or to none, so that they are found only by their
/// place. Forgets those that have left the scheduler.
std::vector<std::string> pool_task::select_jobs_to_place() {
    std::erase_if(m_restored_jobs, [this](const std::string& job) { return !m_scheduler.has_job(job); });
    std::map<std::string, bool> leads_here;
    std::vector<std::string> batch;
    for (const std::string& job : m_restored_jobs) {
        const std::string& queue = m_scheduler.find_job(job)->spec().queue;
        const auto [known, added] = leads_here.try_emplace(queue, false);
        if (added) {
            const jobs::queue_settings* current = m_context.configuration.current().find_queue(queue);
            known->second = current != nullptr && current->pool == m_pool;
        }
        if (!known->second && batch.size() < max_jobs_per_placing) {
            batch.push_back(job);
        }
    }
    return batch;
}

void pool_task::place_restored_jobs() {
    if (!m_ready || m_ownership_lost || m_placing_jobs || m_restored_jobs.empty()) {
        return;
    }
    const std::vector<std::string> batch = select_jobs_to_place();
    if (batch.empty()) {
        return;
    }
    m_placing_jobs = true;
    platform::store_transaction change;
    change.conditions.push_back(owner_condition());
    for (const std::string& id : batch) {
        const jobs::job_state& job = *m_scheduler.find_job(id);
        change.conditions.push_back({place_key(id), 0});
        change.writes.push_back(place_write(id, place_of({job.spec(), 0, job.account()})));
    }
    m_context.store.commit(change, [this, batch, token = m_ownership.token,
                                    alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
        if (!alive.expired()) {
            on_jobs_placed(batch, answer, token);
        }
    });
}

void pool_task::on_jobs_placed(const std::vector<std::string>& batch, const platform::store_answer& answer,
                               std::int64_t token) {
    m_placing_jobs = false;
    const bool conflict = answer.status == platform::store_status::conflict;
    if (conflict && revision_of(answer, owner_prefix + m_ownership.duty) != token) {
        on_ownership_lost("place", token);
    }
    std::size_t placed = 0;
    for (const std::string& job : batch) {
        if (answer.status == platform::store_status::ok || place_in(answer, job)) {
            placed += m_restored_jobs.erase(job);
        }
    }
    if (placed > 0) {
        place_restored_jobs();
    }
}

} // namespace siskinpaddle::node
