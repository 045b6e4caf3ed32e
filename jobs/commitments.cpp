#include "jobs/commitments.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

std::int64_t capacity_forecast::work_within(milliseconds time) const noexcept {
    const std::int64_t joined_ms = std::max<std::int64_t>(0, (time - joins_after).count());
    return present_millicores * std::max<std::int64_t>(0, time.count()) + joining_millicores * joined_ms;
}

milliseconds capacity_forecast::time_for(std::int64_t work) const noexcept {
    const std::int64_t before_joining = present_millicores * joins_after.count();
    const std::int64_t all = present_millicores + joining_millicores;
    if (work <= before_joining && present_millicores > 0) {
        return milliseconds(work / present_millicores);
    }
    if (all <= 0) {
        return max_time;
    }
    return std::min(max_time, joins_after + milliseconds((work - before_joining) / all));
}

void commitments::add(timestamp due, std::int64_t work) {
    if (work <= 0) {
        return;
    }
    m_work[due - due % resolution] += work;
    m_total += work;
}

void commitments::clear() noexcept {
    m_work.clear();
    m_total = 0;
}

std::int64_t commitments::work_due_by(timestamp at) const {
    std::int64_t work = 0;
    for (auto item = m_work.begin(); item != m_work.end() && item->first <= at; ++item) {
        work += item->second;
    }
    return work;
}

std::int64_t commitments::needed_millicores(timestamp now, milliseconds soonest) const {
    std::int64_t needed = 0;
    std::int64_t work = 0;
    for (const auto& [due, part] : m_work) {
        work += part;
        needed = std::max(needed, work / std::max(soonest, due - now).count());
    }
    return needed;
}

timestamp commitments::done_at(timestamp due, std::int64_t work, const capacity_forecast& capacity,
                               timestamp now) const {
    return now + capacity.time_for(work_due_by(due) + work);
}

bool commitments::admits(timestamp due, std::int64_t work, const capacity_forecast& capacity,
                         timestamp now) const {
    if (done_at(due, work, capacity, now) > due) {
        return false;
    }
    std::int64_t before = 0;
    for (const auto& [item_due, part] : m_work) {
        before += part;
        const std::int64_t possible = capacity.work_within(item_due - now);
        if (item_due > due && before <= possible && before + work > possible) {
            return false;
        }
    }
    return true;
}

} // namespace siskinpaddle::jobs
