#include "jobs/start_window.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

void start_window::record_sent(const task_id& task, std::uint32_t attempt, std::size_t payload_bytes,
                               std::int64_t work, timestamp now) {
    m_started.push_back({work, now});
    m_in_flight.push_back({task, attempt, m_settings.overhead_bytes + payload_bytes, now});
    m_bytes += m_in_flight.back().bytes;
}

void start_window::release(const task_id& task, std::uint32_t attempt) {
    const auto found = std::ranges::find_if(m_in_flight, [&](const in_flight_start& item) {
        return item.attempt == attempt && item.task == task;
    });
    if (found == m_in_flight.end()) {
        return;
    }
    m_bytes -= found->bytes;
    m_in_flight.erase(found);
}

void start_window::drop_timed_out(timestamp now) {
    while (!m_in_flight.empty() && now - m_in_flight.front().sent_at > m_settings.answer_timeout) {
        m_bytes -= m_in_flight.front().bytes;
        m_in_flight.pop_front();
    }
}

bool start_window::can_send(timestamp now) {
    drop_timed_out(now);
    const std::size_t bound = m_full ? m_settings.max_bytes_in_flight / 2 : m_settings.max_bytes_in_flight;
    m_full = m_bytes >= bound;
    if (m_full && !m_throttled_since) {
        m_throttled_since = now;
    }
    return !m_full;
}

std::optional<std::int64_t> start_window::sustained_millicores(timestamp now) {
    while (!m_started.empty() && now - m_started.front().started_at > m_settings.rate_window) {
        m_started.pop_front();
    }
    if (!m_throttled_since || now - *m_throttled_since < m_settings.min_throttled_time) {
        return std::nullopt;
    }
    const timestamp since = std::max(*m_throttled_since, now - m_settings.rate_window);
    std::int64_t work = 0;
    for (const started_work& item : m_started) {
        work += item.started_at >= since ? item.work : 0;
    }
    return work / (now - since).count();
}

} // namespace siskinpaddle::jobs
