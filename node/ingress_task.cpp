#include "node/ingress_task.hpp"

#include "node/keys.hpp"

#include "node/job_lookup.hpp"
#include "node/store_health.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// An owner answers within a few milliseconds plus one write to the store. If the owner is frozen or cut off,
/// the fallback through the store must still fit into the client's deadline of about three seconds.
constexpr milliseconds owner_timeout = 900ms;
/// Sent while no node can accept the job; an owner is replaced in about three seconds.
constexpr milliseconds retry_after_no_owner = 1s;
constexpr milliseconds retry_after_unavailable = 1s;
/// Limits change rarely.
constexpr milliseconds retry_after_over_limit = 60s;
/// An owner that did not answer gets no requests for this long; the store is used at once instead.
constexpr milliseconds unresponsive_owner_pause = 1s;
/// A pool counts as overloaded for this long after a refusal, which is the time to replace a dead owner.
constexpr milliseconds overload_ttl = 2s;
/// Above the largest body that a configuration allows so far; the configured limit is checked per call.
constexpr std::size_t max_request_body = 1U << 20U;

} // namespace

ingress_task::ingress_task(context dependencies, local_handler local)
    : m_context(dependencies), m_local_handler(std::move(local)),
      m_server(dependencies.loop, {.max_body = max_request_body},
               [this](const request_handle& request) { handle_request(request); }) {}

void ingress_task::handle_request(const request_handle& request) {
    if (!m_context.configuration.is_loaded()) {
        m_context.counters.increment("clients_without_configuration");
        platform::answer_unavailable(*request, retry_after_unavailable);
        return;
    }
    const jobs::fleet_configuration& configuration = m_context.configuration.current();
    client_context client{
        request, platform::decode_client_call(*request, configuration), {}, event_loop::now(), {}, false};
    const jobs::queue_settings* queue = configuration.find_queue(client.call.queue);
    if (queue == nullptr) {
        log_event(
            event_id::client_refused,
            {{"target", request->target()}, {"why", "no-queue"}, {"configuration", configuration.version}});
        platform::answer_no_queue(*request);
        return;
    }
    if (!admit_client(client, *queue)) {
        return;
    }
    switch (client.call.request) {
    case platform::client_request::submit:
        handle_submit(client);
        return;
    case platform::client_request::status:
        send_to_owner(client, make_request(peer_request_kind::status, client),
                      &ingress_task::status_answered);
        return;
    case platform::client_request::cancel:
        send_to_owner(client, make_request(peer_request_kind::cancel, client),
                      &ingress_task::cancel_answered);
        return;
    case platform::client_request::count:
        handle_count(client);
        return;
    case platform::client_request::invalid:
        platform::answer_no_queue(*request);
        return;
    }
}

/// Checks the API key of the call. If this node can't, the pool's owner does: it may reach the store while
/// this node does not.
bool ingress_task::admit_client(client_context& client, const jobs::queue_settings& queue) {
    const jobs::access_decision decision =
        jobs::check_access(m_context.configuration.current(), queue, client.call.key,
                           m_context.configuration.age(event_loop::now()), m_context.access);
    m_context.counters.increment("access_" + std::string(name_of(decision.verdict)));
    client.account = decision.account;
    client.owner_checks_key = decision.verdict == jobs::access_verdict::unconfirmed;
    if (decision.verdict == jobs::access_verdict::unauthorized) {
        refuse_unauthorized(client);
        return false;
    }
    return true;
}

void ingress_task::refuse_unauthorized(const client_context& client) {
    observe(client, "unauthorized");
    log_event(event_id::client_refused, {{"job", client.call.job},
                                         {"call", name_of(client.call.request)},
                                         {"why", client.call.key ? "key" : "no-key"},
                                         {"configuration", m_context.configuration.current().version}});
    platform::answer_unauthorized(*client.request);
}

