#include "node/node.hpp"

#include "node/guaranteed_reply.hpp"
#include "node/keys.hpp"
#include "node/store_health.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

constexpr milliseconds tick_interval = 200ms;
/// A tick that is this late is logged: an answer takes up to four iterations of the loop, and its receivers
/// wait 900 ms.
constexpr milliseconds logged_lag = 100ms;
/// If the store was reached for this long neither from this node nor through an owner on another node, this
/// node can't accept jobs, and the platform should send clients to other nodes. The value lies above the
/// interval of lease renewals (600 ms) plus the response time of a slow store. A single lost renewal has no
/// effect, since the platform waits for two failed checks a second apart. With a longer value, clients of a
/// zone that is cut off return to its nodes until their deadlines have passed.
constexpr milliseconds store_reach_timeout = 1s;
constexpr milliseconds peer_timeout = 800ms;
/// A successor answers after two calls to the store. Short, so that several can be asked within the lease.
constexpr milliseconds handover_timeout = 300ms;
/// Most nodes that are asked to take over a pool during one failure of the store.
constexpr std::size_t max_handover_attempts = 8;
/// After SIGTERM the platform stops sending requests after two failed readiness checks, one a second.
constexpr milliseconds shed_duration = 2500ms;
/// Above the largest body that a configuration allows so far; the configured limit is checked per call.
constexpr std::size_t max_client_body = 1U << 20U;
constexpr std::size_t max_peer_body = 1U << 20U;
/// Requests to the readiness and the metrics address have no body.
constexpr std::size_t max_service_body = 4U << 10U;
/// The process ends all open requests this long before the end of the grace period.
constexpr milliseconds exit_margin = 700ms;

} // namespace

node::node(event_loop& loop, const node_settings& settings)
    : m_loop(loop), m_settings(settings), m_store(loop, settings.store, settings.link_mbps), m_vms(loop),
      m_machines(loop, settings.machines), m_advice(loop, settings.advice), m_peers(loop),
      m_configuration(
          loop, m_store, [this] { configuration_changed(); }, configuration_ages_of(settings)),
      m_pool_records([this](const std::string& pool) { pool_record_changed(pool); }),
      m_membership(loop, settings, m_store,
                   {[this](const ownership& held) { duty_gained(held); },
                    [this](const std::string& duty) { duty_lost(duty); }, [this] { handle_store_recovery(); },
                    [this](const platform::store_item& item) { m_pool_records.apply(item); }}),
      m_ingress({loop, m_store, m_membership, m_configuration, m_pool_records, m_peers, m_counters,
                 access_settings_of(settings),
                 server_limits_of(settings, settings.client_limits, max_client_body)},
                [this](const peer_request& request, const peer_server::reply& done) {
                    return handle_local(request, done);
                }),
      m_peer_server(loop, server_limits_of(settings, settings.peer_limits, max_peer_body),
                    [this](const peer_request& request, peer_server::reply done) {
                        handle_peer(request, std::move(done));
                    }),
      m_readiness(loop, server_limits_of(settings, settings.service_limits, max_service_body),
                  [this](const std::shared_ptr<server_request>& request) {
                      if (platform::is_readiness_call(*request)) {
                          platform::answer_readiness(*request, ready());
                      } else {
                          request->reply(404, {}, "");
                      }
                  }),
      m_operator_view(m_membership, m_configuration, m_pool_records, m_pools),
      m_metrics_server(loop, server_limits_of(settings, settings.service_limits, max_service_body),
                       [this](const std::shared_ptr<server_request>& request) { answer_operator(*request); }),
      m_timer(loop.make_timer([this] { tick(); })) {}

findings node::listen() {
    findings problems;
    if (!m_ingress.listen(m_settings.clients)) {
        problems.add("/clients", "can't bind " + m_settings.clients.to_string());
    }
    if (!m_readiness.listen(m_settings.readiness)) {
        problems.add("/readiness", "can't bind " + m_settings.readiness.to_string());
    }
    if (!m_peer_server.listen(m_settings.peers)) {
        problems.add("/peer_port", "can't bind " + m_settings.peers.to_string());
    }
    if (!m_metrics_server.listen(m_settings.metrics)) {
        problems.add("/metrics_port", "can't bind " + m_settings.metrics.to_string());
    }
    return problems;
}

