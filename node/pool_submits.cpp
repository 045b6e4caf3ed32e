#include "node/pool_task.hpp"

#include "node/job_lookup.hpp"
#include "node/keys.hpp"
#include "node/store_health.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// Transaction entries for the acceptance of one job: two writes and a condition, or the reverse.
constexpr std::size_t entries_per_job = 3;
/// Transaction entries for the pool's record.
constexpr std::size_t pool_record_entries = 2;
/// Most jobs accepted by one transaction, besides its condition on the owner and the pool's record.
constexpr std::size_t max_submits_per_write =
    (platform::max_transaction_entries - 1 - pool_record_entries) / entries_per_job;
constexpr milliseconds submit_retry = 120ms;
/// Short, since the length of an outage is unknown: a client that retries right after the outage can still be
/// served within an objective of two seconds.
constexpr milliseconds retry_after_outage = 1s;

} // namespace

/// Answers a submit or an admission query for a job that is known, or that can't be accepted. Returns false
/// if the job is to be accepted.
bool pool_task::answer_without_accepting(const peer_request& request, const reply& done) {
    const std::string& id = request.spec.id;
    if (belongs_to_other_account(id, request.account)) {
        done(make_answer(peer_outcome::id_in_use));
        return true;
    }
    // Includes jobs that are still in the inbox: treated as new, a repeat of an accepted job could be refused
    // for load.
    if (m_scheduler.has_job(id) || m_ended.contains(id) || m_inbox_jobs.contains(id)) {
        done(make_answer(peer_outcome::ok));
        return true;
    }
    if (m_submitting.contains(id)) {
        if (store_is_unresponsive(m_context.store, event_loop::now())) {
            done(make_answer(peer_outcome::unknown));
        } else {
            m_repeated_submits.emplace(id, done);
        }
        return true;
    }
    if (store_is_failing(m_context.store, event_loop::now())) {
        peer_answer answer = make_answer(peer_outcome::unavailable);
        answer.retry_after_ms = retry_after_outage.count();
        log_event(event_id::submit_refused, {{"pool", m_pool}, {"job", id}, {"why", "store"}});
        done(answer);
        return true;
    }
    if (const findings problems = check_account_limit(request); !problems.empty()) {
        log_event(event_id::submit_refused, {{"pool", m_pool},
                                             {"job", id},
                                             {"why", "account-limit"},
                                             {"account", request.account},
                                             {"place", problems.items().front().location}});
        done(make_answer(peer_outcome::over_limit));
        return true;
    }
    m_scheduler.record_job_arrival(request.spec, event_loop::now());
    const jobs::admission_verdict verdict = m_scheduler.check_admission(request.spec, request.account);
    const std::int64_t waiting_ms = verdict.queue_time.count();
    if (!verdict.accepted) {
        peer_answer answer = make_answer(peer_outcome::overloaded);
        answer.retry_after_ms = verdict.retry_after.count();
        answer.inbox_age_ms = inbox_age().count();
        log_event(event_id::submit_refused, {{"pool", m_pool},
                                             {"job", id},
                                             {"why", "load"},
                                             {"account", request.account.empty() ? "-" : request.account},
                                             {"inbox_age_ms", answer.inbox_age_ms},
                                             {"waiting_ms", waiting_ms},
                                             {"retry_after_ms", verdict.retry_after.count()}});
        done(answer);
        return true;
    }
    return false;
}

void pool_task::query_admission(const peer_request& request, const reply& done) {
    if (!answer_without_accepting(request, done)) {
        done(make_answer(peer_outcome::admissible));
    }
}

void pool_task::submit(const peer_request& request, const reply& done) {
    if (answer_without_accepting(request, done)) {
        return;
    }
    const std::string& id = request.spec.id;
    const std::int64_t waiting_ms = m_scheduler.load().queue_wait().count();
    log_event(event_id::submit_accepted, {{"pool", m_pool},
                                          {"job", id},
                                          {"account", request.account.empty() ? "-" : request.account},
                                          {"waiting_ms", waiting_ms}});
    m_submitting.emplace(id, request.account);
    m_submits.push_back({{request.spec, wall_clock_ms(), request.account}, done});
    if (!m_writing_submits) {
        write_submits();
    }
}

void pool_task::write_submits() {
    if (m_ownership_lost || m_writing_submits) {
        return;
    }
    std::vector<waiting_submit> batch;
    platform::store_transaction change;
    change.conditions.push_back(owner_condition());
    const auto batch_end =
        m_submits.begin() + static_cast<std::ptrdiff_t>(std::min(max_submits_per_write, m_submits.size()));
    for (auto waiting = m_submits.begin(); waiting != batch_end; ++waiting) {
        add_submit(change, *waiting);
        batch.push_back(std::move(*waiting));
    }
    m_submits.erase(m_submits.begin(), batch_end);
    if (batch.empty()) {
        return;
    }
    m_writing_submits = true;
    m_sent_submits = std::move(batch);
    const pool_record_update record = add_pool_record(change);
    m_context.store.commit(change, [this, record, token = m_ownership.token,
                                    alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
        if (!alive.expired()) {
            take_pool_record(record, answer);
            on_submits_written(std::exchange(m_sent_submits, {}), answer, token);
        }
    });
}