peer_request ingress_task::make_request(peer_request_kind kind, const client_context& client) const {
    peer_request message;
    message.kind = static_cast<std::uint8_t>(kind);
    message.pool = client.call.pool;
    message.job = client.call.job;
    message.queue = client.call.queue;
    message.configuration_version = m_context.configuration.current().version;
    message.account = client.account;
    if (client.owner_checks_key && client.call.key) {
        message.unchecked_key.assign(client.call.key->begin(), client.call.key->end());
    }
    return message;
}

void ingress_task::handle_submit(client_context& client) {
    const std::string_view body = client.request->body();
    findings problems;
    client.spec = platform::decode_job(body, client.call.job, client.call.queue, problems);
    if (body.size() > m_context.configuration.current().max_body_bytes) {
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

void ingress_task::handle_count(const client_context& client) {
    const auto known = m_counts.find(client.call.queue);
    if (!client.owner_checks_key && known != m_counts.end() &&
        event_loop::now() - known->second.counted_at <= jobs::max_count_age) {
        send_count(client, known->second, "copy");
        return;
    }
    send_to_owner(client, make_request(peer_request_kind::count, client), &ingress_task::count_answered);
}

/// Answers a client whose API key is not valid, or could not be checked. Returns false if the answer has to
/// be passed on.
bool ingress_task::refuse_unchecked(const client_context& client, const peer_answer& answer) {
    switch (outcome_of(answer)) {
    case peer_outcome::unauthorized:
        refuse_unauthorized(client);
        return true;
    case peer_outcome::unconfirmed:
        refuse(client, "key-unconfirmed", retry_after_unavailable);
        return true;
    case peer_outcome::not_owner:
    case peer_outcome::unreachable:
        if (client.owner_checks_key) {
            refuse(client, "key-unconfirmed", retry_after_unavailable);
        }
        return client.owner_checks_key;
    case peer_outcome::unknown_job:
    case peer_outcome::unavailable:
        // What the store holds can't be shown to an account that only the owner knows.
        if (client.owner_checks_key) {
            refuse(client, "key-unconfirmed", retry_after_unavailable);
        }
        return client.owner_checks_key;
    case peer_outcome::unknown:
    case peer_outcome::unanswered:
        if (client.owner_checks_key) {
            report_unknown_outcome(client, "key-unconfirmed");
        }
        return client.owner_checks_key;
    default:
        return false;
    }
}

void ingress_task::send_to_owner(const client_context& client, const peer_request& message, handler next) {
    const auto handle_answer = [this, client, next,
                                alive = m_lifetime.weak_token()](const peer_answer& answer) {
        if (alive.expired()) {
            return;
        }
        m_context.configuration.record_peer_version(answer.configuration_version);
        if (!refuse_unchecked(client, answer)) {
            (this->*next)(client, answer);
        }
    };
    if (m_local_handler(message, handle_answer)) {
        return;
    }
    const auto owner = m_context.membership.owner_of(pool_duty(client.call.pool));
    if (!owner || owner->incarnation == m_context.membership.self().incarnation) {
        handle_answer(make_answer(peer_outcome::not_owner));
        return;
    }
    const auto unresponsive = m_unresponsive_owners.find(owner->incarnation);
    if (unresponsive != m_unresponsive_owners.end() && event_loop::now() < unresponsive->second) {
        handle_answer(make_answer(peer_outcome::not_owner));
        return;
    }
    const milliseconds timeout = std::min(owner_timeout, client.call.deadline / 2);
    m_context.peers.call({owner->address, owner->port}, message, timeout,
                         [this, handle_answer, owner = owner->incarnation,
                          alive = m_lifetime.weak_token()](const peer_answer& answer) {
                             if (!alive.expired()) {
                                 record_owner_response(owner, answer);
                                 handle_answer(answer);
                             }
                         });
}

/// Records whether an owner on another node responds. Otherwise a frozen or cut off owner would delay each
/// client by the whole timeout, one after the other.
void ingress_task::record_owner_response(const std::string& owner, const peer_answer& answer) {
    const timestamp now = event_loop::now();
    const peer_outcome outcome = outcome_of(answer);
    if (outcome == peer_outcome::unknown || outcome == peer_outcome::unanswered ||
        outcome == peer_outcome::unreachable) {
        m_unresponsive_owners[owner] = now + unresponsive_owner_pause;
        return;
    }
    m_unresponsive_owners.erase(owner);
    m_peer_reached_store_at = std::max(m_peer_reached_store_at, now - milliseconds(answer.store_age_ms));
}

void ingress_task::observe(const client_context& client, std::string_view outcome) {
    const std::string kind(name_of(client.call.request));
    m_context.counters.increment("clients_" + kind + "_" + std::string(outcome));
    m_context.counters.observe("client_" + kind,
                               static_cast<double>((event_loop::now() - client.received_at).count()));
}

void ingress_task::refuse(const client_context& client, std::string_view why, milliseconds retry_after) {
    observe(client, "refused");
    log_event(event_id::client_refused, {{"job", client.call.job},
                                         {"call", name_of(client.call.request)},
                                         {"why", why},
                                         {"after_ms", (event_loop::now() - client.received_at).count()}});
    platform::answer_unavailable(*client.request, retry_after);
}

void ingress_task::report_unknown_outcome(const client_context& client, std::string_view why) {
    observe(client, "unknown");
    log_event(event_id::client_unknown, {{"job", client.call.job},
                                         {"call", name_of(client.call.request)},
                                         {"why", why},
                                         {"after_ms", (event_loop::now() - client.received_at).count()}});
    platform::answer_unknown(*client.request);
}

// --- Submit ---

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
        refuse_unless_stored(client, m_overloads[client.call.pool].retry_after);
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
        observe(client, "over_limit");
        platform::answer_over_limit(*client.request, "needs more than the account's limit",
                                    retry_after_over_limit);
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
    if (milliseconds(answer.inbox_age_ms) <= jobs::max_count_age) {
        refuse_overloaded(client, retry_after);
        return;
    }
    if (client.owner_checks_key) {
        report_unknown_outcome(client, "key-unconfirmed");
        return;
    }
    refuse_unless_stored(client, retry_after);
}

/// A previous attempt to submit the same job may have been accepted although its client got no answer.
void ingress_task::refuse_unless_stored(const client_context& client, milliseconds retry_after) {
    look_up_job(m_context.store, client.call.pool, client.call.job,
                [this, client, retry_after, alive = m_lifetime.weak_token()](const lookup_answer& found) {
                    if (alive.expired()) {
                        return;
                    }
                    if (!found.store_reached) {
                        report_unknown_outcome(client, "store");
                    } else if (found.has_job_for(client.account)) {
                        observe(client, "ok");
                        platform::answer_accepted(*client.request);
                    } else {
                        refuse_overloaded(client, retry_after);
                    }
                });
}

/// Stores the job in the inbox, where the pool's next owner finds it. `may_be_stored`: the owner may have
/// accepted the job, so a refusal could be wrong.
void ingress_task::submit_through_store(const client_context& client, bool may_be_stored) {
    if (store_is_failing(m_context.store, event_loop::now())) {
        may_be_stored ? report_unknown_outcome(client, "store")
                      : refuse(client, "store", retry_after_no_owner);
        return;
    }
    const overload* recent = recent_overload(client.call.pool);
    if (recent != nullptr && !may_be_stored) {
        refuse_unless_stored(client, recent->retry_after);
        return;
    }
    const jobs::job_record record{client.spec, wall_clock_ms(), client.account};
    const std::string& id = client.call.job;
    platform::store_transaction change;
    change.conditions.push_back({submit_key(client.call.pool, id), 0});
    change.conditions.push_back({job_prefix(client.call.pool) + id, 0});
    change.conditions.push_back({progress_prefix(client.call.pool) + id, 0});
    change.writes.push_back({submit_key(client.call.pool, id), encode_archive(record), 0});
    const std::uint64_t write_id = m_next_write_id++;
    m_inbox_writes.emplace(write_id, inbox_write{client, event_loop::now()});
    m_context.store.commit(change, [this, client, may_be_stored, write_id,
                                    alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
        if (alive.expired() || m_inbox_writes.erase(write_id) == 0) {
            return; // The unknown outcome has already been reported.
        }
        if (answer.status == platform::store_status::ok ||
            answer.status == platform::store_status::conflict) {
            observe(client, "ok_by_store");
            platform::answer_accepted(*client.request);
        } else if (answer.status == platform::store_status::refused && !may_be_stored) {
            refuse(client, "store", retry_after_no_owner);
        } else {
            report_unknown_outcome(client, "store");
        }
    });
}

void ingress_task::answer_stalled_submits() {
    const timestamp now = event_loop::now();
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

// --- Status ---

void ingress_task::status_answered(const client_context& client, const peer_answer& answer) {
    if (outcome_of(answer) != peer_outcome::ok) {
        read_status_from_store(client);
        return;
    }
    observe(client, "ok");
    platform::answer_phase(*client.request, static_cast<jobs::job_phase>(answer.phase));
}

void ingress_task::read_status_from_store(const client_context& client) {
    if (store_is_failing(m_context.store, event_loop::now())) {
        refuse(client, "store", retry_after_no_owner);
        return;
    }
    look_up_job(m_context.store, client.call.pool, client.call.job,
                [this, client, alive = m_lifetime.weak_token()](const lookup_answer& answer) {
                    if (alive.expired()) {
                        return;
                    }
                    if (!answer.store_reached) {
                        refuse(client, "store", retry_after_unavailable);
                    } else if (answer.has_job_for(client.account)) {
                        observe(client, "ok_by_store");
                        platform::answer_phase(*client.request, *answer.phase);
                    } else {
                        observe(client, "no_job");
                        platform::answer_no_job(*client.request);
                    }
                });
}

// --- Cancel ---

void ingress_task::cancel_answered(const client_context& client, const peer_answer& answer) {
    if (outcome_of(answer) == peer_outcome::ok) {
        observe(client, "ok");
        platform::answer_accepted(*client.request);
        return;
    }
    look_up_job(m_context.store, client.call.pool, client.call.job,
                [this, client, alive = m_lifetime.weak_token()](const lookup_answer& found) {
                    if (alive.expired()) {
                        return;
                    }
                    if (!found.store_reached) {
                        refuse(client, "store", retry_after_unavailable);
                    } else if (!found.has_job_for(client.account)) {
                        observe(client, "no_job");
                        platform::answer_no_job(*client.request);
                    } else {
                        cancel_through_store(client);
                    }
                });
}

void ingress_task::cancel_through_store(const client_context& client) {
    platform::store_transaction change;
    change.writes.push_back({cancel_key(client.call.pool, client.call.job), "1", 0});
    m_context.store.commit(
        change, [this, client, alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
            if (alive.expired()) {
                return;
            }
            if (answer.status == platform::store_status::ok) {
                observe(client, "ok_by_store");
                platform::answer_accepted(*client.request);
            } else {
                report_unknown_outcome(client, "store");
            }
        });
}

// --- Count ---

void ingress_task::count_answered(const client_context& client, const peer_answer& answer) {
    // The age counts from the client's request: how long the answer was in flight and unread is not known.
    const timestamp at = client.received_at - milliseconds(answer.inbox_age_ms);
    if (outcome_of(answer) != peer_outcome::ok) {
        refuse(client, name_of(outcome_of(answer)), retry_after_unavailable);
        return;
    }
    if (event_loop::now() - at > jobs::max_count_age) {
        refuse(client, "old-count", retry_after_unavailable);
        return;
    }
    observe(client, "ok");
    const cached_count& count = m_counts[client.call.queue] = {answer.count, at};
    send_count(client, count, "owner");
}

void ingress_task::send_count(const client_context& client, const cached_count& count,
                              std::string_view from) {
    log_event(event_id::count_answered, {{"queue", client.call.queue},
                                         {"waiting", count.jobs},
                                         {"from", from},
                                         {"age_ms", (event_loop::now() - count.counted_at).count()}});
    platform::answer_pending_count(*client.request, count.jobs);
}

} // namespace siskinpaddle::node
