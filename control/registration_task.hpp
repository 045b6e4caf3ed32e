#pragma once

#include "control/state_task.hpp"

#include <functional>
#include <memory>

namespace siskinpaddle {

/// Keeps this entry in the fleet record, so that planned steps wait for it, and takes it out on a graceful
/// stop.
class registration_task {
  public:
    registration_task(event_loop& loop, const entry_settings& settings, platform_client& platform,
                      state_task& state);

    void start();

    /// Takes the entry out of the record; `done` is told whether the platform holds that. Registers no more.
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