void node::start() {
    log_event(event_id::node_started, {{"incarnation", m_membership.self().incarnation},
                                       {"zone", m_settings.availability_zone},
                                       {"processor_share", m_settings.processor_share},
                                       {"clients", m_settings.clients.to_string()},
                                       {"peers", m_settings.peers.to_string()},
                                       {"store", m_settings.store.to_string()}});
    m_configuration.start();
    m_membership.start();
    tick();
}

void node::configuration_changed() {
    update_duties();
    for (const auto& [duty, task] : m_pools) {
        task->configure(m_configuration.current());
    }
}

void node::pool_record_changed(const std::string& pool) {
    update_duties();
    const auto task = m_pools.find(pool_duty(pool));
    if (task != m_pools.end()) {
        task->second->configure(m_configuration.current());
    }
}

/// Without a configuration this node knows no settings of a pool, not even of one whose record it has.
void node::update_duties() {
    if (!m_configuration.is_loaded()) {
        return;
    }
    std::set<std::string> duties{fleet_duty};
    for (const std::string& pool : m_pool_records.pools_to_own(m_configuration.current())) {
        duties.insert(pool_duty(pool));
    }
    m_membership.set_duties(std::move(duties));
}

void node::duty_gained(const ownership& held) {
    if (held.duty == fleet_duty) {
        if (m_fleet != nullptr) {
            m_fleet->renew_token(held);
            return;
        }
        m_fleet = std::make_unique<fleet_task>(
            fleet_task::context{m_loop, m_settings, m_store, m_machines, m_membership, m_configuration,
                                m_pool_records,
                                [this](const peer_request& request, peer_server::reply done) {
                                    send_to_pool_owner(request, std::move(done));
                                }},
            held);
        m_fleet->start();
        return;
    }
    const auto known = m_pools.find(held.duty);
    if (known != m_pools.end() && known->second->epoch() == held.epoch) {
        known->second->renew_token(held);
        return;
    }
    if (known != m_pools.end()) {
        // Another node owned the pool in between, so the state of this task is outdated. The task is deleted
        // later, since this function may run inside one of its callbacks.
        m_loop.post([old = std::shared_ptr<pool_task>(std::move(known->second))] {});
        m_pools.erase(known);
    }
    const std::string pool = held.duty.substr(pool_duty("").size());
    auto task = std::make_unique<pool_task>(pool_task::context{m_loop, m_settings, m_store, m_vms, m_machines,
                                                               m_advice, m_membership, m_configuration,
                                                               m_pool_records, m_counters},
                                            pool, held);
    task->configure(m_configuration.current());
    task->start();
    m_pools[held.duty] = std::move(task);
}

void node::duty_lost(const std::string& duty) {
    log_event(event_id::duty_lost, {{"duty", duty}, {"found_by", "claim by another node"}});
    // Deferred, since this function may run inside a callback of the task.
    m_loop.post([this, duty] {
        if (m_membership.owns(duty)) {
            return;
        }
        m_pools.erase(duty);
        if (duty == fleet_duty) {
            m_fleet.reset();
        }
    });
}

/// Lists everything again: watches that were pending when the store failed may hang on unresponsive
/// connections for seconds.
void node::handle_store_recovery() {
    m_configuration.refresh();
    for (const auto& [duty, task] : m_pools) {
        task->refresh();
    }
}

// --- Handover ---

/// Asks other nodes to claim this node's pools while the store answers none of its calls. Without this, a
/// pool whose owner can't reach the store would store no ends of runs and add no VMs until the owner's lease
/// expires, which takes two seconds.
void node::hand_over_pools(timestamp now) {
    if (m_stopping || !store_is_failing(m_store, now)) {
        m_handovers.clear();
        return;
    }
    for (const auto& [duty, task] : m_pools) {
        if (!m_handovers.contains(duty)) {
            hand_over(duty, 0);
        }
    }
}

