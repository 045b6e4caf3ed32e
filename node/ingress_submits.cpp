#include "node/ingress_task.hpp"

#include "node/job_lookup.hpp"
#include "node/keys.hpp"
#include "node/store_health.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// A pool counts as overloaded for this long after a refusal, which is the time to replace a dead owner.
constexpr milliseconds overload_ttl = 2s;
/// A write without an answer may be executed for this long: seconds after the store's timeout.
constexpr milliseconds unsettled_ttl = 5s;
/// Limits change rarely.
constexpr milliseconds retry_after_over_limit = 60s;

} // namespace

void ingress_task::handle_submit(client_context& client) {
    const std::string_view body = client.request->body();
    findings problems;
    client.spec = platform::decode_job(body, client.call.job, client.call.queue, problems);
    if (body.size() > m_context.configuration.current().max_body_bytes) {
        if (!m_context.configuration.is_confirmed(event_loop::now())) {
            confirm_configuration(client);
            return;
        }
        problems.add("/", "body exceeds the configured max_body_bytes");
    }
    if (problems.empty()) {
        submit_to_owner(client);
        return;
    }
    log_event(event_id::client_refused, {{"job", client.call.job},
                                         {"why", "invalid"},
                                         {"place", problems.items().front().location},
                                         {"problem", problems.items().front().message}});
    platform::answer_invalid(*client.request, problems.to_string());
}

/// Sends the job to the owner of its pool. While the owner refuses jobs, it is asked without the payload
/// first: refused submits could fill its link, and the reports of its VMs and the renewals of its claim would
/// wait behind them. Otherwise the job is sent at once, which takes one round trip less.
void ingress_task::submit_to_owner(const client_context& client) {
    const bool asks_first = recent_overload(client.call.pool) != nullptr;
    peer_request message =
        make_request(asks_first ? peer_request_kind::admission_query : peer_request_kind::submit, client);
    message.spec = client.spec;
    if (!asks_first) {
        send_to_owner(client, message, &ingress_task::submit_answered);
        return;
    }
    message.spec.payload.clear();
    send_to_owner(client, message, &ingress_task::admission_answered);
}

void ingress_task::admission_answered(const client_context& client, const peer_answer& answer) {
    if (outcome_of(answer) == peer_outcome::unanswered) {
        // The query stored nothing, so the job can be refused. Through the inbox it would be accepted without
        // admission, by a pool whose owner refuses jobs and is too busy to answer.
        refuse_unless_stored(client, [this, client, wait = m_overloads[client.call.pool].retry_after] {
            refuse_overloaded(client, wait);
        });
        return;
    }
    if (outcome_of(answer) != peer_outcome::admissible) {
        submit_answered(client, answer);
        return;
    }
    peer_request message = make_request(peer_request_kind::submit, client);
    message.spec = client.spec;
    send_to_owner(client, message, &ingress_task::submit_answered);
}

void ingress_task::submit_answered(const client_context& client, const peer_answer& answer) {
    switch (outcome_of(answer)) {
    case peer_outcome::ok:
        observe(client, "ok");
        platform::answer_accepted(*client.request);
        return;
    case peer_outcome::id_in_use:
        observe(client, "id_in_use");
        platform::answer_id_in_use(*client.request);
        return;
    case peer_outcome::over_limit:
        refuse_over_limit(client);
        return;
    case peer_outcome::overloaded:
        m_overloads[client.call.pool] = {event_loop::now(), milliseconds(answer.retry_after_ms)};
        refuse_for_load(client, answer);
        return;
    default:
        submit_through_store(client, outcome_of(answer) == peer_outcome::unknown ||
                                         outcome_of(answer) == peer_outcome::unanswered);
        return;
    }
}

/// Returns the pool's overload refusal if it is recent, else null. Guards against an owner that is
/// unresponsive because it is overloaded: jobs that are then stored in its inbox are accepted without its
/// admission control, hundreds of jobs a second for which there is no free capacity.
const ingress_task::overload* ingress_task::recent_overload(const std::string& pool) const {
    const auto found = m_overloads.find(pool);
    const bool recent =
        found != m_overloads.end() && event_loop::now() - found->second.refused_at <= overload_ttl;
    return recent ? &found->second : nullptr;
}

