#include "control/health_task.hpp"

namespace siskinpaddle {

namespace {

constexpr milliseconds tick_interval = 500ms;
constexpr milliseconds check_timeout = 800ms;
constexpr milliseconds routine_interval = 5s;

} // namespace

health_task::health_task(event_loop& loop, const entry_settings& settings, state_task& state,
                         std::function<void(const std::string&, bool)> on_result)
    : m_settings(settings), m_state(state), m_on_result(std::move(on_result)), m_client(loop),
      m_timer(loop.make_timer([this] { tick(); })) {}

void health_task::start() {
    m_timer->start(tick_interval);
}

std::set<std::string> health_task::healthy_vms() const {
    std::set<std::string> vms;
    for (const auto& [id, state_revision] : m_passed_revisions) {
        const vm_record* vm = m_state.fleet().find_vm(id);
        if (vm != nullptr && vm->state == vm_state::returning && vm->state_revision == state_revision) {
            vms.insert(id);
        }
    }
    return vms;
}

void health_task::tick() {
    const timestamp now = event_loop::now();
    const std::set<std::string> silent = m_state.find_silent_entries();
    std::set<std::string> suspects = m_own_suspects;
    for (const auto& [id, report] : m_state.reports()) {
        if (!silent.contains(id)) {
            suspects.insert(report.suspect_vms.begin(), report.suspect_vms.end());
        }
    }
    for (const vm_record& vm : m_state.fleet().vms) {
        const bool is_responsible = find_responsible_entry(m_state.fleet(), vm, silent) == m_settings.id;
        const bool is_returning = vm.state == vm_state::returning && is_responsible;
        const bool is_suspect = vm.state == vm_state::serving && suspects.contains(vm.id) &&
                                vm.availability_zone == m_settings.availability_zone;
        const bool is_routine_due =
            vm.state == vm_state::serving && is_responsible && now - m_last_checks[vm.id] >= routine_interval;
        if (is_returning || is_suspect || is_routine_due) {
            check_vm(vm);
        }
    }
    std::erase_if(m_passed_revisions, [this](const auto& item) {
        const vm_record* vm = m_state.fleet().find_vm(item.first);
        return vm == nullptr || vm->state_revision != item.second;
    });
    m_timer->start(tick_interval);
}

void health_task::check_vm(const vm_record& vm) {
    if (!m_checks_in_flight.insert(vm.id).second) {
        return;
    }
    m_last_checks[vm.id] = event_loop::now();
    http_call call;
    call.to = {vm.address, vm.port};
    call.target = "/health";
    call.timeout = check_timeout;
    call.fresh_connection = true;
    m_client.send(std::move(call),
                  [this, id = vm.id, state_revision = vm.state_revision](const http_answer& answer) {
                      m_checks_in_flight.erase(id);
                      const vm_record* current = m_state.fleet().find_vm(id);
                      if (current == nullptr || current->state_revision != state_revision) {
                          return;
                      }
                      // A target that still runs the services of another pool is not healthy for the VM's
                      // current pool.
                      const std::string_view pool = answer.headers.get("Target-Pool");
                      const bool passed = answer.status == exchange_status::answered && answer.code == 200 &&
                                          (pool.empty() || pool == current->pool);
                      if (current->state == vm_state::returning && passed) {
                          m_passed_revisions[id] = state_revision;
                      } else if (current->state == vm_state::serving) {
                          m_on_result(id, passed);
                      }
                  });
}

} // namespace siskinpaddle
