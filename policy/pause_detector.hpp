#pragma once

#include "core/core.hpp"

namespace siskinpaddle {

/// Whether an entry may route requests after a check for pauses.
enum class pause_verdict : std::uint8_t {
    /// No pause: the entry may route requests.
    none,
    /// After a pause: refuse requests until the entry's registration is confirmed to be in force.
    refresh_required,
};

/// Detects that the process was paused: stopped by a signal, on a suspended VM or starved of processor time.
///
/// Prevents an entry from routing by state from before the pause. During a pause the entry's registration may
/// be removed by an operator or together with its VM, and VMs may change pool. A pause shows as a gap between
/// two clock readings that is far longer than the event loop's tick interval. Every routing decision calls
/// `check` first, so the gap is detected before anything is sent. Pure; not thread-safe.
class pause_detector {
  public:
    /// A longer gap counts as a pause. Shorter than the minimum time in which a registration can be removed.
    static constexpr milliseconds pause_threshold = 2s;

    /// Checks the time since the last call. Must be called at each tick and before each routing decision.
    pause_verdict check(timestamp now) noexcept {
        if (m_last_check != timestamp{0} && now - m_last_check > pause_threshold) {
            m_needs_refresh = true;
        }
        m_last_check = now;
        return m_needs_refresh ? pause_verdict::refresh_required : pause_verdict::none;
    }

    /// Ends the refusal of requests. Must be called only when the entry's registration has been read, after
    /// the pause, from the platform or from a peer that isn't paused.
    void mark_refreshed() noexcept { m_needs_refresh = false; }

  private:
    timestamp m_last_check{0};
    bool m_needs_refresh = false;
};

} // namespace siskinpaddle
