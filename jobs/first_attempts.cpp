#include "jobs/first_attempts.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

void first_attempts::record_refusal(const std::string& job, timestamp keep_until, timestamp now) {
    remove_expired(now);
    if (keep_until <= now) {
        return;
    }
    const auto [entry, added] = m_attempts.try_emplace(job, attempt{now, keep_until});
    if (!added) {
        m_by_keep_until.erase({entry->second.keep_until, job});
        entry->second.keep_until = std::max(entry->second.keep_until, keep_until);
    }
    m_by_time.emplace(entry->second.at, job);
    m_by_keep_until.emplace(entry->second.keep_until, job);
    if (m_attempts.size() <= max_jobs) {
        return;
    }
    const auto oldest = m_attempts.find(m_by_time.begin()->second);
    m_by_keep_until.erase({oldest->second.keep_until, oldest->first});
    m_by_time.erase(m_by_time.begin());
    m_attempts.erase(oldest);
}

void first_attempts::remove_expired(timestamp now) {
    while (!m_by_keep_until.empty() && m_by_keep_until.begin()->first <= now) {
        const auto ended = m_attempts.find(m_by_keep_until.begin()->second);
        m_by_time.erase({ended->second.at, ended->first});
        m_by_keep_until.erase(m_by_keep_until.begin());
        m_attempts.erase(ended);
    }
}

std::optional<timestamp> first_attempts::find(const std::string& job, timestamp now) const {
    const auto found = m_attempts.find(job);
    if (found == m_attempts.end() || found->second.keep_until <= now) {
        return std::nullopt;
    }
    return found->second.at;
}

milliseconds first_attempts::waited(const std::string& job, timestamp now) const {
    const std::optional<timestamp> first = find(job, now);
    return first ? now - *first : milliseconds(0);
}

} // namespace siskinpaddle::jobs