/// Asks one node after the other, beginning with the successor number `attempt`.
void node::hand_over(const std::string& duty, std::size_t attempt) {
    const std::vector<node_record> successors = m_membership.successors(duty);
    m_handovers.insert(duty);
    if (attempt >= std::min(max_handover_attempts, successors.size()) || !m_membership.owns(duty)) {
        return;
    }
    const node_record& successor = successors[attempt];
    peer_request request;
    request.kind = static_cast<std::uint8_t>(peer_request_kind::handover);
    request.pool = duty.substr(pool_duty("").size());
    request.configuration_version = m_configuration.current().version;
    request.token = m_membership.token_of(duty);
    m_peers.call({successor.address, successor.port}, request, handover_timeout,
                 [this, duty, attempt, token = request.token, to = successor.id,
                  alive = m_lifetime.weak_token()](const peer_answer& answer) {
                     if (alive.expired() || m_membership.token_of(duty) != token) {
                         return;
                     }
                     log_event(event_id::duty_handover,
                               {{"duty", duty}, {"to", to}, {"outcome", name_of(outcome_of(answer))}});
                     if (outcome_of(answer) == peer_outcome::ok) {
                         m_membership.surrender(duty);
                     } else if (m_handovers.contains(duty)) {
                         hand_over(duty, attempt + 1);
                     }
                 });
}

void node::accept_handover(const peer_request& request, peer_server::reply done) {
    m_membership.accept_handover(
        pool_duty(request.pool), request.token, [done = std::move(done)](bool claimed) {
            done(make_answer(claimed ? peer_outcome::ok : peer_outcome::unavailable));
        });
}

// --- Requests ---

bool node::handle_local(const peer_request& request, const peer_server::reply& done) {
    const auto task = m_pools.find(pool_duty(request.pool));
    if (task == m_pools.end() || !m_membership.owns(task->first)) {
        return false;
    }
    if (event_loop::now() >= m_membership.act_until(task->first)) {
        return false; // Another node may own the pool by now; the store holds the current owner.
    }
    const auto reply = guaranteed_reply::make(done, m_lifetime.weak_token());
    if (request.unchecked_key.empty()) {
        task->second->handle(request, reply);
        return true;
    }
    peer_request checked = request;
    const peer_outcome refusal = check_key(checked);
    if (refusal == peer_outcome::ok) {
        task->second->handle(checked, reply);
    } else {
        reply(make_answer(refusal));
    }
    return true;
}

/// Checks the API key that the sender could not check and sets the request's account. Returns `ok` if the
/// request may be handled.
peer_outcome node::check_key(peer_request& request) const {
    const jobs::fleet_configuration& configuration = m_configuration.current();
    const jobs::queue_settings* queue = configuration.find_queue(request.queue);
    jobs::key_digest key{};
    if (queue == nullptr || request.unchecked_key.size() != key.size()) {
        return peer_outcome::unconfirmed;
    }
    std::ranges::copy(request.unchecked_key, key.begin());
    const jobs::access_decision decision =
        jobs::check_access(configuration, *queue, key, m_configuration.freshness(event_loop::now()),
                           access_settings_of(m_settings));
    request.account = decision.account;
    switch (decision.verdict) {
    case jobs::access_verdict::granted:
        return request.key_unknown ? peer_outcome::unconfirmed : peer_outcome::ok;
    case jobs::access_verdict::unauthorized:
        // The sender may have a newer version, with a key that this node has not heard of.
        return request.configuration_version > configuration.version ? peer_outcome::unconfirmed
                                                                     : peer_outcome::unauthorized;
    case jobs::access_verdict::unconfirmed:
    case jobs::access_verdict::outdated:
        return peer_outcome::unconfirmed;
    }
    return peer_outcome::unconfirmed;
}

