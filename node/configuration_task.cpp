#include "node/configuration_task.hpp"

#include "node/store_health.hpp"
#include "telemetry/telemetry.hpp"

#include <algorithm>
#include <span>

namespace siskinpaddle::node {

namespace {

/// A wait that detects an unresponsive connection of the watch well within the shortest time in which a
/// version must be in force, two seconds.
constexpr milliseconds shortest_bound_wait = 1s;
/// The platform's maximum.
constexpr milliseconds longest_wait = 30s;
/// The configuration's age reaches two waits of the watch while the store responds at once.
constexpr int waits_per_cycle = 2;
constexpr int watch_waits_per_age = 4;
/// The answers of a slow store to two watches, and the delays of a busy node.
constexpr milliseconds age_margin = 600ms;
/// Delay for the node's own watch to deliver a version that a peer has already named. Nodes on fast links
/// have a new configuration, and name its version in each answer, before the transfer to a node on a slow
/// link is complete; without the delay, repeated reads of the same configuration would fill the slow link.
/// The delay and the read that follows it fit into the two seconds in which a version must be in force.
constexpr milliseconds catch_up_delay = 700ms;
/// On a narrow link the delay is twice the transfer time of a large configuration.
constexpr int transfer_time_factor = 2;
/// Longest time that a call waits for confirm(). A slow store answers within 200 ms; a healthy one needs 4
/// ms.
constexpr milliseconds max_confirm_wait = 250ms;
/// Over a slower link the store is not asked by confirm(): a large configuration would arrive twice, and too
/// late for the call.
constexpr milliseconds max_compare_transfer_time = 500ms;
/// Most problems of one configuration that are logged.
constexpr std::size_t max_logged_problems = 8;

} // namespace

milliseconds configuration_watch_wait(const configuration_ages& ages) noexcept {
    const milliseconds longest =
        std::clamp((ages.max_refusal_age - age_margin) / waits_per_cycle, shortest_bound_wait, longest_wait);
    return ages.max_age == 0ms ? longest : std::min(longest, ages.max_age / watch_waits_per_age);
}

configuration_task::configuration_task(event_loop& loop, platform::store_client& store,
                                       std::function<void()> on_change, const configuration_ages& ages)
    : m_store(store), m_on_change(std::move(on_change)), m_ages(ages),
      m_catch_up_delay(
          std::max(catch_up_delay, transfer_time_factor * store.transfer_time(platform::large_value_bytes))),
      m_catch_up_timer(loop.make_timer([this] { refresh_if_behind(); })),
      m_confirm_timer(loop.make_timer([this] { release_waiting(); })),
      m_watch(loop, store, std::string(platform::operator_prefix), configuration_watch_wait(ages),
              [this](const platform::store_item& item) { apply_item(item); }) {
    m_watch.set_large_item(std::string(platform::configuration_key));
}

void configuration_task::record_peer_version(std::int64_t version) {
    m_newest_peer_version = std::max(m_newest_peer_version, version);
    if (!is_loaded() || version <= m_current.version || m_catch_up_pending) {
        return;
    }
    m_catch_up_pending = true;
    m_catch_up_timer->start(m_catch_up_delay);
}

void configuration_task::refresh_if_behind() {
    m_catch_up_pending = false;
    if (m_newest_peer_version <= m_current.version) {
        return;
    }
    log_event(event_id::fleet_config_behind, {{"version", m_current.version},
                                              {"heard_of", m_newest_peer_version},
                                              {"watched_at", m_watch.revision()},
                                              {"age_ms", age(event_loop::now()).count()},
                                              {"arriving_bytes", m_watch.arriving_bytes()}});
    m_watch.refresh();
}

void configuration_task::confirm(std::function<void()> done) {
    const bool can_ask = !store_is_failing(m_store, event_loop::now()) &&
                         m_store.transfer_time(platform::large_value_bytes) <= max_compare_transfer_time;
    if (!can_ask) {
        done();
        return;
    }
    if (m_waiting.empty()) {
        m_confirm_timer->start(max_confirm_wait);
    }
    m_waiting.push_back(std::move(done));
    if (!m_is_comparing) {
        compare_with_store();
    }
}

void configuration_task::compare_with_store() {
    const std::string key(platform::configuration_key);
    const auto known = m_watch.items().find(key);
    m_is_comparing = true;
    m_store.compare(key, known == m_watch.items().end() ? 0 : known->second.revision,
                    [this, sent_at = event_loop::now(),
                     alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
                        if (alive.expired()) {
                            return;
                        }
                        m_is_comparing = false;
                        for (const platform::store_item& item : answer.items) {
                            m_watch.apply(item);
                        }
                        if (answer.status == platform::store_status::ok || !answer.items.empty()) {
                            m_compared_at = sent_at;
                        }
                        release_waiting();
                    });
}

void configuration_task::release_waiting() {
    for (const auto& done : std::exchange(m_waiting, {})) {
        done();
    }
}

void configuration_task::apply_wave(const platform::store_item& item) {
    if (item.deleted) {
        return;
    }
    const auto wave = platform::decode_wave(item.value);
    if (!wave) {
        log_event(event_id::wave_damaged, {{"key", item.key}, {"revision", item.revision}});
        return;
    }
    m_waves[wave->number] = *wave;
    log_event(event_id::wave_seen, {{"wave", wave->number},
                                    {"machines", wave->machines.size()},
                                    {"at_once", wave->max_concurrent},
                                    {"duration_ms", wave->duration.count()}});
    m_on_change();
}

void configuration_task::apply_item(const platform::store_item& item) {
    if (item.key.starts_with(platform::wave_prefix)) {
        apply_wave(item);
        return;
    }
    if (item.key != platform::configuration_key || item.deleted) {
        return;
    }
    findings problems;
    auto configuration = platform::decode_configuration(item.value, problems);
    for (const finding& problem :
         std::span(problems.items()).first(std::min(problems.items().size(), max_logged_problems))) {
        log_event(event_id::fleet_config_damaged,
                  {{"revision", item.revision}, {"place", problem.location}, {"problem", problem.message}});
    }
    m_newest_is_readable = configuration.has_value();
    if (!configuration) {
        return;
    }
    if (configuration->version <= m_current.version) {
        return;
    }
    log_event(event_id::fleet_config_in_force, {{"version", configuration->version},
                                                {"before", m_current.version},
                                                {"revision", item.revision},
                                                {"bytes", m_watch.last_transfer().bytes},
                                                {"items", m_watch.last_transfer().items},
                                                {"receive_ms", m_watch.last_transfer().receive_time.count()},
                                                {"queues", configuration->queues.size()},
                                                {"accounts", configuration->accounts.all().size()}});
    m_current = std::move(*configuration);
    m_on_change();
}

} // namespace siskinpaddle::node
