#include "jobs/start_window.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

void start_window::sent(const task_id& task, std::uint32_t attempt, std::size_t payload_bytes,
                        std::int64_t work, timestamp now) {
    m_started.push_back({work, now});
    m_entries.push_back({task, attempt, m_settings.overhead_bytes + payload_bytes, now});
    m_bytes += m_entries.back().bytes;
}

void start_window::settled(const task_id& task, std::uint32_t attempt) {
    const auto found = std::ranges::find_if(
        m_entries, [&](const entry& item) { return item.attempt == attempt && item.task == task; });
    if (found == m_entries.end()) {
        return;
    }
    m_bytes -= found->bytes;
    m_entries.erase(found);
}

void start_window::forget_silent(timestamp now) {
    while (!m_entries.empty() && now - m_entries.front().sent_at > m_settings.answer_patience) {
        m_bytes -= m_entries.front().bytes;
        m_entries.pop_front();
    }
}

bool start_window::open(timestamp now) {
    forget_silent(now);
    const std::size_t bound = m_full ? m_settings.most_bytes / 2 : m_settings.most_bytes;
    m_full = m_bytes >= bound;
    if (m_full && !m_held_since) {
        m_held_since = now;
    }
    return !m_full;
}

std::optional<std::int64_t> start_window::sustained_millicores(timestamp now) {
    while (!m_started.empty() && now - m_started.front().at > m_settings.rate_span) {
        m_started.pop_front();
    }
    if (!m_held_since || now - *m_held_since < m_settings.least_span) {
        return std::nullopt;
    }
    const timestamp since = std::max(*m_held_since, now - m_settings.rate_span);
    std::int64_t work = 0;
    for (const started_work& item : m_started) {
        work += item.at >= since ? item.work : 0;
    }
    return work / (now - since).count();
}

} // namespace siskinpaddle::jobs
