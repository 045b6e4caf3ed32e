#pragma once

#include "jobs/vm.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskinpaddle::jobs {

/// Minimum rate of a VM's steady clock relative to the local one, as stated by the platform.
inline constexpr double min_vm_clock_rate = 0.98;

/// A run that a VM reports but whose job is unknown to this owner: a previous owner cancelled the job and
/// stored the cancellation, or this owner has already removed the job. The run's resource use is unknown,
/// too.
struct orphan_run {
    task_id task;
    std::uint32_t attempt = 0;
    timestamp stop_sent_at{0}; ///< 0 if no stop order was sent yet.
};

/// A start order that the VM has not answered: it may be carried out later.
struct unanswered_start {
    task_id task;
    std::uint32_t attempt = 0;
    timestamp sent_at{0};
};

/// State of one VM as tracked by its pool's owner: capacity, lease, reported run ends and failures. Not
/// thread-safe.
class vm_state {
  public:
    explicit vm_state(vm_info info)
        : m_info(std::move(info)), m_max_millicores(m_info.capacity.cpu_millicores) {}

    [[nodiscard]] const vm_info& info() const noexcept { return m_info; }
    void set_info(vm_info info);
    /// Largest processor capacity that this incarnation has had. The capacity may change while the VM runs.
    [[nodiscard]] std::int64_t max_millicores() const noexcept { return m_max_millicores; }

    /// Records a response with a reading of the VM's clock. `answered_at` is when the response arrived; the
    /// VM's clock is at least `clock_ms` at that time.
    void record_response(std::int64_t clock_ms, timestamp answered_at);
    [[nodiscard]] bool has_responded() const noexcept { return m_clock_ms >= 0; }
    [[nodiscard]] timestamp last_response_at() const noexcept { return m_last_response_at; }
    /// Records a call to the VM without an answer.
    void record_missed_response(timestamp now) noexcept;
    /// Time of the first missing answer since the last response; 0 if none is missing.
    [[nodiscard]] timestamp unresponsive_since() const noexcept { return m_unresponsive_since; }

    /// Deadline on the VM's clock, `lease` after `now`; 0 if the VM's clock is not known yet.
    [[nodiscard]] std::int64_t lease_deadline(timestamp now, milliseconds lease) const;
    /// Records a deadline that was sent; the VM may have accepted it even without an answer.
    void record_granted_deadline(std::int64_t deadline);
    /// Records when a call with a deadline was sent.
    void record_grant(timestamp sent_at) noexcept { m_last_grant_at = std::max(m_last_grant_at, sent_at); }
    /// When the last call with a deadline was sent; 0 if none was.
    [[nodiscard]] timestamp last_grant_at() const noexcept { return m_last_grant_at; }
    /// The VM's clock in its last response; -1 if it has not responded.
    [[nodiscard]] std::int64_t clock_ms() const noexcept { return m_clock_ms; }
    /// Latest deadline that was sent, on the VM's clock; 0 if none was.
    [[nodiscard]] std::int64_t granted_deadline() const noexcept { return m_granted_deadline; }
    /// Time after which every run started there has ended for certain, provided that the VM receives nothing
    /// more.
    [[nodiscard]] timestamp lease_expires_at() const;
    /// As lease_expires_at(), for runs that a later incarnation may have: it shortens each deadline, which is
    /// on another clock, to its longest lease from the arrival of the call. Until the VM is fenced, calls for
    /// earlier incarnations may arrive as late as the platform may carry one out.
    [[nodiscard]] timestamp longest_lease_expires_at(milliseconds max_vm_lease) const;