void node::handle_peer(const peer_request& request, peer_server::reply done) {
    m_configuration.record_peer_version(request.configuration_version);
    const auto with_version = [this, done = std::move(done)](peer_answer answer) {
        answer.configuration_version = m_configuration.current().version;
        answer.store_age_ms = (event_loop::now() - m_membership.renewed_at()).count();
        done(answer);
    };
    if (static_cast<peer_request_kind>(request.kind) == peer_request_kind::handover) {
        accept_handover(request, guaranteed_reply::make(with_version, m_lifetime.weak_token()));
        return;
    }
    if (!handle_local(request, with_version)) {
        with_version(make_answer(peer_outcome::not_owner));
    }
}

void node::send_to_pool_owner(const peer_request& request, peer_server::reply done) {
    if (handle_local(request, done)) {
        return;
    }
    const auto owner = m_membership.owner_of(pool_duty(request.pool));
    if (!owner) {
        done(make_answer(peer_outcome::not_owner));
        return;
    }
    m_peers.call({owner->address, owner->port}, request, peer_timeout, std::move(done));
}

// --- Readiness and stop ---

bool node::ready() const {
    const timestamp now = event_loop::now();
    const timestamp reached = std::max(m_membership.renewed_at(), m_ingress.peer_reached_store_at());
    return !m_stopping && m_configuration.is_loaded() && now - reached < store_reach_timeout;
}

void node::tick() {
    const timestamp now = event_loop::now();
    if (m_tick_due != timestamp(0)) {
        const milliseconds lag = now - m_tick_due;
        m_longest_lag = std::max(m_longest_lag, lag);
        if (lag >= logged_lag) {
            log_event(event_id::loop_late, {{"lag_ms", lag.count()}});
        }
    }
    m_tick_due = now + tick_interval;
    m_timer->start(tick_interval);
    flush_event_log();
    m_ingress.answer_stalled_submits();
    for (const auto& [duty, task] : m_pools) {
        task->answer_stalled_submits();
    }
    hand_over_pools(now);
    const bool is_ready = ready();
    m_ingress.set_connection_shedding(!is_ready);
    if (is_ready != m_was_ready) {
        m_was_ready = is_ready;
        log_event(is_ready ? event_id::node_ready : event_id::node_not_ready,
                  {{"configuration", m_configuration.current().version},
                   {"store_age_ms", (event_loop::now() - m_membership.renewed_at()).count()},
                   {"stopping", static_cast<int>(m_stopping)}});
    }
    const bool reachable = event_loop::now() - m_membership.renewed_at() < store_reach_timeout;
    if (reachable != m_store_reachable) {
        m_store_reachable = reachable;
        log_event(reachable ? event_id::store_back : event_id::store_unreachable,
                  {{"store", m_settings.store.to_string()}});
    }
    share_link(now);
    log_link_load(now);
    log_closed_connections(now);
    if (m_stopping) {
        finish_stop();
    }
}

void node::stop(std::function<void()> stopped) {
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    m_stopped = std::move(stopped);
    m_stop_at = event_loop::now();
    log_event(event_id::node_stopping, {{"duties", m_pools.size() + (m_fleet ? 1 : 0)}});
    m_membership.stop_claiming();
    m_ingress.set_connection_shedding(true);
    if (m_fleet != nullptr) {
        m_fleet->stop();
        m_membership.release(fleet_duty);
    }
    for (const auto& [duty, task] : m_pools) {
        ++m_stopping_pools;
        task->shut_down([this, duty = duty] {
            --m_stopping_pools;
            m_membership.release(duty);
        });
    }
}

void node::finish_stop() {
    const milliseconds elapsed = event_loop::now() - m_stop_at;
    if (elapsed >= shed_duration && !m_closed) {
        m_closed = true;
        m_ingress.stop_accepting();
    }
    const bool is_drained = m_closed && m_ingress.is_idle() && m_stopping_pools == 0;
    if (m_has_left || (!is_drained && elapsed < m_settings.grace_period - exit_margin)) {
        return;
    }
    m_has_left = true;
    m_membership.leave([this] {
        log_event(event_id::node_stopped, {{"after_ms", (event_loop::now() - m_stop_at).count()}});
        m_stopped();
    });
}

/// Sets what each account with a limit uses and may use in a pool that this node owns, and its limit.

} // namespace siskinpaddle::node
