#include "node/membership_task.hpp"

#include "node/keys.hpp"
#include "telemetry/telemetry.hpp"

#include <algorithm>
#include <random>

namespace siskinpaddle::node {

namespace {

/// An answer that takes longer is overdue: a slow store answers within 200 ms, and a VM's answers that are
/// held up alike come within their timeout of 800 ms.
constexpr milliseconds max_answer_time = 400ms;
/// Covers drift between this node's clock and the store's, and late answers.
constexpr milliseconds lease_safety_margin = 200ms;
/// Pause after a claim that the store refused. Short compared with the lease that expires before a duty is
/// vacant.
constexpr milliseconds refused_claim_pause = 400ms;
/// Interval between checks for vacant duties.
constexpr milliseconds claim_interval = 100ms;
/// At the first start of a deployment nodes appear within this time of each other, and a node that claims
/// earlier takes all duties. Duties that had an owner before are claimed without this delay.
constexpr milliseconds startup_claim_delay = 900ms;
/// Delay between the claims of successive nodes in the claim order, so that the first choice wins without a
/// race.
constexpr milliseconds claim_order_delay = 100ms;
/// Extra delay of other nodes while a duty's previous owner is alive, so that the previous owner reclaims the
/// duty without a takeover.
constexpr milliseconds previous_owner_head_start = 500ms;

constexpr milliseconds watch_wait = 5s;
/// A node that has had no answer of the store for this long claims no duty that is handed over to it.
constexpr milliseconds max_silence_to_claim = 200ms;

std::string generate_incarnation() {
    std::random_device source;
    return to_hex((static_cast<std::uint64_t>(source()) << 32U) ^ source());
}

} // namespace

membership_task::membership_task(event_loop& loop, const node_settings& settings,
                                 platform::store_client& store, handlers on_change)
    : m_loop(loop), m_settings(settings), m_timing(lease_timing_for(settings.link_mbps)), m_store(store),
      m_handlers(std::move(on_change)), m_self{settings.id,
                                               generate_incarnation(),
                                               settings.peers.address,
                                               settings.peers.port,
                                               settings.availability_zone,
                                               settings.processor_share},
      m_watch(loop, store, control_prefix, watch_wait,
              [this](const platform::store_item& item) { apply_change(item); }),
      m_renew_timer(loop.make_timer([this] { m_lease == 0 ? request_lease() : renew_lease(); })),
      m_claim_timer(loop.make_timer([this] { claim_vacant_duties(); })) {}

void membership_task::start() {
    m_started_at = event_loop::now();
    request_lease();
    m_watch.start([this] { m_listed = true; });
    m_claim_timer->start(claim_interval);
}

timestamp membership_task::confirmed_until(const std::string& duty) const {
    const auto found = m_owned.find(duty);
    return found == m_owned.end() ? timestamp(0) : found->second.confirmed_until;
}

timestamp membership_task::act_until(const std::string& duty) const {
    const auto found = m_owned.find(duty);
    return found == m_owned.end() ? timestamp(0) : found->second.confirmed_until + grace_after_lease;
}

timestamp membership_task::last_late_answer_at() const {
    const timestamp now = event_loop::now();
    return m_renewal_sent_at && now - *m_renewal_sent_at > max_answer_time ? now : m_last_late_answer_at;
}

void membership_task::request_lease() {
    if (m_leaving) {
        return;
    }
    const timestamp asked_at = event_loop::now();
    m_store.grant_lease(m_timing.ttl, [this, asked_at, alive = m_lifetime.weak_token()](
                                          const platform::lease_answer& answer) {
        if (!alive.expired()) {
            handle_grant_answer(answer, asked_at);
        }
    });
}

void membership_task::handle_grant_answer(const platform::lease_answer& answer, timestamp asked_at) {
    if (answer.status != platform::store_status::ok || m_leaving) {
        m_renew_timer->start(m_timing.retry_interval);
        return;
    }
    if (std::exchange(m_renewal_failed, false)) {
        m_watch.refresh();
        m_handlers.store_recovered();
    }
    m_lease = answer.lease;
    m_renewed_at = asked_at;
    m_lease_confirmed_until = asked_at + answer.ttl - lease_safety_margin;
    register_self();
}

void membership_task::register_self() {
    platform::store_transaction change;
    change.writes.push_back({node_prefix + m_self.id, encode_archive(m_self), m_lease});
    m_store.commit(change, [this, alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
        if (alive.expired() || m_leaving) {
            return;
        }
        if (answer.status == platform::store_status::no_lease) {
            m_lease = 0;
        } else if (answer.status == platform::store_status::ok) {
            m_registered_at = event_loop::now();
            log_event(event_id::node_registered, {{"node", m_self.id}, {"incarnation", m_self.incarnation}});
        } else if (m_lease != 0) {
            register_self();
            return;
        }
        m_renew_timer->start(m_lease == 0 ? m_timing.retry_interval : m_timing.renew_interval);
    });
}

void membership_task::renew_lease() {
    if (m_leaving) {
        return;
    }
    const timestamp asked_at = event_loop::now();
    m_renewal_sent_at = asked_at;
    m_store.renew_lease(
        m_lease, m_timing.renew_timeout,
        [this, asked_at, alive = m_lifetime.weak_token()](const platform::lease_answer& answer) {
            if (!alive.expired()) {
                handle_renew_answer(answer, asked_at);
            }
        });
}

void membership_task::handle_renew_answer(const platform::lease_answer& answer, timestamp asked_at) {
    const timestamp now = event_loop::now();
    m_renewal_sent_at.reset();
    if (answer.status == platform::store_status::unknown || now - asked_at > max_answer_time) {
        m_last_late_answer_at = now;
    }
    if (m_leaving) {
        return;
    }
    const bool good = answer.status == platform::store_status::ok;
    const bool store_recovered = good && m_renewal_failed;
    m_renewal_failed = !good;
    if (good) {
        m_renewed_at = asked_at;
        m_lease_confirmed_until = asked_at + answer.ttl - lease_safety_margin;
        for (auto& [duty, held] : m_owned) {
            // A claim under a previous lease confirms nothing: another node may have claimed the duty since.
            if (held.lease == m_lease) {
                held.confirmed_until = m_lease_confirmed_until;
            }
        }
        m_renew_timer->start(m_timing.renew_interval);
        if (store_recovered) {
            m_watch.refresh();
            m_handlers.store_recovered();
        }
        return;
    }
    if (answer.status == platform::store_status::no_lease) {
        log_event(event_id::node_lease_lost, {{"node", m_self.id}});
        m_lease = 0;
        request_lease();
        return;
    }
    m_renew_timer->start(m_timing.retry_interval);
}

void membership_task::set_duties(std::set<std::string> duties) {
    m_duties = std::move(duties);
}

std::optional<node_record> membership_task::owner_of(const std::string& duty) const {
    const auto found = m_owners.find(duty);
    return found == m_owners.end() ? std::nullopt : std::optional(found->second.owner);
}

void membership_task::apply_change(const platform::store_item& item) {
    if (item.key.starts_with(node_prefix)) {
        const std::string id = item.key.substr(node_prefix.size());
        const auto record = decode_archive<node_record>(item.value);
        if (item.deleted || !record) {
            m_nodes.erase(id);
        } else {
            m_nodes[id] = record.value();
        }
    } else if (item.key.starts_with(owner_prefix)) {
        apply_owner(item.key.substr(owner_prefix.size()), item);
    } else if (item.key.starts_with(liveness_prefix)) {
        const std::string duty = item.key.substr(liveness_prefix.size());
        if (item.deleted) {
            m_liveness_keys.erase(duty);
        } else {
            m_liveness_keys[duty] = item;
        }
    } else if (item.key.starts_with(pool_record_prefix)) {
        m_handlers.pool_record_changed(item);
    }
}

void membership_task::apply_owner(const std::string& duty, const platform::store_item& item) {
    const auto record = decode_archive<owner_record>(item.value);
    if (item.deleted || !record || m_owner_revisions[duty] >= item.revision) {
        return;
    }
    record_owner(duty, record.value());
    m_owner_revisions[duty] = item.revision;
    log_event(event_id::duty_owner, {{"duty", duty},
                                     {"owner", record.value().owner.id},
                                     {"epoch", record.value().epoch},
                                     {"token", item.revision}});
    if (record.value().owner.incarnation == m_self.incarnation) {
        acquire_duty(duty, record.value(), item.revision);
    } else if (m_owned.erase(duty) > 0) {
        m_handlers.lost(duty);
    }
}

void membership_task::record_owner(const std::string& duty, const owner_record& record) {
    const auto known = m_owners.find(duty);
    if (known != m_owners.end()) {
        m_previous_owners[duty] = known->second.owner.id;
    }
    m_owners[duty] = record;
}

void membership_task::acquire_duty(const std::string& duty, const owner_record& record,
                                   std::int64_t revision) {
    const auto owned = m_owned.find(duty);
    if (owned != m_owned.end() && owned->second.item.token >= revision) {
        return;
    }
    const auto previous = m_previous_owners.find(duty);
    const bool was_previous_owner = previous != m_previous_owners.end() && previous->second == m_self.id;
    const owned_duty held{
        {duty, record.epoch, revision, was_previous_owner}, m_lease, m_lease_confirmed_until};
    m_owned[duty] = held;
    m_handlers.gained(held.item);
}

milliseconds membership_task::claim_delay(const std::string& duty) const {
    const auto owner = m_owners.find(duty);
    if (owner != m_owners.end() && owner->second.owner.incarnation == m_self.incarnation) {
        return milliseconds(0);
    }
    milliseconds delay = claim_order_delay * static_cast<std::int64_t>(claim_position(duty));
    if (owner != m_owners.end() && owner->second.owner.id != m_self.id &&
        m_nodes.contains(owner->second.owner.id)) {
        delay += previous_owner_head_start;
    }
    return delay;
}

/// Nodes with a lower rank claim the duty first. `duties`: number of duties that the node already has.
std::pair<double, std::uint64_t> membership_task::claim_rank(const std::string& duty, const node_record& node,
                                                             std::size_t duties) const {
    const double load = static_cast<double>(duties + 1) / node.processor_share;
    return {load, hash64(duty + "/" + node.id)};
}

std::vector<node_record> membership_task::successors(const std::string& duty) const {
    std::map<std::string, std::size_t> duties;
    for (const auto& [name, alive] : m_liveness_keys) {
        ++duties[alive.value];
    }
    std::vector<node_record> others;
    for (const auto& [id, node] : m_nodes) {
        if (id != m_self.id) {
            others.push_back(node);
        }
    }
    std::ranges::sort(others, {}, [&](const node_record& node) {
        const auto held = duties.find(node.id);
        return claim_rank(duty, node, held == duties.end() ? 0 : held->second);
    });
    return others;
}

std::int64_t membership_task::token_of(const std::string& duty) const {
    const auto found = m_owned.find(duty);
    return found == m_owned.end() ? 0 : found->second.item.token;
}

/// Returns how many nodes precede this node in the claim order of a duty. The node whose load would be lowest
/// comes first, so that duties are distributed by the nodes' processor shares; a hash breaks ties. Duties
/// that are vacant at the same time are assigned one after the other, else one node could be the first choice
/// for several of them. All nodes with the same view compute the same assignment.
std::size_t membership_task::claim_position(const std::string& duty) const {
    std::map<std::string, std::size_t> duties;
    for (const auto& [name, alive] : m_liveness_keys) {
        ++duties[alive.value];
    }
    for (const std::string& vacant : m_duties) {
        const auto rank = [&](const node_record& node) { return claim_rank(vacant, node, duties[node.id]); };
        if (vacant == duty) {
            const auto own = rank(m_self);
            return static_cast<std::size_t>(
                std::ranges::count_if(m_nodes, [&](const auto& item) { return rank(item.second) < own; }));
        }
        if (!m_liveness_keys.contains(vacant) && !m_nodes.empty()) {
            const auto first =
                std::ranges::min_element(m_nodes, {}, [&](const auto& item) { return rank(item.second); });
            ++duties[first->first];
        }
    }
    return m_nodes.size();
}

bool membership_task::can_claim() const {
    return m_claiming_enabled && m_listed && m_lease != 0 && m_registered_at != timestamp(0);
}

void membership_task::accept_handover(const std::string& duty, std::int64_t token,
                                      std::function<void(bool)> done) {
    const timestamp now = event_loop::now();
    const bool is_current = m_owner_revisions[duty] == token && !m_pending_claims.contains(duty);
    if (!can_claim() || !is_current || m_store.unresponsive_for(now) >= max_silence_to_claim) {
        done(false);
        return;
    }
    // In an outage that has just begun this node may not have noticed it yet: a claim that is sent then could
    // be carried out seconds later.
    m_handovers[duty] = std::move(done);
    m_store.get(owner_prefix + duty, [this, duty, token,
                                      alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
        if (alive.expired()) {
            return;
        }
        const bool is_unchanged = revision_of(answer, owner_prefix + duty) == token;
        if (answer.status == platform::store_status::ok && is_unchanged && !m_pending_claims.contains(duty)) {
            claim(duty);
        } else {
            finish_handover(duty, false);
        }
    });
}

void membership_task::finish_handover(const std::string& duty, bool claimed) {
    const auto waiting = m_handovers.extract(duty);
    if (!waiting.empty()) {
        waiting.mapped()(claimed);
    }
}

void membership_task::surrender(const std::string& duty) {
    if (m_owned.erase(duty) > 0) {
        m_handlers.lost(duty);
    }
}

void membership_task::claim_vacant_duties() {
    m_claim_timer->start(claim_interval);
    const timestamp now = event_loop::now();
    const bool ready = can_claim();
    const bool startup_delay_passed = now - m_started_at >= startup_claim_delay;
    for (const std::string& duty : m_duties) {
        const auto alive = m_liveness_keys.find(duty);
        const auto owner = m_owners.find(duty);
        const bool owned_by_self = owner != m_owners.end() && owner->second.owner.id == m_self.id;
        // A key under the lease of this node's previous incarnation is stale: that process has ended.
        const bool is_stale =
            owned_by_self && alive != m_liveness_keys.end() && alive->second.lease != m_lease;
        if (alive != m_liveness_keys.end() && !is_stale) {
            m_vacant_since.erase(duty);
            continue;
        }
        const bool is_claimable = startup_delay_passed || owner != m_owners.end();
        if (!ready || !is_claimable) {
            continue; // Claim delays count from the moment when all nodes may claim.
        }
        const timestamp since = m_vacant_since.try_emplace(duty, now).first->second;
        if (!m_pending_claims.contains(duty) && now - since >= claim_delay(duty)) {
            claim(duty);
        }
    }
}

void membership_task::claim(const std::string& duty) {
    const auto owner = m_owners.find(duty);
    owner_record record{m_self, 0};
    if (owner != m_owners.end()) {
        const bool same = owner->second.owner.incarnation == m_self.incarnation;
        record.epoch = owner->second.epoch + (same ? 0 : 1);
    }
    const auto alive = m_liveness_keys.find(duty);
    platform::store_transaction change;
    change.conditions.push_back({owner_prefix + duty, m_owner_revisions[duty]});
    change.conditions.push_back(
        {liveness_prefix + duty, alive == m_liveness_keys.end() ? 0 : alive->second.revision});
    change.writes.push_back({owner_prefix + duty, encode_archive(record), 0});
    change.writes.push_back({liveness_prefix + duty, m_self.id, m_lease});
    m_pending_claims.insert(duty);
    log_event(event_id::duty_claimed, {{"duty", duty},
                                       {"epoch", record.epoch},
                                       {"position", claim_position(duty)},
                                       {"nodes", m_nodes.size()}});
    m_store.commit(
        change, [this, duty, record, alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
            if (!alive.expired()) {
                handle_claim_answer(duty, record, answer);
            }
        });
}

void membership_task::handle_claim_answer(const std::string& duty, const owner_record& record,
                                          const platform::store_answer& answer) {
    m_pending_claims.erase(duty);
    m_vacant_since.erase(duty);
    finish_handover(duty, answer.status == platform::store_status::ok);
    if (answer.status == platform::store_status::no_lease) {
        m_lease = 0;
        m_renew_timer->start(milliseconds(0));
        return;
    }
    if (answer.status == platform::store_status::conflict) {
        m_watch.refresh(); // The local copy is outdated: the watch may hang on an unresponsive connection.
    }
    if (answer.status == platform::store_status::refused) {
        // The store counts refused calls as well. Without the pause every node claims each vacant duty ten
        // times a second for as long as the store is busy.
        m_vacant_since[duty] = event_loop::now() + refused_claim_pause;
    }
    if (answer.status != platform::store_status::ok) {
        return; // If the claim was carried out after all, the watch reports it.
    }
    record_owner(duty, record);
    m_owner_revisions[duty] = std::max(m_owner_revisions[duty], answer.revision);
    acquire_duty(duty, record, answer.revision);
}

void membership_task::stop_claiming() {
    m_claiming_enabled = false;
    platform::store_transaction change;
    change.removals.push_back(node_prefix + m_self.id);
    m_store.commit(change, [](const platform::store_answer&) {});
}

void membership_task::release(const std::string& duty) {
    m_owned.erase(duty);
    platform::store_transaction change;
    const auto alive = m_liveness_keys.find(duty);
    if (alive == m_liveness_keys.end()) {
        return;
    }
    change.conditions.push_back({liveness_prefix + duty, alive->second.revision});
    change.removals.push_back(liveness_prefix + duty);
    m_store.commit(change, [](const platform::store_answer&) {});
}

void membership_task::leave(std::function<void()> done) {
    m_leaving = true;
    m_claiming_enabled = false;
    m_owned.clear();
    m_watch.stop();
    if (m_lease == 0) {
        done();
        return;
    }
    m_store.end_lease(m_lease, std::move(done));
}

} // namespace siskinpaddle::node