/// Adds to the transaction that accepts the sent submits that the pool's record names their queues.
pool_record_update pool_task::add_pool_record(platform::store_transaction& change) const {
    std::set<std::string> queues;
    for (const waiting_submit& item : m_sent_submits) {
        queues.insert(item.record.spec.queue);
    }
    pool_record_update record =
        m_context.records.update_for(m_pool, queues, m_context.configuration.current());
    if (record) {
        change.conditions.push_back({pool_record_key(m_pool), m_context.records.find(m_pool).revision});
        change.writes.push_back({pool_record_key(m_pool), encode_archive(*record), 0});
    }
    return record;
}

/// Takes the answer to a transaction that was to write the pool's record, if it was.
void pool_task::take_pool_record(const pool_record_update& record, const platform::store_answer& answer) {
    if (record && answer.status == platform::store_status::ok) {
        m_context.records.set(m_pool, *record, answer.revision);
    } else if (record && answer.status == platform::store_status::conflict) {
        m_context.records.renew(m_pool, answer);
    }
}

jobs::job_place pool_task::place_of(const jobs::job_record& record) const {
    const jobs::queue_settings* queue = m_context.configuration.current().find_queue(record.spec.queue);
    return {m_pool, record.spec.queue, queue == nullptr ? 0 : jobs::address_of(*queue), record.account};
}

/// Adds the acceptance of a job to a transaction. The job is accepted only once in the deployment: its place
/// must not exist yet, or must still be the one that was found in this pool.
void pool_task::add_submit(platform::store_transaction& change, const waiting_submit& item) const {
    const std::string& id = item.record.spec.id;
    change.conditions.push_back({place_key(id), item.place_revision});
    if (item.place_revision == 0) {
        change.writes.push_back(place_write(id, place_of(item.record)));
    } else {
        // The job was accepted through another write. A write that is executed late must not restore the
        // record of a job that has ended; until the job ends, writing its record again changes nothing.
        change.conditions.push_back({progress_prefix(m_pool) + id, 0});
    }
    change.writes.push_back({job_prefix(m_pool) + id, encode_archive(item.record), 0});
}

void pool_task::answer_stalled_submits() {
    if (m_submitting.empty() || !store_is_unresponsive(m_context.store, event_loop::now())) {
        return;
    }
    for (waiting_submit& item : m_sent_submits) {
        m_unconfirmed_submits.emplace(item.record.spec.id, item.record.spec.queue);
    }
    for (auto* list : {&m_sent_submits, &m_submits}) {
        for (waiting_submit& item : *list) {
            const std::string& id = item.record.spec.id;
            if (m_unconfirmed_submits.contains(id)) {
                answer_submit(id, std::exchange(item.done, [](const peer_answer&) {}), peer_outcome::unknown);
            } else {
                log_event(event_id::submit_refused, {{"pool", m_pool}, {"job", id}, {"why", "store"}});
                finish_submit(id, item.done, peer_outcome::unavailable);
            }
        }
    }
    std::erase_if(m_submits, [this](const waiting_submit& item) {
        return !m_unconfirmed_submits.contains(item.record.spec.id);
    });
}

void pool_task::finish_submit(const std::string& job, const reply& done, peer_outcome outcome) {
    m_submitting.erase(job);
    m_unconfirmed_submits.erase(job);
    answer_submit(job, done, outcome);
}

void pool_task::answer_submit(const std::string& job, const reply& done, peer_outcome outcome) {
    done(make_answer(outcome));
    const auto [first, last] = m_repeated_submits.equal_range(job);
    for (auto item = first; item != last; ++item) {
        item->second(make_answer(outcome));
    }
    m_repeated_submits.erase(first, last);
}

bool pool_task::has_unconfirmed_submit(const std::vector<waiting_submit>& batch) const {
    return std::ranges::any_of(batch, [this](const waiting_submit& item) {
        return m_unconfirmed_submits.contains(item.record.spec.id);
    });
}