    [[nodiscard]] bool has_run(const task_id& task) const { return m_tasks.contains(task); }
    void add_task(const task_id& task, const resources& need, bool long_lived);
    void remove_task(const task_id& task, const resources& need, bool long_lived);
    [[nodiscard]] bool hosts_long_lived() const noexcept { return m_long_lived_count > 0; }
    [[nodiscard]] const std::multiset<task_id>& tasks() const noexcept { return m_tasks; }
    /// Whether suspected tasks of jobs other than `job` run there.
    [[nodiscard]] bool has_other_suspects(const std::string& job) const {
        return !suspect_jobs.empty() && (suspect_jobs.size() > 1 || !suspect_jobs.contains(job));
    }
    /// Whether no run is known to be active there or able to become active.
    [[nodiscard]] bool has_no_runs() const noexcept { return m_tasks.empty() && m_orphans.empty(); }
    /// Whether the VM has no runs and the ends of all its runs are stored.
    [[nodiscard]] bool is_idle() const noexcept {
        return has_no_runs() && last_received_end <= last_stored_end;
    }
    /// Replaces the runs of unknown jobs by those reported; returns the newly reported ones.
    std::vector<orphan_run> set_orphans(const std::vector<running_report>& reported);
    [[nodiscard]] const std::vector<orphan_run>& orphans() const noexcept { return m_orphans; }
    [[nodiscard]] std::vector<orphan_run>& orphans() noexcept { return m_orphans; }
    [[nodiscard]] resources free_capacity() const;
    [[nodiscard]] const resources& used() const noexcept { return m_used; }
    /// Resources used by long-lived tasks.
    [[nodiscard]] const resources& long_lived_used() const noexcept { return m_long_lived_used; }

    /// Records a start order without an answer, and forgets those that can't be carried out any more.
    void record_unanswered_start(const task_id& task, std::uint32_t attempt, timestamp sent_at,
                                 timestamp now);
    /// Removes a recorded start that was answered after all; returns when it was sent, empty if not recorded.
    std::optional<timestamp> take_unanswered_start(const task_id& task, std::uint32_t attempt);
    /// Start orders without an answer that may still be carried out, also those whose runs are settled.
    [[nodiscard]] std::vector<unanswered_start> late_starts(timestamp now) const;

    /// Records a successful run, which resets the count of consecutive failures.
    void record_success();
    /// Records a failed run. Several consecutive failures quarantine the VM, for longer with each further
    /// one. This protects against VMs that fail every run while their health check passes.
    void record_failure(timestamp now);
    /// Quarantines the VM until the given time, for example after it refused an order as unhealthy.
    void quarantine(timestamp until) { m_quarantined_until = std::max(m_quarantined_until, until); }
    [[nodiscard]] bool is_quarantined(timestamp now) const noexcept { return now < m_quarantined_until; }
    [[nodiscard]] int consecutive_failures() const noexcept { return m_consecutive_failures; }

    bool listed = true;                 ///< The platform lists it.
    bool reachable = true;              ///< Its last order was answered.
    bool is_fenced = false;             ///< It refuses calls for earlier incarnations, see vm_tokens.
    bool cordoned = false;              ///< No new runs: it is being emptied for maintenance or a move.
    std::set<std::string> suspect_jobs; ///< Jobs whose suspected tasks run there, as of the last decision.
    std::string isolated_for_job;       ///< The only job whose tasks may start there; empty for any job.
    std::int64_t last_received_end = 0; ///< Run ends up to this number were received.
    std::int64_t last_report_clock = 0; ///< The VM's clock in its last report.
    timestamp last_report_at{0};        ///< When its last report arrived.
    std::int64_t last_stored_end = 0;   ///< Run ends up to this number are stored, so the VM may drop them.
    /// The VM's clock at its last refusal for lack of capacity; empty after a newer response.
    std::optional<std::int64_t> capacity_refused_at_clock;

  private:
    vm_info m_info;
    std::int64_t m_max_millicores = 0;
    std::int64_t m_clock_ms = -1;
    timestamp m_last_response_at{0};
    timestamp m_unresponsive_since{0};
    std::int64_t m_granted_deadline = 0;
    timestamp m_last_grant_at{0};
    std::vector<unanswered_start> m_unanswered_starts;
    std::multiset<task_id> m_tasks;
    std::vector<orphan_run> m_orphans;
    resources m_used;
    resources m_long_lived_used;
    int m_long_lived_count = 0;
    int m_consecutive_failures = 0;
    timestamp m_quarantined_until{0};
};

} // namespace siskinpaddle::jobs
