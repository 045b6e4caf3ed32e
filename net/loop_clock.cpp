#include "net/loop_clock.hpp"

#include <algorithm>

namespace siskinpaddle {

loop_clock::loop_clock(event_loop& loop) : m_timer(loop.make_timer([this] { advance(); })) {}

void loop_clock::run() {
    if (m_ticked_at != timestamp(0)) {
        return;
    }
    m_ticked_at = event_loop::now();
    m_timer->start(tick);
}

void loop_clock::rest() {
    m_passed = read(event_loop::now());
    m_ticked_at = timestamp(0);
    m_timer->cancel();
}

milliseconds loop_clock::read(timestamp now) const {
    if (m_ticked_at == timestamp(0)) {
        return m_passed;
    }
    return m_passed + std::clamp(now - m_ticked_at, milliseconds(0), tick);
}

void loop_clock::advance() {
    const timestamp now = event_loop::now();
    m_passed = read(now);
    m_ticked_at = now;
    m_timer->start(tick);
}

} // namespace siskinpaddle
