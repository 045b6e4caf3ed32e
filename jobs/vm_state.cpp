#include "jobs/vm_state.hpp"

#include <algorithm>
#include <cmath>

namespace siskinpaddle::jobs {

namespace {

/// Failures in a row, without a success between, before a VM is set aside. One bad job fails once on each VM
/// that tries it, so two in a row are ordinary.
constexpr int strikes_to_set_aside = 3;
constexpr milliseconds first_time_aside = 2s;
constexpr milliseconds longest_time_aside = 16s;
/// Between the lapse on the VM's clock and the end of the last process there.
constexpr milliseconds lapse_margin = 150ms;

} // namespace

void vm_state::set_info(vm_info info) {
    m_info = std::move(info);
    m_largest_millicores = std::max(m_largest_millicores, m_info.capacity.cpu_millicores);
}

void vm_state::heard(std::int64_t clock_ms, timestamp answered_at) {
    if (clock_ms < m_clock_ms) {
        return; // Answers on different connections overtake each other.
    }
    m_clock_ms = clock_ms;
    m_heard_at = answered_at;
    m_silent_from = timestamp(0);
    if (full_until_clock && clock_ms > *full_until_clock) {
        full_until_clock.reset();
    }
}

void vm_state::missed_answer(timestamp now) noexcept {
    if (m_silent_from == timestamp(0)) {
        m_silent_from = now;
    }
}

std::int64_t vm_state::deadline(timestamp now, milliseconds lease) const {
    return ever_heard() ? m_clock_ms + (now - m_heard_at + lease).count() : 0;
}

void vm_state::granted(std::int64_t deadline) {
    m_granted = std::max(m_granted, deadline);
}

timestamp vm_state::lapses_at() const {
    if (!ever_heard() || m_granted <= m_clock_ms) {
        return m_heard_at;
    }
    const auto left = static_cast<double>(m_granted - m_clock_ms) / slowest_vm_clock;
    return m_heard_at + milliseconds(static_cast<std::int64_t>(std::ceil(left))) + lapse_margin;
}

void vm_state::add_task(const task_id& task, const resources& need, bool endless) {
    m_tasks.insert(task);
    m_used += need;
    if (endless) {
        ++m_endless;
        m_endless_used += need;
    }
}

void vm_state::remove_task(const task_id& task, const resources& need, bool endless) {
    const auto found = m_tasks.find(task);
    if (found == m_tasks.end()) {
        return;
    }
    m_tasks.erase(found);
    m_used -= need;
    if (endless) {
        --m_endless;
        m_endless_used -= need;
    }
}

std::vector<orphan_run> vm_state::set_orphans(const std::vector<running_report>& reported) {
    std::vector<orphan_run> present;
    std::vector<orphan_run> added;
    for (const running_report& item : reported) {
        const auto known = std::ranges::find_if(m_orphans, [&](const orphan_run& orphan) {
            return orphan.task == item.task && orphan.attempt == item.attempt;
        });
        if (known != m_orphans.end()) {
            present.push_back(*known);
        } else {
            present.push_back({item.task, item.attempt, timestamp(0)});
            added.push_back(present.back());
        }
    }
    m_orphans = std::move(present);
    return added;
}

resources vm_state::room() const {
    resources left = m_info.capacity;
    left -= m_used;
    return left;
}

void vm_state::book_success() {
    m_strikes = 0;
}

void vm_state::book_failure(timestamp now) {
    ++m_strikes;
    if (m_strikes < strikes_to_set_aside) {
        return;
    }
    const int doublings = std::min(m_strikes - strikes_to_set_aside, 3);
    set_aside(now + std::min(longest_time_aside, first_time_aside * (1 << doublings)));
}

} // namespace siskinpaddle::jobs
