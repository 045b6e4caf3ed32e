#pragma once

#include "core/core.hpp"

namespace siskinpaddle {

/// What an entry may do after a pause.
enum class pause_verdict : std::uint8_t {
    none,             ///< Not paused: route.
    refresh_required, ///< Paused: refuse until the own registration has been seen in force again.
};

/// Notices that the process was stopped for a while: by a signal, a suspended VM or starvation.
///
/// Guards against routing by knowledge from before the pause. While an entry stands paused, its registration
/// may have been removed by an operator or with its VM, and VMs may have changed pool since. It shows as a
/// gap between two readings of the clock that is far longer than the loop's ticks; the guard holds because
/// every request asks here first, so the gap is seen before anything is sent. Pure; not thread-safe.
class pause_detector {
  public:
    /// A gap above this counts as a pause. Below the least time in which a registration can be removed.
    static constexpr milliseconds pause_threshold = 2s;

    /// Reads the clock; call at each tick and before each routing decision.
    pause_verdict check(timestamp now) noexcept {
        if (m_last_check != timestamp{0} && now - m_last_check > pause_threshold) {
            m_needs_refresh = true;
        }
        m_last_check = now;
        return m_needs_refresh ? pause_verdict::refresh_required : pause_verdict::none;
    }

    /// The own registration was read, after the pause, from the platform or from a peer that isn't paused.
    void mark_refreshed() noexcept { m_needs_refresh = false; }

  private:
    timestamp m_last_check{0};
    bool m_needs_refresh = false;
};

} // namespace siskinpaddle
