#include "node/ingress_task.hpp"

#include "node/job_lookup.hpp"
#include "node/keys.hpp"
#include "node/store_health.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// An owner answers within a few milliseconds plus one write to the store. If the owner is frozen or cut off,
/// the fallback through the store must still fit into the client's deadline of about three seconds.
constexpr milliseconds owner_timeout = 900ms;
/// An owner that did not answer gets no requests for this long; the store is used at once instead.
constexpr milliseconds unresponsive_owner_pause = 1s;

} // namespace

ingress_task::ingress_task(context dependencies, local_handler local)
    : m_context(dependencies), m_local_handler(std::move(local)),
      m_server(dependencies.loop, dependencies.limits,
               [this](const request_handle& request) { handle_request(request); }) {}

void ingress_task::handle_request(const request_handle& request) {
    if (!m_context.configuration.is_loaded()) {
        m_context.counters.increment("clients_without_configuration");
        platform::answer_unavailable(*request, retry_after_unavailable);
        return;
    }
    client_context client;
    client.request = request;
    client.received_at = event_loop::now();
    dispatch(std::move(client));
}

void ingress_task::dispatch(client_context client) {
    const jobs::fleet_configuration& configuration = m_context.configuration.current();
    client.call = platform::decode_client_call(*client.request, configuration);
    const jobs::queue_settings* queue = configuration.find_queue(client.call.queue);
    // A path that is no call of its queue may belong to a queue with a longer prefix.
    if (queue == nullptr || client.call.request == platform::client_request::invalid) {
        refuse_unknown_queue(client);
        return;
    }
    if (!admit_client(client, *queue)) {
        return;
    }
    client.address = jobs::address_of(*queue);
    switch (client.call.request) {
    case platform::client_request::submit:
        handle_submit(client);
        return;
    case platform::client_request::status:
    case platform::client_request::cancel:
        send_job_call(client);
        return;
    case platform::client_request::count:
        handle_count(client);
        return;
    case platform::client_request::invalid:
        return;
    }
}

/// Sends a call about a job to the owner of the call's pool.
void ingress_task::send_job_call(const client_context& client) {
    if (client.call.request == platform::client_request::status) {
        send_to_owner(client, make_request(peer_request_kind::status, client),
                      &ingress_task::status_answered);
    } else {
        send_to_owner(client, make_request(peer_request_kind::cancel, client),
                      &ingress_task::cancel_answered);
    }
}

void ingress_task::refuse_unknown_queue(const client_context& client) {
    const configuration_task& configuration = m_context.configuration;
    if (!configuration.is_confirmed(event_loop::now())) {
        confirm_configuration(client);
        return;
    }
    log_event(event_id::client_refused, {{"target", client.request->target()},
                                         {"why", "no-queue"},
                                         {"configuration", configuration.current().version},
                                         {"age_ms", configuration.age(event_loop::now()).count()}});
    platform::answer_no_queue(*client.request);
}

/// Handles the call again once the store was asked for a newer configuration. If it can't be asked, the
/// client may come back: the version that has its queue or key is on its way.
void ingress_task::confirm_configuration(client_context client) {
    configuration_task& configuration = m_context.configuration;
    if (!client.configuration_compared) {
        client.configuration_compared = true;
        configuration.confirm([this, client = std::move(client), alive = m_lifetime.weak_token()] {
            if (!alive.expired()) {
                dispatch(client);
            }
        });
        return;
    }
    observe(client, "refused");
    log_event(event_id::client_refused, {{"target", client.request->target()},
                                         {"why", "configuration-unconfirmed"},
                                         {"configuration", configuration.current().version},
                                         {"heard_of", configuration.newest_peer_version()},
                                         {"age_ms", configuration.age(event_loop::now()).count()},
                                         {"arriving_bytes", configuration.arriving_bytes()},
                                         {"after_ms", (event_loop::now() - client.received_at).count()}});
    platform::answer_unavailable(*client.request, retry_after_unavailable);
}

/// Checks the API key of the call. If this node can't, the pool's owner does: it may reach the store while
/// this node does not.
bool ingress_task::admit_client(client_context& client, const jobs::queue_settings& queue) {
    const jobs::access_decision decision =
        jobs::check_access(m_context.configuration.current(), queue, client.call.key,
                           m_context.configuration.freshness(event_loop::now()), m_context.access);
    const bool outdated = decision.verdict == jobs::access_verdict::outdated;
    if (outdated && !(client.configuration_compared && client.call.key)) {
        confirm_configuration(client);
        return false;
    }
    m_context.counters.increment("access_" + std::string(name_of(decision.verdict)));
    client.account = decision.account;
    client.key_unknown = outdated;
    client.owner_checks_key = outdated || decision.verdict == jobs::access_verdict::unconfirmed;
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
        message.key_unknown = client.key_unknown;
    }
    return message;
}

/// A count states that the queue exists, so like the refusal of an unknown queue it needs a configuration
/// that is proved recent, here or at the owner: a node that is behind would count a queue that was dropped.
void ingress_task::handle_count(const client_context& client) {
    const bool confirmed = m_context.configuration.is_confirmed(event_loop::now());
    if (!confirmed && !client.configuration_compared && !client.owner_checks_key) {
        confirm_configuration(client);
        return;
    }
    const auto known = m_counts.find(client.call.queue);
    if (confirmed && !client.owner_checks_key && known != m_counts.end() &&
        event_loop::now() - known->second.counted_at <= jobs::max_count_age) {
        send_count(client, known->second, "copy");
        return;
    }
    send_count_calls(client);
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
    if (client.call.request == platform::client_request::submit) {
        m_unsettled_jobs[client.call.job] = event_loop::now();
    }
    log_event(event_id::client_unknown, {{"job", client.call.job},
                                         {"call", name_of(client.call.request)},
                                         {"why", why},
                                         {"after_ms", (event_loop::now() - client.received_at).count()}});
    platform::answer_unknown(*client.request);
}

