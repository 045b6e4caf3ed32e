#include "fakes/task_machine.hpp"

#include "platform/platform.hpp"

#include <algorithm>

namespace siskinpaddle::fakes {

namespace {

/// The platform removes an unresponsive VM from its list after three heartbeats.
constexpr milliseconds delist_delay = 4500ms;
/// A VM whose port another process has taken meanwhile starts again this much later.
constexpr milliseconds port_retry_delay = 50ms;

} // namespace

task_machine::task_machine(event_loop& loop, platform_store& store, settings options)
    : m_loop(loop), m_store(store), m_settings(std::move(options)),
      m_crash_timer(loop.make_timer([this] { crash(); })),
      m_restart_timer(loop.make_timer([this] { start_incarnation(); })) {}

bool task_machine::start() {
    start_incarnation();
    return !m_listen_failed;
}

void task_machine::start_incarnation() {
    if (m_vm != nullptr || m_restart_blocks > 0) {
        return;
    }
    const std::string id = m_settings.keeps_id
                               ? m_settings.name
                               : m_settings.name + "-" + std::to_string(m_incarnation_count + 1);
    m_vm = std::make_unique<task_vm>(m_loop, id, m_settings.run_time);
    m_listen_failed = !m_vm->listen({"127.0.0.1", m_port});
    if (m_listen_failed) {
        m_vm.reset();
        m_restart_timer->start(port_retry_delay);
        return;
    }
    ++m_incarnation_count;
    m_port = m_vm->port();
    m_vm->set_machine(m_settings.name);
    m_vm->set_clock_rate(m_settings.clock_rate);
    m_vm->set_max_lease(m_settings.max_lease);
    if (m_settings.keeps_id) {
        m_started_ms = std::max(m_started_ms + 1, wall_clock_ms());
        m_vm->set_started(m_started_ms,
                          m_incarnation_count == 1 ? first_clock_ms : m_settings.restart_clock_ms);
        m_vm->add_late_calls(std::exchange(m_late_calls, {}));
        m_delist_at.erase(id);
    }
    // The VM must not be destroyed within its own timer's callback.
    m_vm->on_crash([this] { m_crash_timer->start(0ms); });
    if (m_on_incarnation_start) {
        m_on_incarnation_start({"127.0.0.1", m_port});
    }
    register_vm();
}

std::string task_machine::record_name() const {
    return m_settings.keeps_id ? m_vm->incarnation() + "/" + std::to_string(m_started_ms)
                               : m_vm->incarnation();
}

void task_machine::register_vm() {
    m_vm->set_capacity(m_capacity);
    m_capacities.push_back({record_name(), event_loop::now(), m_capacity.cpu_millicores});
    m_store.put(platform::vm_key(m_vm->incarnation()),
                m_vm->registration(m_settings.pool, m_registered_port.value_or(m_port)));
}

void task_machine::drain() {
    if (m_vm != nullptr) {
        m_vm->set_draining();
        register_vm();
    }
}

void task_machine::set_capacity(const jobs::resources& capacity) {
    m_capacity = capacity;
    if (m_vm != nullptr) {
        register_vm();
    }
}

void task_machine::crash() {
    if (m_vm == nullptr) {
        return;
    }
    for (task_vm::run_record run : m_vm->runs()) {
        if (run.ended_at == timestamp(0)) {
            run.ended_at = event_loop::now();
            run.outcome = "crashed";
        }
        m_past_runs.push_back({record_name(), run});
    }
    if (m_settings.keeps_id) {
        m_late_calls = m_vm->take_late_calls();
    }
    m_delist_at[m_vm->incarnation()] = event_loop::now() + delist_delay;
    m_vm.reset();
    m_restart_timer->start(m_settings.down_time);
}

void task_machine::restart() {
    crash();
    m_restart_timer->start(0ms);
}

void task_machine::block_restart(bool enabled) {
    m_restart_blocks += enabled ? 1 : -1;
    if (m_restart_blocks == 0 && m_vm == nullptr) {
        m_restart_timer->start(0ms);
    }
}

void task_machine::remove_expired_registrations() {
    std::erase_if(m_delist_at, [this](const auto& item) {
        if (event_loop::now() < item.second) {
            return false;
        }
        m_store.remove(platform::vm_key(item.first));
        return true;
    });
}

std::vector<vm_run> task_machine::runs() const {
    std::vector<vm_run> result = m_past_runs;
    if (m_vm != nullptr) {
        for (const task_vm::run_record& run : m_vm->runs()) {
            result.push_back({record_name(), run});
        }
    }
    return result;
}

} // namespace siskinpaddle::fakes
