#include "jobs/vm_state.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace siskinpaddle::jobs {

namespace {

/// Consecutive failures, without a success in between, after which a VM is quarantined. A faulty job fails
/// once on each VM that runs it, so two in a row are normal.
constexpr int failures_to_quarantine = 3;
constexpr milliseconds min_quarantine = 2s;
constexpr milliseconds max_quarantine = 16s;
/// Time from the lease's expiry on the VM's clock to the end of the last process there.
constexpr milliseconds lease_expiry_margin = 150ms;
/// Time after which a call that has not arrived is given up.
constexpr milliseconds call_timeout = 1s;
/// Time within which the platform may carry out a call that was not answered: 12 s, and its timeout.
constexpr milliseconds late_call_time = 13s;

/// Longest time from a reading of a VM's clock until processes whose lease expires `vm_ms` later have ended.
milliseconds longest_duration(std::int64_t vm_ms) {
    const double local_ms = std::ceil(static_cast<double>(vm_ms) / min_vm_clock_rate);
    return milliseconds(static_cast<std::int64_t>(local_ms)) + lease_expiry_margin;
}

} // namespace

void vm_state::set_info(vm_info info) {
    m_info = std::move(info);
    m_max_millicores = std::max(m_max_millicores, m_info.capacity.cpu_millicores);
}

void vm_state::record_response(std::int64_t clock_ms, timestamp answered_at) {
    if (clock_ms < m_clock_ms) {
        return; // Answers on different connections may arrive out of order.
    }
    m_clock_ms = clock_ms;
    m_last_response_at = answered_at;
    m_unresponsive_since = timestamp(0);
    if (capacity_refused_at_clock && clock_ms > *capacity_refused_at_clock) {
        capacity_refused_at_clock.reset();
    }
}

void vm_state::record_missed_response(timestamp now) noexcept {
    if (m_unresponsive_since == timestamp(0)) {
        m_unresponsive_since = now;
    }
}

std::int64_t vm_state::lease_deadline(timestamp now, milliseconds lease) const {
    return has_responded() ? m_clock_ms + (now - m_last_response_at + lease).count() : 0;
}

void vm_state::record_granted_deadline(std::int64_t deadline) {
    m_granted_deadline = std::max(m_granted_deadline, deadline);
}

timestamp vm_state::lease_expires_at() const {
    if (!has_responded() || m_granted_deadline <= m_clock_ms) {
        return m_last_response_at;
    }
    return m_last_response_at + longest_duration(m_granted_deadline - m_clock_ms);
}

timestamp vm_state::longest_lease_expires_at(milliseconds max_vm_lease) const {
    const timestamp expires_at = lease_expires_at();
    if (m_last_grant_at == timestamp(0)) {
        return expires_at;
    }
    const timestamp arrives_by = m_last_grant_at + (is_fenced ? call_timeout : late_call_time);
    return std::max(expires_at, arrives_by + longest_duration(max_vm_lease.count()));
}

void vm_state::add_task(const task_id& task, const resources& need, bool long_lived) {
    m_tasks.insert(task);
    m_used += need;
    if (long_lived) {
        ++m_long_lived_count;
        m_long_lived_used += need;
    }
}

void vm_state::remove_task(const task_id& task, const resources& need, bool long_lived) {
    const auto found = m_tasks.find(task);
    if (found == m_tasks.end()) {
        return;
    }
    m_tasks.erase(found);
    m_used -= need;
    if (long_lived) {
        --m_long_lived_count;
        m_long_lived_used -= need;
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

resources vm_state::free_capacity() const {
    resources left = m_info.capacity;
    left -= m_used;
    return left;
}

void vm_state::record_unanswered_start(const task_id& task, std::uint32_t attempt, timestamp sent_at,
                                       timestamp now) {
    std::erase_if(m_unanswered_starts, [&](const unanswered_start& one) {
        return now - one.sent_at > late_call_time || (one.attempt == attempt && one.task == task);
    });
    m_unanswered_starts.push_back({task, attempt, sent_at});
}

std::optional<timestamp> vm_state::take_unanswered_start(const task_id& task, std::uint32_t attempt) {
    const auto found = std::ranges::find_if(m_unanswered_starts, [&](const unanswered_start& one) {
        return one.attempt == attempt && one.task == task;
    });
    if (found == m_unanswered_starts.end()) {
        return std::nullopt;
    }
    const timestamp sent_at = found->sent_at;
    m_unanswered_starts.erase(found);
    return sent_at;
}

std::vector<unanswered_start> vm_state::late_starts(timestamp now) const {
    std::vector<unanswered_start> found;
    std::ranges::copy_if(m_unanswered_starts, std::back_inserter(found),
                         [&](const unanswered_start& one) { return now - one.sent_at <= late_call_time; });
    return found;
}

void vm_state::record_success() {
    m_consecutive_failures = 0;
}

void vm_state::record_failure(timestamp now) {
    ++m_consecutive_failures;
    if (m_consecutive_failures < failures_to_quarantine) {
        return;
    }
    const int doublings = std::min(m_consecutive_failures - failures_to_quarantine, 3);
    quarantine(now + std::min(max_quarantine, min_quarantine * (1 << doublings)));
}

} // namespace siskinpaddle::jobs
