#include "jobs/pool_room.hpp"

#include "jobs/job_admission.hpp"
#include "jobs/work_gauge.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

namespace {

/// Clients receive the delay in whole seconds.
constexpr milliseconds min_delay = 1s;
/// A longer delay is of no use to clients with an objective of a few seconds.
constexpr milliseconds max_delay = 5s;
/// What an owner told is of use for this long, or until the work that it counted is done: two changes of the
/// owner, after which a new one would have answered.
constexpr milliseconds min_validity = 5s;
/// Longer waits make no difference, and a value from another node could be any.
constexpr milliseconds max_wait = 1h;
/// A job that ends later than this multiple of its objective is of no use to its client.
constexpr int useful_end_factor = 3;

} // namespace

void known_room::record(const pool_room& told, timestamp now) noexcept {
    m_told = told;
    m_told->queue_wait = std::clamp(told.queue_wait, 0ms, max_wait);
    m_told_at = now;
    m_left_work = 0;
    m_told->refuses_for = std::min(told.refuses_for, refusal_ttl);
}

void known_room::record_refusal(milliseconds retry_after, timestamp now) noexcept {
    m_refused_until = now + refusal_ttl;
    m_retry_after = retry_after;
}

void known_room::record_left(const job_spec& spec) {
    m_left_work += estimate_job_work(spec, {});
}

/// Time for the work that waited when the owner told it, less what has been done since, and for the jobs that
/// entries have left in the inbox.
milliseconds known_room::expected_wait(std::size_t entries, timestamp now) const {
    const milliseconds age = now - m_told_at;
    if (!m_told || age > std::max(min_validity, m_told->queue_wait)) {
        return 0ms;
    }
    const milliseconds remaining = std::max(0ms, m_told->queue_wait - age);
    if (m_told->millicores <= 0) {
        return remaining;
    }
    return remaining + milliseconds(m_left_work * static_cast<std::int64_t>(entries) / m_told->millicores);
}

std::optional<milliseconds> known_room::refusal_of(const job_spec& spec, const queue_settings& queue,
                                                   std::size_t entries, timestamp now) const {
    if (spec.is_long_lived() || spec.has_due_times) {
        return std::nullopt; // Admitted under any load.
    }
    const milliseconds wait = expected_wait(entries, now);
    const bool others_refused = m_told && now < m_told_at + m_told->refuses_for;
    if (has_refused(now) || others_refused) {
        return std::clamp(std::max(m_retry_after, wait), min_delay, max_delay);
    }
    const job_state job(spec, timestamp(0));
    const milliseconds allowed = objective_of(job, queue, timestamp(0)) - timestamp(0);
    const milliseconds expected_end = wait + milliseconds(job.critical_path_ms());
    if (wait == 0ms || expected_end <= allowed * useful_end_factor) {
        return std::nullopt;
    }
    return std::clamp(wait, min_delay, max_delay);
}

} // namespace siskinpaddle::jobs