void ingress_task::refuse_overloaded(const client_context& client, milliseconds retry_after) {
    observe(client, "overloaded");
    platform::answer_overloaded(*client.request, retry_after);
}

/// Reports that the job is not accepted. An owner whose copy of the inbox is old may have refused a repeated
/// submit of a job that is stored in the inbox and will run; in that case the store is read first.
void ingress_task::refuse_for_load(const client_context& client, const peer_answer& answer) {
    const milliseconds retry_after(answer.retry_after_ms);
    if (milliseconds(answer.inbox_age_ms) <= jobs::max_count_age && !may_be_in_other_pool(client)) {
        refuse_overloaded(client, retry_after);
        return;
    }
    if (client.owner_checks_key) {
        report_unknown_outcome(client, "key-unconfirmed");
        return;
    }
    refuse_unless_stored(client, [this, client, retry_after] { refuse_overloaded(client, retry_after); });
}

void ingress_task::refuse_over_limit(const client_context& client) {
    const auto refusal = [this, client] {
        observe(client, "over_limit");
        platform::answer_over_limit(*client.request, "needs more than the account's limit",
                                    retry_after_over_limit);
    };
    if (may_be_in_other_pool(client)) {
        refuse_unless_stored(client, refusal);
    } else {
        refusal();
    }
}

/// Whether a pool that the call's owner knows nothing about may have accepted the job.
bool ingress_task::may_be_in_other_pool(const client_context& client) const {
    return !m_context.records.other_pools_of(client.call.queue, client.call.pool).empty();
}

/// A previous attempt to submit the same job may have been accepted although its client got no answer.
void ingress_task::refuse_unless_stored(const client_context& client, const std::function<void()>& refusal) {
    look_up_place(m_context.store, client.call.job,
                  [this, client, refusal, alive = m_lifetime.weak_token()](const place_answer& found) {
                      if (alive.expired()) {
                          return;
                      }
                      if (!found.store_reached) {
                          report_unknown_outcome(client, "store");
                      } else if (found.place) {
                          answer_placed_submit(client, *found.place);
                      } else {
                          refuse_unless_in_pool(client, refusal);
                      }
                  });
}

/// Answers a submit for an id whose job is stored.
void ingress_task::answer_placed_submit(const client_context& client, const jobs::job_place& place) {
    if (is_job_of_client(client, place)) {
        observe(client, "ok");
        platform::answer_accepted(*client.request);
    } else {
        observe(client, "id_in_use");
        platform::answer_id_in_use(*client.request);
    }
}

/// Versions of the program without places store only the job.
void ingress_task::refuse_unless_in_pool(const client_context& client, const std::function<void()>& refusal) {
    look_up_job(m_context.store, client.call.pool, client.call.job,
                [this, client, refusal, alive = m_lifetime.weak_token()](const lookup_answer& found) {
                    if (alive.expired()) {
                        return;
                    }
                    if (!found.store_reached) {
                        report_unknown_outcome(client, "store");
                    } else if (found.has_job_for(client.account)) {
                        observe(client, "ok");
                        platform::answer_accepted(*client.request);
                    } else if (is_unsettled(client.call.job)) {
                        report_unknown_outcome(client, "unsettled");
                    } else {
                        refusal();
                    }
                });
}

/// Whether this node has reported the outcome of an attempt as unknown: a write of the job may be executed
/// later than a read of the store.
bool ingress_task::is_unsettled(const std::string& job) const {
    const auto found = m_unsettled_jobs.find(job);
    return found != m_unsettled_jobs.end() && event_loop::now() - found->second <= unsettled_ttl;
}

/// Refuses a job that could not be stored, unless it may be stored already: it would then run although its
/// client was told that it never does.
void ingress_task::refuse_unless_unsettled(const client_context& client, bool may_be_stored) {
    if (may_be_stored || is_unsettled(client.call.job)) {
        report_unknown_outcome(client, "store");
    } else {
        refuse(client, "store", retry_after_no_owner);
    }
}