void pool_task::on_submits_written(std::vector<waiting_submit> batch, const platform::store_answer& answer,
                                   std::int64_t token) {
    m_writing_submits = false;
    const bool stored = answer.status == platform::store_status::ok;
    const bool conflict = answer.status == platform::store_status::conflict;
    const bool unanswered = answer.status == platform::store_status::unknown;
    if (conflict && revision_of(answer, owner_prefix + m_ownership.duty) != token) {
        on_ownership_lost("submit", token);
    }
    if (stored) {
        for (const waiting_submit& item : batch) {
            on_submit_stored(item);
        }
        schedule_decision();
    } else if (m_ownership_lost) {
        keep_unconfirmed_submits(std::move(batch), unanswered);
    } else if (conflict) {
        // An earlier write was executed, another pool has a job, or the token is one that a new claim by this
        // node has replaced.
        const bool found_jobs = std::ranges::any_of(batch, [&](const waiting_submit& item) {
            return place_in(answer, item.record.spec.id).has_value();
        });
        std::erase_if(batch, [&](waiting_submit& item) {
            return finish_if_progress_found(item, answer) || finish_if_placed(item, answer);
        });
        retry_submits(std::move(batch), found_jobs ? 0ms : submit_retry);
    } else if (unanswered || has_unconfirmed_submit(batch)) {
        // The write may still be executed, so a refusal could be wrong: the write is repeated until its
        // outcome is known.
        for (const waiting_submit& item : batch) {
            m_unconfirmed_submits.emplace(item.record.spec.id, item.record.spec.queue);
        }
        retry_submits(std::move(batch), submit_retry);
    } else {
        for (const waiting_submit& item : batch) {
            finish_submit(item.record.spec.id, item.done, peer_outcome::unavailable);
        }
    }
    // Jobs that are in the inbox as well were skipped there until now.
    m_inbox_timer->start(0ms);
    write_submits();
}

void pool_task::on_submit_stored(const waiting_submit& item) {
    add_job(item.record, event_loop::now());
    finish_submit(item.record.spec.id, item.done, peer_outcome::ok);
}

bool pool_task::finish_if_progress_found(const waiting_submit& item, const platform::store_answer& answer) {
    const std::string& id = item.record.spec.id;
    const auto found =
        std::ranges::find(answer.items, progress_prefix(m_pool) + id, &platform::store_item::key);
    if (found == answer.items.end()) {
        return false;
    }
    // Progress of a job that is not in the scheduler belongs to a job that has ended, as at a takeover.
    const auto progress = decode_archive<jobs::job_progress>(found->value);
    if (progress && !m_scheduler.has_job(id)) {
        m_ended.try_emplace(id,
                            ended_job{progress.value().phase, progress.value().account, event_loop::now()});
    }
    finish_submit(id, item.done, peer_outcome::ok);
    return true;
}

/// Finishes the submit and returns true if the answer to its refused write says that another pool has the
/// job, or that the id is that of another job. If this pool has the job, the submit is to be repeated for its
/// place.
bool pool_task::finish_if_placed(waiting_submit& item, const platform::store_answer& answer) {
    const std::string& id = item.record.spec.id;
    const auto place = place_in(answer, id);
    item.place_revision = revision_of(answer, place_key(id));
    if (!place) {
        return false;
    }
    const jobs::job_place own = place_of(item.record);
    const bool is_same_job = jobs::is_job_of_queue(*place, own.queue, own.address) &&
                             jobs::may_access_job(place->account, own.account);
    if (is_same_job && place->pool == m_pool) {
        return false; // Repeated for the place as it is.
    }
    log_event(event_id::submit_repeated, {{"pool", m_pool},
                                          {"job", id},
                                          {"found_in", place->pool},
                                          {"queue", place->queue},
                                          {"same_job", static_cast<int>(is_same_job)}});
    finish_submit(id, item.done, is_same_job ? peer_outcome::ok : peer_outcome::id_in_use);
    return true;
}

void pool_task::retry_submits(std::vector<waiting_submit> batch, milliseconds delay) {
    m_submits.insert(m_submits.begin(), std::make_move_iterator(batch.begin()),
                     std::make_move_iterator(batch.end()));
    m_submit_timer->start(delay);
    m_writing_submits = true;
}

/// Handles the loss of the ownership: jobs that are confirmed as not stored are refused. A job that may be
/// stored is kept, and written again if this node claims the pool again: the task then continues without
/// reading the stored jobs, so a job that it had dropped would be lost.
void pool_task::keep_unconfirmed_submits(std::vector<waiting_submit> batch, bool unanswered) {
    for (waiting_submit& item : batch) {
        const std::string& id = item.record.spec.id;
        if (!unanswered && !m_unconfirmed_submits.contains(id)) {
            finish_submit(id, item.done, peer_outcome::unavailable);
            continue;
        }
        log_event(event_id::submit_unknown, {{"pool", m_pool}, {"job", id}, {"token", m_ownership.token}});
        m_unconfirmed_submits.emplace(id, item.record.spec.queue);
        answer_submit(id, std::exchange(item.done, [](const peer_answer&) {}), peer_outcome::unknown);
        m_submits.push_back(std::move(item));
    }
}

} // namespace siskinpaddle::node
