#include "main/entry.hpp"

#include <random>

namespace siskinpaddle {

namespace {

constexpr milliseconds tick_interval = 100ms;
/// Time for which a draining entry must be idle before it deregisters, because a caller may just be sending a
/// request on a keep-alive connection.
constexpr milliseconds min_idle_time = 300ms;
/// Time limit for the removal from the fleet record. If the platform is unreachable, the entry stops without
/// it, and other entries detect its end by its refused port.
constexpr milliseconds deregister_timeout = 5s;

} // namespace

entry::entry(event_loop& loop, const entry_settings& settings)
    : m_loop(loop), m_settings(settings), m_platform(loop, settings.platform, settings.id),
      m_workers(loop, settings.id), m_state(loop, settings, m_platform),
      m_claims(loop, m_platform, m_metrics, std::random_device()() ^ hash64(settings.id)),
      m_registration(loop, settings, m_platform, m_state),
      m_planner(loop, settings, m_platform, m_state, m_metrics),
      m_runner(loop, settings, m_platform, m_state, m_workers, m_metrics),
      m_caller_gateway(loop, settings, m_state, m_claims, m_metrics),
      m_operator_gateway(loop, settings, m_platform, m_state, m_planner, m_metrics),
      m_health(loop, settings, m_state,
               [this](const std::string& vm, bool passed) { m_caller_gateway.on_health_check(vm, passed); }),
      m_timer(loop.make_timer([this] { tick(); })) {
    m_state.add_heartbeat_filler(
        [this](heartbeat& message) { message.healthy_vms = m_health.healthy_vms(); });
}

findings entry::listen() {
    findings problems;
    if (!m_state.listen()) {
        problems.add("/peers", "can't bind " + m_settings.peers.to_string());
    }
    if (!m_caller_gateway.listen()) {
        problems.add("/callers", "can't bind " + m_settings.callers.to_string());
    }
    if (!m_operator_gateway.listen()) {
        problems.add("/operators", "can't bind " + m_settings.operators.to_string());
    }
    return problems;
}

void entry::start() {
    log_event(event_id::entry_started, {{"zone", m_settings.availability_zone},
                                        {"callers", m_settings.callers.to_string()},
                                        {"operators", m_settings.operators.to_string()}});
    m_state.start();
    m_registration.start();
    m_planner.start();
    m_runner.start();
    m_caller_gateway.start();
    m_health.start();
    tick();
}

void entry::tick() {
    flush_event_log();
    m_health.set_suspects(m_caller_gateway.targets().suspect_vms());
    const bool ready = m_caller_gateway.is_ready();
    m_state.set_ready(ready);
    if (ready != m_was_ready && !m_draining) {
        log_event(ready ? event_id::entry_ready : event_id::entry_not_ready,
                  {{"config", m_state.config().number}, {"fleet", m_state.fleet().revision}});
        m_was_ready = ready;
    }
    if (const std::uint64_t refused = m_state.usage().refused; refused > m_refused_messages) {
        log_event(event_id::peer_message_refused, {{"since_start", refused}});
        m_refused_messages = refused;
    }
    if (m_draining) {
        finish_drain();
    }
    m_timer->start(tick_interval);
}

void entry::drain(std::function<void()> on_stopped) {
    if (m_draining) {
        return;
    }
    m_draining = true;
    m_on_stopped = std::move(on_stopped);
    m_drain_started_at = event_loop::now();
    log_event(event_id::entry_draining);
    m_caller_gateway.drain();
    m_planner.stop();
}

void entry::finish_drain() {
    const timestamp now = event_loop::now();
    if (!m_caller_gateway.is_idle()) {
        m_idle_since = now;
    }
    const bool overdue = now - m_drain_started_at >= m_settings.drain_timeout;
    if (m_deregistering || (now - std::max(m_idle_since, m_drain_started_at) < min_idle_time && !overdue)) {
        return;
    }
    m_deregistering = true;
    const auto stop = [this] {
        log_event(event_id::entry_stopped);
        m_on_stopped();
    };
    m_registration.deregister([stop](bool) { stop(); });
    m_timer = m_loop.make_timer(stop);
    m_timer->start(deregister_timeout);
}

} // namespace siskinpaddle
