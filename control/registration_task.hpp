#pragma once

#include "control/state_task.hpp"

#include <functional>
#include <memory>

namespace siskinpaddle {

/// Registers this entry in the fleet record, so that planned steps wait for its confirmation, and registers
/// it again when the registration is lost. Removes the entry on a graceful stop. Not thread-safe.
class registration_task {
  public:
    registration_task(event_loop& loop, const entry_settings& settings, platform_client& platform,
                      state_task& state);

    void start();

    /// Removes the entry from the fleet record and never registers it again. Calls `done` with true when the
    /// removal is confirmed by the store.
    void deregister(std::function<void(bool)> done);

  private:
    void check_registration();
    void register_entry();
    [[nodiscard]] entry_record make_own_record() const;

    const entry_settings& m_settings;
    platform_client& m_platform;
    state_task& m_state;
    std::unique_ptr<timer> m_timer;
    bool m_registering = false;
    bool m_deregistering = false;
    bool m_was_registered = false;
};

} // namespace siskinpaddle
