#include "policy/admission.hpp"

#include <algorithm>
#include <cmath>

namespace siskinpaddle {

namespace {

constexpr double service_time_weight = 0.05;

int to_retry_after_seconds(milliseconds duration) {
    return static_cast<int>(std::clamp<std::int64_t>((duration.count() + 999) / 1000, 1, 30));
}

} // namespace

milliseconds admission_controller::expected_wait(const pool_state& state, const pool_load& load) const {
    const double ahead = static_cast<double>(state.queue.size()) + 1;
    const double capacity = static_cast<double>(std::max<std::int64_t>(1, load.capacity));
    return milliseconds(static_cast<std::int64_t>(std::ceil(ahead * state.service_ms / capacity)));
}

admission_verdict admission_controller::admit(const admission_request& request, const pool_load& load,
                                              timestamp now) {
    pool_state& state = m_pools[request.pool];
    std::int64_t& held_by_member = m_held_by_member[request.member];
    if (!load.has_target) {
        return {admission_action::refuse, answer_code::no_target, 0};
    }
    if (request.deadline <= now) {
        return {admission_action::refuse, answer_code::deadline_too_short, 0};
    }
    if (m_enabled) {
        if (m_held_requests >= m_max_requests) {
            return {admission_action::refuse, answer_code::overloaded, 0};
        }
        if (held_by_member >= std::max<std::int64_t>(1, m_max_requests / m_member_count)) {
            return {admission_action::refuse, answer_code::member_share_used, 0};
        }
    }
    const bool has_free_slot = load.in_flight < load.capacity && state.queue.empty();
    if (!has_free_slot && m_enabled) {
        const milliseconds wait = expected_wait(state, load);
        if (static_cast<std::int64_t>(state.queue.size()) >= load.max_queue) {
            return {admission_action::refuse, answer_code::overloaded, to_retry_after_seconds(wait)};
        }
        const auto service = milliseconds(static_cast<std::int64_t>(state.service_ms));
        if (now + wait + service > request.deadline) {
            return {admission_action::refuse, answer_code::deadline_too_short, to_retry_after_seconds(wait)};
        }
    }
    ++m_held_requests;
    ++held_by_member;
    if (has_free_slot) {
        return {admission_action::send, {}, 0};
    }
    state.queue.push_back({request.id, request.deadline});
    return {admission_action::wait, {}, 0};
}

bool admission_controller::has_waiting(const std::string& pool) const {
    const auto found = m_pools.find(pool);
    return found != m_pools.end() && !found->second.queue.empty();
}

std::optional<std::uint64_t> admission_controller::pop_waiting(const std::string& pool, timestamp now) {
    std::deque<waiting_request>& queue = m_pools[pool].queue;
    for (auto item = queue.begin(); item != queue.end(); ++item) {
        if (item->deadline > now) {
            const std::uint64_t id = item->id;
            queue.erase(item);
            return id;
        }
    }
    return std::nullopt;
}

std::vector<std::uint64_t> admission_controller::remove_expired(timestamp now) {
    std::vector<std::uint64_t> expired;
    for (auto& [pool, state] : m_pools) {
        std::erase_if(state.queue, [&](const waiting_request& item) {
            if (item.deadline > now) {
                return false;
            }
            expired.push_back(item.id);
            return true;
        });
    }
    return expired;
}

std::vector<std::uint64_t> admission_controller::remove_waiting(const std::string& pool) {
    std::vector<std::uint64_t> ids;
    for (const waiting_request& item : m_pools[pool].queue) {
        ids.push_back(item.id);
    }
    m_pools[pool].queue.clear();
    return ids;
}

void admission_controller::record_finished(const std::string& pool, const std::string& member,
                                           milliseconds service_time) {
    --m_held_requests;
    --m_held_by_member[member];
    if (service_time > milliseconds{0}) {
        double& average = m_pools[pool].service_ms;
        average += service_time_weight * (static_cast<double>(service_time.count()) - average);
    }
}

std::vector<std::string> admission_controller::pools_with_waiting() const {
    std::vector<std::string> pools;
    for (const auto& [name, state] : m_pools) {
        if (!state.queue.empty()) {
            pools.push_back(name);
        }
    }
    return pools;
}

} // namespace siskinpaddle