/// Stores the job in the inbox, where the pool's next owner finds it. `may_be_stored`: the owner may have
/// accepted the job, so a refusal could be wrong.
void ingress_task::submit_through_store(const client_context& client, bool may_be_stored) {
    if (store_is_failing(m_context.store, event_loop::now())) {
        refuse_unless_unsettled(client, may_be_stored);
        return;
    }
    const overload* recent = recent_overload(client.call.pool);
    if (recent != nullptr && !may_be_stored) {
        refuse_unless_stored(client,
                             [this, client, wait = recent->retry_after] { refuse_overloaded(client, wait); });
        return;
    }
    write_to_inbox(client, may_be_stored);
}

/// `record`: the pool's record if it has to be written, too.
platform::store_transaction ingress_task::inbox_transaction(const client_context& client,
                                                            const pool_record_update& record) const {
    const std::string& id = client.call.job;
    const std::string& pool = client.call.pool;
    platform::store_transaction change;
    for (const std::string& key :
         {submit_key(pool, id), job_prefix(pool) + id, progress_prefix(pool) + id, place_key(id)}) {
        change.conditions.push_back({key, 0});
    }
    // Also if the record is not written: its owner may have just removed it, with nothing left in the pool.
    change.conditions.push_back({pool_record_key(pool), m_context.records.find(pool).revision});
    const jobs::job_record job{client.spec, wall_clock_ms(), client.account};
    change.writes.push_back({submit_key(pool, id), encode_archive(job), 0});
    change.writes.push_back(place_write(id, {pool, client.call.queue, client.address, client.account}));
    if (record) {
        change.writes.push_back({pool_record_key(pool), encode_archive(*record), 0});
    }
    return change;
}

/// Takes the pool's record from the answer to a refused write. Returns whether the record is the only reason:
/// none of the job's items exists, and the write can be repeated with the record as it is now.
bool ingress_task::renew_pool_record(const std::string& pool, const platform::store_answer& answer) {
    m_context.records.renew(pool, answer);
    return std::ranges::all_of(answer.items,
                               [&](const auto& item) { return item.key == pool_record_key(pool); });
}

void ingress_task::write_to_inbox(const client_context& client, bool may_be_stored) {
    const std::uint64_t write_id = m_next_write_id++;
    m_inbox_writes.emplace(write_id, inbox_write{client, event_loop::now()});
    const pool_record_update record = m_context.records.update_for(client.call.pool, {client.call.queue},
                                                                   m_context.configuration.current());
    m_context.store.commit(inbox_transaction(client, record),
                           [this, client, may_be_stored, write_id, record,
                            alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
                               if (alive.expired()) {
                                   return;
                               }
                               if (record && answer.status == platform::store_status::ok) {
                                   m_context.records.set(client.call.pool, *record, answer.revision);
                               }
                               const bool is_reported = m_inbox_writes.erase(write_id) == 0;
                               if (!is_reported) {
                                   on_inbox_written(client, may_be_stored, answer);
                               }
                           });
}

void ingress_task::on_inbox_written(const client_context& client, bool may_be_stored,
                                    const platform::store_answer& answer) {
    const bool conflict = answer.status == platform::store_status::conflict;
    if (const auto place = place_in(answer, client.call.job)) {
        answer_placed_submit(client, *place);
    } else if (conflict && renew_pool_record(client.call.pool, answer)) {
        write_to_inbox(client, may_be_stored);
    } else if (conflict || answer.status == platform::store_status::ok) {
        observe(client, "ok_by_store");
        platform::answer_accepted(*client.request);
    } else if (answer.status == platform::store_status::refused) {
        refuse_unless_unsettled(client, may_be_stored);
    } else {
        report_unknown_outcome(client, "store");
    }
}

void ingress_task::answer_stalled_submits() {
    const timestamp now = event_loop::now();
    std::erase_if(m_unsettled_jobs, [now](const auto& item) { return now - item.second > unsettled_ttl; });
    if (!store_is_unresponsive(m_context.store, now)) {
        return;
    }
    std::erase_if(m_inbox_writes, [&](const auto& item) {
        if (now - item.second.sent_at < store_unresponsive_after) {
            return false;
        }
        report_unknown_outcome(item.second.client, "store");
        return true;
    });
}

} // namespace siskinpaddle::node
