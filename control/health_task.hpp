#pragma once

#include "control/state_task.hpp"

#include <functional>
#include <memory>
#include <set>

namespace siskinpaddle {

/// Checks the health of targets: those that return from maintenance, those that any entry of the zone
/// suspects, and in turn all that this entry is in charge of.
class health_task {
  public:
    /// `on_result` is told of each check of a serving VM.
    health_task(event_loop& loop, const entry_settings& settings, state_task& state,
                std::function<void(const std::string& vm, bool good)> on_result);

    void start();

    /// Returning VMs that have passed their check since they entered that state.
    [[nodiscard]] std::set<std::string> healthy_vms() const;

    /// VMs that this entry's own requests suspect; checked with the next tick.
    void set_suspects(std::set<std::string> vms) { m_own_suspects = std::move(vms); }

  private:
    void tick();
    void check_vm(const vm_record& vm);

    const entry_settings& m_settings;
    state_task& m_state;
    std::function<void(const std::string&, bool)> m_on_result;
    http_client m_client;
    std::map<std::string, std::uint64_t>
        m_passed_revisions; ///< Returning VM: the revision at which it began to return.
    std::set<std::string> m_own_suspects;
    std::set<std::string> m_checks_in_flight;
    std::map<std::string, timestamp> m_last_checks;
    std::unique_ptr<timer> m_timer;
};

} // namespace siskinpaddle