// --- Place of a job ---

/// Whether the job at this place is the one that the client means and may access.
bool ingress_task::is_job_of_client(const client_context& client, const jobs::job_place& place) const {
    return jobs::is_job_of_queue(place, client.call.queue, client.address) &&
           jobs::may_access_job(place.account, client.account);
}

/// Handles a call about a job that the owner of the queue's pool does not answer for (`owner`): sends it to
/// the owner of the pool that has the job if that is another one, and calls `otherwise` if not.
void ingress_task::send_by_place(const client_context& client, peer_outcome owner, lookup_handler otherwise) {
    if (client.place_known || store_is_failing(m_context.store, event_loop::now())) {
        (this->*otherwise)(client, owner);
        return;
    }
    look_up_place(
        m_context.store, client.call.job,
        [this, client, owner, otherwise, alive = m_lifetime.weak_token()](const place_answer& found) {
            if (alive.expired()) {
                return;
            }
            if (!found.store_reached) {
                refuse(client, "store", retry_after_unavailable);
                return;
            }
            if (found.place && !is_job_of_client(client, *found.place)) {
                answer_no_job(client, owner);
                return;
            }
            client_context placed = client;
            placed.place_known = true;
            if (!found.place || found.place->pool == client.call.pool) {
                (this->*otherwise)(placed, owner);
                return;
            }
            placed.call.pool = found.place->pool;
            send_job_call(placed);
        });
}

// --- Status ---

void ingress_task::status_answered(const client_context& client, const peer_answer& answer) {
    if (outcome_of(answer) != peer_outcome::ok) {
        send_by_place(client, outcome_of(answer), &ingress_task::read_status_from_store);
        return;
    }
    observe(client, "ok");
    platform::answer_phase(*client.request, static_cast<jobs::job_phase>(answer.phase));
}

void ingress_task::answer_no_job(const client_context& client, peer_outcome owner) {
    observe(client, "no_job");
    log_event(event_id::job_not_found, {{"job", client.call.job},
                                        {"call", name_of(client.call.request)},
                                        {"queue", client.call.queue},
                                        {"pool", client.call.pool},
                                        {"owner", name_of(owner)},
                                        {"configuration", m_context.configuration.current().version}});
    platform::answer_no_job(*client.request);
}

void ingress_task::read_status_from_store(const client_context& client, peer_outcome owner) {
    if (store_is_failing(m_context.store, event_loop::now())) {
        refuse(client, "store", retry_after_no_owner);
        return;
    }
    look_up_job(m_context.store, client.call.pool, client.call.job,
                [this, client, owner, alive = m_lifetime.weak_token()](const lookup_answer& answer) {
                    if (alive.expired()) {
                        return;
                    }
                    if (!answer.store_reached) {
                        refuse(client, "store", retry_after_unavailable);
                    } else if (answer.has_job_for(client.account)) {
                        observe(client, "ok_by_store");
                        platform::answer_phase(*client.request, *answer.phase);
                    } else {
                        answer_no_job(client, owner);
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
    send_by_place(client, outcome_of(answer), &ingress_task::cancel_if_stored);
}

void ingress_task::cancel_if_stored(const client_context& client, peer_outcome owner) {
    look_up_job(m_context.store, client.call.pool, client.call.job,
                [this, client, owner, alive = m_lifetime.weak_token()](const lookup_answer& found) {
                    if (alive.expired()) {
                        return;
                    }
                    if (!found.store_reached) {
                        refuse(client, "store", retry_after_unavailable);
                    } else if (!found.has_job_for(client.account)) {
                        answer_no_job(client, owner);
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

/// Asks the owner of the queue's pool, and the owners of other pools that may have accepted jobs of the
/// queue.
void ingress_task::send_count_calls(const client_context& client) {
    const std::vector<std::string> others =
        m_context.records.other_pools_of(client.call.queue, client.call.pool);
    if (client.owner_checks_key && !others.empty()) {
        refuse(client, "key-unconfirmed", retry_after_unavailable);
        return;
    }
    client_context counted = client;
    counted.counts = std::make_shared<count_sum>();
    counted.counts->unanswered = 1 + others.size();
    send_to_owner(counted, make_request(peer_request_kind::count, counted), &ingress_task::count_answered);
    for (const std::string& pool : others) {
        counted.call.pool = pool;
        send_to_owner(counted, make_request(peer_request_kind::count, counted),
                      &ingress_task::count_answered);
    }
}

void ingress_task::count_answered(const client_context& client, const peer_answer& answer) {
    count_sum& sum = *client.counts;
    sum.jobs += answer.count;
    sum.inbox_age_ms = std::max(sum.inbox_age_ms, answer.inbox_age_ms);
    if (outcome_of(answer) != peer_outcome::ok) {
        sum.failure = outcome_of(answer);
    }
    if (--sum.unanswered > 0) {
        return;
    }
    if (sum.failure) {
        refuse(client, name_of(*sum.failure), retry_after_unavailable);
        return;
    }
    // The age counts from the client's request: how long the answer was in flight and unread is not known.
    const timestamp at = client.received_at - milliseconds(sum.inbox_age_ms);
    if (event_loop::now() - at > jobs::max_count_age) {
        refuse(client, "old-count", retry_after_unavailable);
        return;
    }
    observe(client, "ok");
    const cached_count& count = m_counts[client.call.queue] = {sum.jobs, at};
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
