#include "jobs/return_schedule.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

namespace {

constexpr milliseconds one_second = 1s;
/// Share of a second's room that jobs may be promised at their first refusal. The rest is left to jobs that
/// return and are refused again, so that these go sooner.
constexpr double first_refusal_share = 0.5;

std::int64_t second_of(timestamp at) {
    return at / one_second;
}

/// Work that the pool can do within `time` besides the work ahead.
std::int64_t free_work(const capacity_forecast& capacity, std::int64_t ahead, milliseconds time) {
    return std::max<std::int64_t>(0, capacity.work_within(time) - ahead);
}

} // namespace

return_time return_schedule::schedule(const refused_job& job, const room_forecast& forecast, timestamp now) {
    drop(job.id);
    drop_passed(now);
    if (m_promises.size() >= max_promises) {
        return {max_retry_after, false};
    }
    for (milliseconds delay = min_retry_after; delay <= max_retry_after; delay += one_second) {
        const std::int64_t second = second_of(now + delay);
        const milliseconds begin = second * one_second - now;
        const milliseconds end = begin + one_second;
        const bool in_time = job.waited + delay <= job.latest_in_time;
        const std::int64_t ahead = forecast.waiting_work + (in_time ? 0 : forecast.late_work);
        const std::int64_t all = forecast.capacity.work_within(end) - forecast.capacity.work_within(begin);
        std::int64_t room =
            free_work(forecast.capacity, ahead, end) - free_work(forecast.capacity, ahead, begin);
        if (job.waited.count() == 0) {
            room = static_cast<std::int64_t>(static_cast<double>(room) * first_refusal_share);
        }
        const auto found = m_work.find(second);
        const std::int64_t promised = found == m_work.end() ? 0 : found->second;
        // A job that takes the pool longer than a second asks for all of one.
        const std::int64_t work = std::min(job.work, all);
        if (room > 0 && promised + work <= room) {
            m_promises[job.id] = {second, work};
            m_work[second] += work;
            return {delay, true};
        }
    }
    return {max_retry_after, false};
}

void return_schedule::drop(const std::string& job) {
    const auto found = m_promises.find(job);
    if (found == m_promises.end()) {
        return;
    }
    if (const auto second = m_work.find(found->second.second); second != m_work.end()) {
        second->second -= found->second.work;
    }
    m_promises.erase(found);
}

void return_schedule::drop_passed(timestamp now) {
    const std::int64_t present = second_of(now);
    if (m_work.empty() || m_work.begin()->first >= present) {
        return;
    }
    m_work.erase(m_work.begin(), m_work.lower_bound(present));
    std::erase_if(m_promises, [present](const auto& item) { return item.second.second < present; });
}

std::int64_t return_schedule::promised_work(timestamp at) const {
    const auto found = m_work.find(second_of(at));
    return found == m_work.end() ? 0 : found->second;
}

} // namespace siskinpaddle::jobs
