#include "soak/retry_schedule.hpp"

#include <charconv>

namespace siskinpaddle::soak {

void retry_schedule::add(const std::string& job, std::string_view retry_after, timestamp answered) {
    std::int64_t seconds = 0;
    const char* end = retry_after.data() + retry_after.size();
    const auto [parsed_to, error] = std::from_chars(retry_after.data(), end, seconds);
    if (retry_after.empty() || error != std::errc() || parsed_to != end || seconds < 0 ||
        m_returns[job] >= max_returns) {
        return;
    }
    ++m_returns[job];
    m_due.emplace(answered + std::chrono::seconds(seconds), job);
}

std::vector<std::string> retry_schedule::take_due(timestamp now) {
    std::vector<std::string> jobs;
    while (!m_due.empty() && m_due.begin()->first <= now) {
        jobs.push_back(std::move(m_due.begin()->second));
        m_due.erase(m_due.begin());
    }
    return jobs;
}

} // namespace siskinpaddle::soak
