#include "jobs/start_settling.hpp"

#include <algorithm>
#include <cmath>

namespace siskinpaddle::jobs {

namespace {

/// Weights of a new answer in the estimates, as in the retransmission timers of TCP.
constexpr double mean_weight = 1.0 / 8;
constexpr double deviation_weight = 1.0 / 4;

constexpr milliseconds limit_window = 1s;

} // namespace

void start_settling::record_start_answer(timestamp sent_at, timestamp now) {
    record_response(now);
    const auto time_ms = static_cast<double>((now - sent_at).count());
    if (m_answers++ == 0) {
        m_mean_ms = time_ms;
        m_deviation_ms = time_ms / 2;
        return;
    }
    m_deviation_ms += deviation_weight * (std::abs(time_ms - m_mean_ms) - m_deviation_ms);
    m_mean_ms += mean_weight * (time_ms - m_mean_ms);
}

milliseconds start_settling::wait() const noexcept {
    if (m_answers < m_settings.min_answers) {
        return m_settings.call_timeout;
    }
    const double overdue_ms = m_settings.answer_time_multiple * (m_mean_ms + m_deviation_ms);
    return std::clamp(milliseconds(std::llround(overdue_ms)), m_settings.min_wait, m_settings.call_timeout);
}

milliseconds start_settling::answer_time() const noexcept {
    return milliseconds(std::llround(m_mean_ms));
}

bool start_settling::settle(timestamp sent_at, timestamp now) {
    const milliseconds limit = wait();
    const bool overdue = limit < m_settings.call_timeout && now - sent_at >= limit;
    if (!overdue || m_last_response_at - sent_at < limit / 2) {
        return false;
    }
    while (!m_settled.empty() && now - m_settled.front() >= limit_window) {
        m_settled.pop_front();
    }
    if (m_settled.size() >= m_settings.max_per_second) {
        return false;
    }
    m_settled.push_back(now);
    return true;
}

} // namespace siskinpaddle::jobs
