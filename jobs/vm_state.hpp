#pragma once

#include "jobs/vm.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskinpaddle::jobs {

/// A VM's steady clock may run this much slower than ours; the platform's stated bound.
inline constexpr double min_vm_clock_rate = 0.98;

/// A run that a VM reports although its job isn't known here: an earlier owner cancelled the job and stored
/// that, or this one has forgotten it. What it uses is not known either.
struct orphan_run {
    task_id task;
    std::uint32_t attempt = 0;
    timestamp stop_sent_at{0}; ///< 0: no stop was ordered yet.
};

/// What an owner knows of one VM: its room, its lease, how far its ends were taken, how it behaves. Not
/// thread-safe.
class vm_state {
  public:
    explicit vm_state(vm_info info)
        : m_info(std::move(info)), m_max_millicores(m_info.capacity.cpu_millicores) {}

    [[nodiscard]] const vm_info& info() const noexcept { return m_info; }
    void set_info(vm_info info);
    /// The most that this life of the VM has had; its capacity may shrink and grow while it runs.
    [[nodiscard]] std::int64_t max_millicores() const noexcept { return m_max_millicores; }

    /// Takes a reading of the VM's clock. `answered_at` is when the answer reached us, so the VM's clock is
    /// at least `clock_ms` then.
    void record_response(std::int64_t clock_ms, timestamp answered_at);
    [[nodiscard]] bool has_responded() const noexcept { return m_clock_ms >= 0; }
    [[nodiscard]] timestamp last_response_at() const noexcept { return m_last_response_at; }
    /// A call to it got no answer.
    void record_missed_response(timestamp now) noexcept;
    /// Its first missing answer since it was last heard; 0: none is missing.
    [[nodiscard]] timestamp unresponsive_since() const noexcept { return m_unresponsive_since; }

    /// Deadline on the VM's clock, `lease` from now; 0 when its clock is not known yet.
    [[nodiscard]] std::int64_t lease_deadline(timestamp now, milliseconds lease) const;
    /// Remembers a deadline that was sent: the VM may have taken it even without an answer.
    void record_granted_deadline(std::int64_t deadline);
    /// From when on all that we ever let run there has certainly ended, if the VM hears nothing more.
    [[nodiscard]] timestamp lease_expires_at() const;

    [[nodiscard]] bool has_run(const task_id& task) const { return m_tasks.contains(task); }
    void add_task(const task_id& task, const resources& need, bool long_running);
    void remove_task(const task_id& task, const resources& need, bool long_running);
    [[nodiscard]] bool hosts_long_running() const noexcept { return m_long_running_count > 0; }
    [[nodiscard]] const std::multiset<task_id>& tasks() const noexcept { return m_tasks; }
    /// Whether suspected tasks of other jobs than this one run there.
    [[nodiscard]] bool has_other_suspects(const std::string& job) const {
        return !suspect_jobs.empty() && (suspect_jobs.size() > 1 || !suspect_jobs.contains(job));
    }
    /// Nothing runs there, or may yet start, as far as is known.
    [[nodiscard]] bool has_no_runs() const noexcept { return m_tasks.empty() && m_orphans.empty(); }
    /// Nothing runs there, and what has ended there is stored.
    [[nodiscard]] bool is_idle() const noexcept {
        return has_no_runs() && last_received_end <= last_stored_end;
    }
    /// Takes over which runs of unknown jobs the VM reports; returns those that it had not reported before.
    std::vector<orphan_run> set_orphans(const std::vector<running_report>& reported);
    [[nodiscard]] const std::vector<orphan_run>& orphans() const noexcept { return m_orphans; }
    [[nodiscard]] std::vector<orphan_run>& orphans() noexcept { return m_orphans; }
    [[nodiscard]] resources free_capacity() const;
    [[nodiscard]] const resources& used() const noexcept { return m_used; }
    /// What runs that don't end by themselves use.
    [[nodiscard]] const resources& long_running_used() const noexcept { return m_long_running_used; }

    /// Books an end of a run: repeated failures without a success set the VM aside for a while, longer each
    /// time. Answers to VMs that fail all that they start while their health check stays good.
    void record_success();
    void record_failure(timestamp now);
    /// Sets the VM aside after a refusal that says that it is unhealthy.
    void quarantine(timestamp until) { m_quarantined_until = std::max(m_quarantined_until, until); }
    [[nodiscard]] bool is_quarantined(timestamp now) const noexcept { return now < m_quarantined_until; }
    [[nodiscard]] int consecutive_failures() const noexcept { return m_consecutive_failures; }

    bool listed = true;                 ///< The platform lists it.
    bool reachable = true;              ///< Its last order was answered.
    bool cordoned = false;              ///< No new runs: an upkeep or a move waits for it to be empty.
    std::set<std::string> suspect_jobs; ///< Jobs whose suspected tasks run there, as of the last decision.
    std::string isolated_for_job;       ///< The job whose tasks alone may start there; empty: any.
    std::int64_t last_received_end = 0; ///< Ends up to here were taken in.
    std::int64_t last_stored_end = 0;   ///< Ends up to here are stored, so the VM may forget them.
    std::optional<std::int64_t>
        capacity_refused_at_clock; ///< It refused for want of room; wait for a newer report.

  private:
    vm_info m_info;
    std::int64_t m_max_millicores = 0;
    std::int64_t m_clock_ms = -1;
    timestamp m_last_response_at{0};
    timestamp m_unresponsive_since{0};
    std::int64_t m_granted_deadline = 0;
    std::multiset<task_id> m_tasks;
    std::vector<orphan_run> m_orphans;
    resources m_used;
    resources m_long_running_used;
    int m_long_running_count = 0; ///< Runs that don't end by themselves.
    int m_consecutive_failures = 0;
    timestamp m_quarantined_until{0};
};

} // namespace siskinpaddle::jobs
