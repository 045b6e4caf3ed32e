#pragma once

#include "control/state_task.hpp"

#include <functional>
#include <memory>
#include <set>

namespace siskinpaddle {

/// Checks the health of targets: of returning VMs, of serving VMs in this entry's zone that any entry
/// suspects, and periodically of all serving VMs that this entry is responsible for. Not thread-safe.
class health_task {
  public:
    /// Calls `on_result` with the result of each check of a serving VM.
    health_task(event_loop& loop, const entry_settings& settings, state_task& state,
                std::function<void(const std::string& vm, bool good)> on_result);

    void start();

    /// Returns the returning VMs that have passed a check since they entered that state.
    [[nodiscard]] std::set<std::string> healthy_vms() const;

    /// Sets the VMs that this entry's requests and health checks suspect; these VMs are checked at each tick.
    void set_suspects(std::set<std::string> vms) { m_own_suspects = std::move(vms); }

  private:
    void tick();
    void check_vm(const vm_record& vm);

    const entry_settings& m_settings;
    state_task& m_state;
    std::function<void(const std::string&, bool)> m_on_result;
    http_client m_client;
    /// By VM that has passed its check: fleet revision at which it entered `returning`.
    std::map<std::string, std::uint64_t> m_passed_revisions;
    std::set<std::string> m_own_suspects;
    std::set<std::string> m_checks_in_flight;
    std::map<std::string, timestamp> m_last_checks;
    std::unique_ptr<timer> m_timer;
};

} // namespace siskinpaddle
