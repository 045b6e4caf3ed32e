#include "control/state_task.hpp"

#include <chrono>
#include <random>

namespace siskinpaddle {

namespace {

constexpr milliseconds watch_timeout = 30s;
constexpr milliseconds min_backoff = 200ms;
constexpr milliseconds max_backoff = 5s;

entry_report to_report(const heartbeat& message, timestamp now) {
    entry_report report;
    report.incarnation = message.incarnation;
    const auto revision = [&message](std::string_view name) {
        const auto found = message.revisions.find(std::string(name));
        return found == message.revisions.end() ? 0 : found->second;
    };
    report.applied_config = revision(config_value);
    report.applied_fleet = revision(fleet_value);
    report.received_at = now;
    report.busy_vms = message.busy_vms;
    report.suspect_vms = message.suspect_vms;
    report.healthy_vms = message.healthy_vms;
    return report;
}

} // namespace

state_task::state_task(event_loop& loop, const entry_settings& settings, platform_client& platform)
    : m_loop(loop), m_settings(settings), m_platform(platform),
      m_peers(loop, settings.peer_key,
              {[this](const heartbeat& message) { handle_heartbeat(message); },
               [this](const value_request& request) { return m_replica.build_reply(request); }}),
      m_random(hash64(settings.id) ^ std::random_device()()),
      m_incarnation(static_cast<std::uint64_t>(wall_clock_ms())),
      m_heartbeat_timer(loop.make_timer([this] { tick(); })) {}

bool state_task::listen() {
    return m_peers.listen(m_settings.peers);
}

void state_task::start() {
    refresh([](bool) {});
    tick();
}

void state_task::raise_incarnation(std::uint64_t above) {
    m_incarnation = std::max(m_incarnation, above + 1);
}

bool state_task::is_registered() const {
    const entry_record* own = fleet().find_entry(m_settings.id);
    return own != nullptr && own->incarnation == m_incarnation;
}

void state_task::tick() {
    ++m_tick_count;
    send_heartbeats(false);
    start_missing_watches();
    // Jitter prevents the heartbeats of the entries from synchronizing.
    const auto interval = static_cast<std::uint64_t>(m_settings.heartbeat_interval.count());
    m_heartbeat_timer->start(milliseconds(interval * 9 / 10 + m_random.next_below(interval / 5 + 1)));
}

heartbeat state_task::make_own_heartbeat() {
    heartbeat message;
    message.id = m_settings.id;
    message.availability_zone = m_settings.availability_zone;
    message.address = m_settings.peers.address;
    message.peer_port = m_settings.peers.port;
    message.incarnation = m_incarnation;
    message.sequence = ++m_heartbeat_sequence;
    message.ready = m_is_ready;
    message.revisions = m_replica.revisions();
    for (const auto& filler : m_heartbeat_fillers) {
        filler(message);
    }
    return message;
}

void state_task::send_heartbeats(bool value_changed) {
    if (!is_registered()) {
        return;
    }
    const heartbeat message = make_own_heartbeat();
    std::vector<entry_record> peers = select_heartbeat_peers(fleet(), m_settings.id, m_tick_count);
    if (value_changed) {
        for (const entry_record& peer : select_peers_to_notify(fleet(), m_settings.id)) {
            peers.push_back(peer);
        }
    }
    std::set<std::string> sent_to;
    for (const entry_record& peer : peers) {
        if (sent_to.insert(peer.id).second) {
            m_peers.send(message, {peer.address, peer.peer_port});
        }
    }
}

void state_task::handle_heartbeat(const heartbeat& message) {
    const timestamp now = event_loop::now();
    m_last_heartbeats[message.id] = now;
    m_reports[message.id] = to_report(message, now);
    if (m_replica.is_behind(message.revisions)) {
        pull_from({message.address, message.peer_port});
    }
}

void state_task::pull_from(const endpoint& peer, std::function<void(bool)> done) {
    if (m_pulling && !done) {
        return;
    }
    m_pulling = true;
    m_peers.pull({m_settings.id, m_replica.revisions()}, peer,
                 [this, done = std::move(done)](const std::optional<value_reply>& reply) {
                     m_pulling = false;
                     if (reply) {
                         apply_reply(*reply);
                     }
                     if (done) {
                         done(reply.has_value());
                     }
                 });
}

void state_task::apply_reply(const value_reply& reply) {
    for (const value_transfer& transfer : reply.values) {
        const apply_result result = m_replica.apply_transfer(transfer);
        handle_apply_result(transfer.name, result, transfer.revision);
    }
}

void state_task::apply_value(const std::string& name, const stored_value& value) {
    const apply_result result = m_replica.apply_stored(name, value.bytes, value.version);
    handle_apply_result(name, result, value.version);
}

void state_task::handle_apply_result(const std::string& name, apply_result result, std::uint64_t revision) {
    const bool is_config = name == config_value;
    switch (result) {
    case apply_result::applied:
        handle_change(name);
        return;
    case apply_result::older:
        log_event(is_config ? event_id::config_older_refused : event_id::fleet_older_refused,
                  {{"value", name}, {"offered", revision}, {"in_force", m_replica.revision(name)}});
        return;
    case apply_result::damaged:
        log_event(is_config ? event_id::config_damaged : event_id::fleet_damaged, {{"value", name}});
        return;
    case apply_result::same:
    case apply_result::wrong_base:
        return;
    }
}

void state_task::handle_change(const std::string& name) {
    log_event(name == config_value ? event_id::config_in_force : event_id::fleet_in_force,
              {{"value", name}, {"revision", m_replica.revision(name)}});
    for (const auto& handler : m_change_handlers) {
        handler(name);
    }
    send_heartbeats(true);
}

std::vector<std::string> state_task::value_names() const {
    std::vector<std::string> names{std::string(config_value), std::string(fleet_value)};
    for (const auto& [pool, settings] : config().pools) {
        names.push_back(std::string(jobs_prefix) + pool);
    }
    return names;
}

void state_task::start_missing_watches() {
    if (!watches_store(fleet(), m_settings.id, find_silent_entries())) {
        return;
    }
    for (const std::string& name : value_names()) {
        watch_state& state = m_watches[name];
        if (!state.is_active) {
            state.is_active = true;
            watch_value(name);
        }
    }
}

void state_task::watch_value(const std::string& name) {
    m_platform.watch(name, m_replica.store_version(name), watch_timeout,
                     [this, name](const store_answer& answer) { handle_watch_answer(name, answer); });
}

void state_task::handle_watch_answer(const std::string& name, const store_answer& answer) {
    watch_state& state = m_watches[name];
    const bool answered = answer.status == store_status::ok || answer.status == store_status::unchanged ||
                          answer.status == store_status::absent;
    if (answer.status == store_status::ok) {
        apply_value(name, answer.value);
    }
    if (answered && state.consecutive_failures > 0) {
        log_event(event_id::platform_back, {{"value", name}});
    } else if (!answered && state.consecutive_failures == 0) {
        log_event(event_id::platform_unreachable, {{"value", name}, {"status", name_of(answer.status)}});
    }
    state.consecutive_failures = answered ? 0 : state.consecutive_failures + 1;
    // Full jitter spreads the retries of all watching entries over the time in which a slow platform
    // recovers.
    const milliseconds max_delay =
        std::min(max_backoff, min_backoff * (1 << std::min(state.consecutive_failures, 5)));
    const bool is_immediate = answer.status == store_status::ok || answer.status == store_status::unchanged;
    const milliseconds delay =
        is_immediate ? 1ms
                     : milliseconds(1 + m_random.next_below(static_cast<std::uint64_t>(max_delay.count())));
    state.retry_timer = m_loop.make_timer([this, name] {
        // Another entry of the zone may have taken over the watch during the delay.
        if (watches_store(fleet(), m_settings.id, find_silent_entries())) {
            watch_value(name);
        } else {
            m_watches[name].is_active = false;
        }
    });
    state.retry_timer->start(delay);
}

void state_task::refresh(const std::function<void(bool)>& done) {
    m_platform.get(std::string(config_value), [this, done](const store_answer& config) {
        if (config.status == store_status::ok) {
            apply_value(std::string(config_value), config.value);
        }
        m_platform.get(std::string(fleet_value), [this, done](const store_answer& answer) {
            if (answer.status == store_status::ok) {
                apply_value(std::string(fleet_value), answer.value);
            }
            if (answer.status == store_status::ok || answer.status == store_status::absent) {
                done(true);
                return;
            }
            std::vector<endpoint> peers = m_settings.seed_peers;
            for (const entry_record& entry : fleet().entries) {
                if (entry.id != m_settings.id) {
                    peers.push_back({entry.address, entry.peer_port});
                }
            }
            if (peers.empty()) {
                done(false);
                return;
            }
            pull_from(peers[m_random.next_below(peers.size())], done);
        });
    });
}

const std::map<std::string, entry_report>& state_task::reports() {
    m_reports[m_settings.id] = to_report(make_own_heartbeat(), event_loop::now());
    return m_reports;
}

std::set<std::string> state_task::find_silent_entries() const {
    return find_silent_peers(fleet(), m_last_heartbeats, m_settings.id, event_loop::now());
}

void state_task::probe_silent_entries() {
    for (const std::string& id : find_silent_entries()) {
        const entry_record* entry = fleet().find_entry(id);
        m_peers.probe({entry->address, entry->peer_port}, [this, record = *entry](bool refused) {
            entry_report& report = m_reports[record.id];
            if (report.incarnation < record.incarnation) {
                // The registered incarnation has not reported yet. The result of the probe belongs to it, so
                // a new report replaces that of the earlier incarnation.
                report = {};
                report.incarnation = record.incarnation;
                report.received_at = event_loop::now();
            }
            report.has_process_ended = refused && report.incarnation == record.incarnation;
        });
    }
}

} // namespace siskinpaddle
