#include "net/loop_clock.hpp"

#include <algorithm>

namespace siskinpaddle {

loop_clock::loop_clock(event_loop& loop) : m_timer(loop.make_timer([this] { advance(); })) {}

void loop_clock::start() {
    if (m_last_tick_at != timestamp(0)) {
        return;
    }
    m_last_tick_at = event_loop::now();
    m_timer->start(tick);
}

void loop_clock::stop() {
    m_elapsed = read(event_loop::now());
    m_last_tick_at = timestamp(0);
    m_timer->cancel();
}

milliseconds loop_clock::read(timestamp now) const {
    if (m_last_tick_at == timestamp(0)) {
        return m_elapsed;
    }
    return m_elapsed + std::clamp(now - m_last_tick_at, milliseconds(0), tick);
}

void loop_clock::advance() {
    const timestamp now = event_loop::now();
    m_elapsed = read(now);
    m_last_tick_at = now;
    m_timer->start(tick);
}

} // namespace siskinpaddle
