#pragma once

#include "jobs/account_ledger.hpp"
#include "jobs/balance.hpp"
#include "jobs/commitments.hpp"
#include "jobs/job_admission.hpp"
#include "jobs/label_meters.hpp"
#include "jobs/placement.hpp"
#include "jobs/pool_report.hpp"
#include "jobs/run_times.hpp"
#include "jobs/start_settling.hpp"
#include "jobs/start_window.hpp"
#include "jobs/suspicion.hpp"
#include "jobs/vm_end.hpp"
#include "jobs/work_gauge.hpp"

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace siskinpaddle::jobs {

/// Limits and durations of an owner's decisions.
struct scheduler_settings {
    /// Lease of everything that runs on a VM.
    milliseconds lease = 6s;
    /// Longest lease that a VM grants. A VM shortens a deadline beyond it, such as one that was meant for an
    /// earlier incarnation, whose clock was ahead.
    milliseconds max_vm_lease = 6s;
    /// A VM refuses a start that arrives later than this. Longer than a slow round trip, shorter than the two
    /// seconds after which the platform may carry out an order that was not answered.
    milliseconds start_timeout = 1500ms;
    /// How long after a takeover runs of the previous owner may exist on VMs that don't respond.
    milliseconds takeover_timeout = 12s;
    milliseconds max_stop_time = 1s; ///< A stopped run ends within this time; its VM lists it until then.
    milliseconds stop_retry_interval = 600ms; ///< A stop without an answer is sent again after this interval.
    /// A VM with this many runs that aren't long-lived is polled frequently.
    std::size_t frequent_poll_runs = 3;
    /// Attempt numbers of one owner; those of its successor are higher.
    std::uint32_t attempts_per_epoch = 1000;
    placement_settings placement;
    start_window_settings starts;
    start_settling_settings settling;
};

/// Order to start a run.
struct start_order {
    std::string vm;
    task_id task;
    std::uint32_t attempt = 0;
    std::int64_t deadline = 0; ///< On the VM's clock; the VM refuses a start that arrives later.
    std::string checkpoint;
    std::string ticket;
};

/// Order to stop a run, or to prevent it from starting.
struct stop_order {
    std::string vm;
    task_id task;
    std::uint32_t attempt = 0;
};

/// Order to limit a run to a share of its speed.
struct pace_order {
    std::string vm;
    task_id task;
    std::uint32_t attempt = 0;
    int percent = 100;
};

/// An event about a run or a VM, for the log.
struct scheduler_note {
    std::string what;
    std::string vm;
    std::optional<task_id> task;
    std::uint32_t attempt = 0;
};

/// A start without an answer that is settled before its call times out.
struct settled_start {
    std::string vm;
    task_id task;
    std::uint32_t attempt = 0;
    milliseconds waited{0};
    milliseconds limit{0};       ///< Wait after which a start counted as overdue.
    milliseconds answer_time{0}; ///< Usual time from a start to its answer.
};

/// A change of the crash evidence recorded against a task.
struct suspicion_change {
    task_id task;
    suspicion level = suspicion::none;
    std::vector<crash_evidence> evidence;
    std::string reason;
};

struct decisions {
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<pace_order> paces;
    std::vector<advice_request> advice_requests; ///< Sent to the policy service.
    std::vector<scheduler_note> notes;
    std::vector<settled_start> settled_starts; ///< For the log; their stops are among `stops`.
    /// When the next start without an answer is overdue; empty if there is none.
    std::optional<timestamp> next_overdue_start;
    std::vector<vm_end> ended_vms; ///< VMs that ended while in use; for the log.
    std::vector<suspicion_change> suspicion_changes;
};

/// Changes to store next, and the ends that may be acknowledged once the changes are stored.
struct store_batch {
    std::vector<std::string> jobs; ///< Jobs with changes.
    /// VM -> sequence number up to which the VM may forget its ends afterwards.
    std::map<std::string, std::int64_t> end_sequences;

    [[nodiscard]] bool empty() const noexcept { return jobs.empty() && end_sequences.empty(); }
};

/// A job that has ended and is no longer needed for deciding.
struct removed_job {
    std::string id;
    job_phase phase = job_phase::completed;
    std::string account;
};

/// What the pool's owner knows about itself when it decides.
struct owner_view {
    std::int64_t wall_ms = 0; ///< Time of day, for jobs with due times.
    /// No other node can have taken over the pool. Only then does an unresponsive VM count as ended after its
    /// lease, since a successor that reaches the VM would renew its lease.
    bool ownership_confirmed = false;
    /// Answers to this owner have been arriving in time for longer than it takes to call a VM again.
    /// Otherwise a VM may be silent only because its answers wait on the owner's own link: it may have listed
    /// an end as done, and its task must not start again.
    bool hears_answers = false;
};

enum class cancel_outcome : std::uint8_t { unknown_job, cancelled, already_final };

/// Decides for one pool which task runs where. Pure: takes events and clock readings and returns orders. One
/// owner at a time has a pool; the fencing token makes VMs refuse the orders of a previous owner. Not
/// thread-safe.
///
/// No task runs twice at a time: a run is dropped only when its VM reports that the run isn't there and can't
/// start any more, when another incarnation of the VM responds, or when the VM's lease has certainly expired.
class scheduler {
  public:
    /// `epoch` counts the owners of the pool from 0.
    scheduler(scheduler_settings settings, std::uint32_t epoch, timestamp now);

    void configure(std::vector<queue_settings> queues) { m_queues = std::move(queues); }

    // --- Jobs ---

    [[nodiscard]] bool has_job(const std::string& job) const { return m_jobs.contains(job); }
    /// Names of the queues that have jobs here, ended ones included.
    [[nodiscard]] std::set<std::string> queues_of_jobs() const;
    /// `account`: the account of the job; empty if it has none.
    [[nodiscard]] admission_verdict check_admission(const job_spec& spec,
                                                    const std::string& account = {}) const;
    void add_job(const job_record& record, timestamp accepted_at);
    /// Adds a job that a previous owner stored. Its tasks start once every VM that may run them has reported
    /// or ended, or after takeover_timeout.
    void restore_job(const job_record& record, const std::optional<job_progress>& progress,
                     timestamp accepted_at);
    cancel_outcome cancel(const std::string& job, timestamp now);
    /// The phase to report to clients: a final one only once it is stored. Empty for an unknown job.
    [[nodiscard]] std::optional<job_phase> phase_of(const std::string& job) const;
    /// Number of jobs of the queue that have not begun.
    [[nodiscard]] std::size_t pending_jobs(const std::string& queue) const;
    [[nodiscard]] const job_state* find_job(const std::string& job) const;
    [[nodiscard]] std::size_t job_count() const noexcept { return m_jobs.size(); }
    /// Number of tasks with crash evidence recorded against them.
    [[nodiscard]] std::size_t suspect_count() const noexcept { return m_suspects.size(); }

    // --- Reports for operators ---

    /// The jobs that wait, at most `max_count`, those that are placed first first.
    [[nodiscard]] std::vector<waiting_job> waiting_jobs(std::size_t max_count, timestamp now) const;
    /// Describes a job with its first `max_steps` steps over all occurrences; empty for an unknown job.
    [[nodiscard]] std::optional<job_report> describe_job(const std::string& id, std::size_t max_steps,
                                                         timestamp now) const;
    /// What each account has in the pool, for accounts with jobs that have not ended, by name.
    [[nodiscard]] std::vector<account_report> describe_accounts() const;

    // --- Accounts ---

    /// What the accounts' runs use here, and what they may use. Runs are counted by the scheduler; the owner
    /// sets the ceilings and what a previous owner was allowed to start.
    [[nodiscard]] account_ledger& accounts() noexcept { return m_accounts; }
    [[nodiscard]] const account_ledger& accounts() const noexcept { return m_accounts; }

    // --- VMs ---

    /// Adds a VM that the platform lists, or updates what the VM has registered.
    void add_or_update_vm(const vm_info& info);
    void mark_vm_delisted(const std::string& vm);
    /// Adds a VM that a previous owner may have used; its runs are unknown until it reports or ends.
    void expect_vm(const vm_info& info);
    /// VMs that may run tasks of a previous owner and have not reported yet; while there are any, those tasks
    /// wait.
    [[nodiscard]] const std::set<std::string>& unconfirmed_vms() const noexcept { return m_unconfirmed_vms; }
    /// Adds the incarnation of the VM that answers under the id of `previous` and started at `started_ms`,
    /// and returns its name. It gets no starts until the platform lists it. Precondition: `previous` is one
    /// of vms().
    std::string add_restarted_vm(const std::string& previous, std::int64_t started_ms);
    /// The other incarnations with the VM's id that a report of the VM proves to have ended. One that has
    /// never responded to this owner may be a later one: the report may have been on its way when it started.
    [[nodiscard]] std::vector<std::string> previous_incarnations(const std::string& vm) const;
    /// The runs on the VM that no answer of this incarnation has confirmed. A later one may be executing
    /// them. Precondition: `vm` is one of vms().
    [[nodiscard]] std::vector<ended_run> unproven_runs(const std::string& vm, timestamp now) const;
    /// Processes the confirmed end of this incarnation of the VM.
    void handle_vm_ended(const std::string& vm, vm_end_cause cause, timestamp now);
    /// Processes the VM's answer to a renewal, which ends its previous_incarnations().
    void handle_report(const std::string& vm, const vm_report& report, timestamp now);
    /// Returns the number of an end up to which a renewal that is sent now may let the VM discard its ends. 0
    /// if the VM may have started again since its last report: the ends that it lists now are not known yet.
    [[nodiscard]] std::int64_t ends_to_acknowledge(const std::string& vm, timestamp now) const;
    void handle_vm_unreachable(const std::string& vm, timestamp now);
    void handle_start_answer(const start_order& order, order_outcome outcome, std::int64_t clock_ms,
                             timestamp now);
    /// Returns whether a report that is requested later than `now` settles a run that may not have started.
    bool handle_stop_answer(const stop_order& order, order_outcome outcome, std::int64_t clock_ms,
                            timestamp now);
    void handle_advice_answer(const advice_request& request, const advice_answer& answer, timestamp now);
    void cordon(const std::string& vm, bool on);
    /// Whether nothing runs on the VM or may yet start there, and all ends that it has listed are stored. The
    /// VM may be removed only then: the ends on a removed VM can't be read again, and tasks that had ended
    /// there would be started once more.
    [[nodiscard]] bool is_releasable(const std::string& vm) const;
    /// Returns the deadline for the next renewal of the VM's lease, on the VM's clock, and records it as
    /// granted. Returns 0 if the VM must only be polled: its clock is not known yet, it does not respond, or
    /// only runs of unknown jobs are there.
    [[nodiscard]] std::int64_t grant_lease_renewal(const std::string& vm, timestamp now);
    [[nodiscard]] const vm_table& vms() const noexcept { return m_vms; }
    /// Whether the VM must be polled frequently: it has a run that is not available yet or is unwanted, tasks
    /// that may disturb each other, or several tasks that end soon.
    [[nodiscard]] bool needs_frequent_polling(const std::string& vm) const;

    // --- Deciding ---

    [[nodiscard]] decisions decide(timestamp now, const owner_view& owner);
    /// Whether starts were held back until earlier ones are answered, and enough of these are. Checked with
    /// each answer, so that the next decision follows at once.
    [[nodiscard]] bool can_start_more() const noexcept { return m_start_window.can_resume(); }
    [[nodiscard]] pool_load load() const;
    /// Capacity that finishes all accepted work in time, as of the last decision, and what long-lived tasks
    /// use. `present`: the result of load().
    [[nodiscard]] std::int64_t committed_millicores(const pool_load& present, timestamp now) const;
    /// Returns the capacity that the pool needs, and the load of its VMs.
    [[nodiscard]] pool_demand demand(timestamp now);
    /// Starts nothing while `held`, because the free capacity of the VMs isn't known.
    void hold_starts(bool held) noexcept { m_starts_held = held; }
    /// Records a submitted job, accepted or refused; it counts as demand for a while.
    void record_job_arrival(const job_spec& spec, timestamp now);
    /// Sets the number of VMs that are being moved to the pool, and of machines that no pool wants. Valid
    /// until the next call, which comes with each round of the fleet's owner; when that owner dies, with its
    /// successor's first round, 2.2 s later.
    void set_expected_vms(std::size_t arriving, std::size_t obtainable) {
        m_arriving_vms = arriving;
        m_obtainable_vms = obtainable;
    }

    // --- Storing ---

    [[nodiscard]] bool has_changes() const { return !m_changed_jobs.empty() || m_has_ends_to_store; }
    /// Whether a client waits for a change to be stored: a job that ended.
    [[nodiscard]] bool has_urgent_changes() const noexcept { return m_has_urgent_changes; }
    [[nodiscard]] store_batch begin_store_batch();
    /// Records that the job's changes up to `change` are stored.
    void mark_job_stored(const std::string& job, std::uint64_t change, timestamp now);
    void mark_batch_stored(const store_batch& batch);
    /// Records that the batch could not be stored; its changes go into the next one.
    void mark_batch_failed(const store_batch& batch);
    /// Removes jobs whose final phase has been stored for `keep` and that have no run left; returns them.
    std::vector<removed_job> remove_final_jobs(timestamp now, milliseconds keep);

  private:
    struct candidate;

    const queue_settings* queue_of(const job_state& job) const;
    void add_note(std::string what, const std::string& vm, const task_id* task, std::uint32_t attempt);
    void mark_changed(job_state& job, bool urgent);

    // Reports.
    [[nodiscard]] static const task_state* first_waiting_task(const job_state& job, step_position position);
    [[nodiscard]] std::optional<wait_reason> wait_reason_of(const job_state& job, step_position position,
                                                            timestamp now) const;
    [[nodiscard]] std::optional<waiting_job> describe_waiting(const job_state& job, timestamp now) const;
    [[nodiscard]] step_report describe_step(const job_state& job, step_position position,
                                            timestamp now) const;

    // Runs.
    run& add_run(job_state& job, const task_id& id, run item, vm_state& vm);
    void process_end(vm_state& vm, const end_report& end, timestamp now);
    [[nodiscard]] bool has_run(const vm_state& vm, const end_report& end) const;
    void process_done(job_state& job, const task_id& id, timestamp now);
    void process_failure(job_state& job, const task_id& id, std::uint32_t attempt, vm_state& vm,
                         timestamp now);
    [[nodiscard]] bool has_task(const task_id& id) const;
    void process_running(vm_state& vm, const running_report& item, const vm_report& report, timestamp now);
    void process_orphans(vm_state& vm, const vm_report& report);
    void drop_missing_runs(vm_state& vm, const vm_report& report, timestamp now);
    void drop_run(job_state& job, const task_id& id, std::uint32_t attempt, const std::string& vm,
                  timestamp now);
    void end_superseded_incarnations(const vm_info& alive, timestamp now);
    std::vector<task_id> end_previous_incarnations(vm_state& current, timestamp now);
    std::vector<task_id> move_runs(vm_state& from, vm_state& to, bool all);
    void stop_late_starts(vm_state& from, vm_state& to, timestamp now);
    void stop_unlisted_runs(const std::vector<task_id>& moved, const std::string& vm, timestamp now);
    void drop_ended_runs(vm_state& vm, const vm_end& end, timestamp now);
    [[nodiscard]] vm_end describe_end(const vm_state& vm, vm_end_cause cause, timestamp now) const;
    void stop_run(const task_id& id, run& item, timestamp now);
    void stop_job_runs(job_state& job, timestamp now);
    void finish_job(job_state& job, job_phase phase, timestamp now);

    // VMs that end while running tasks.
    void evaluate_vm_end(const vm_end& end, end_certainty certainty, timestamp now);
    void record_unresponsive_vms(timestamp now);
    [[nodiscard]] bool is_part_of_mass_loss(const vm_end& end) const;
    void add_crash_evidence(const task_id& id, const crash_evidence& evidence, timestamp now);
    void update_suspicion(const task_id& id, std::string_view reason, timestamp now);
    void give_up_task(const task_id& id, timestamp now);
    void mark_explained_by(const task_state& culprit, const std::string& job);
    void clear_suspicion(job_state& job, const task_id& id, std::string_view reason);
    void restore_suspicions(const job_state& restored);
    void remove_suspects_of_job(const std::string& job);
    void process_unresponsive_vm_response(const std::string& vm, timestamp now);
    void confirm_unresponsive_vm_end(const std::string& vm, timestamp now);
    void confirm_superseded_vms(const vm_info& alive, timestamp now);
    [[nodiscard]] std::vector<task_id> suspects_on(const std::string& vm) const;
    void infer_crash_evidence(timestamp now);
    void mark_suspect_vms(timestamp now);
    [[nodiscard]] std::size_t usable_vm_count() const;
    [[nodiscard]] double shrink_factor() const;
    [[nodiscard]] pool_load load_within(const std::string& account, const resources& available) const;
    [[nodiscard]] vm_state* choose_vm_for_task(const job_state& job, const task_id& id,
                                               const step_advice* advice,
                                               const placement_preference& preferred, timestamp now);
    [[nodiscard]] vm_state* choose_isolated_vm(const job_state& job, const task_id& id,
                                               const step_advice* advice, timestamp now);
    [[nodiscard]] std::size_t unproven_runs_of_other_jobs(const vm_state& vm, const std::string& job,
                                                          timestamp now) const;

    // Deciding.
    void drop_expired_vms(timestamp now);
    void drop_expired_runs(vm_state& vm, timestamp now);
    void complete_takeover(timestamp now, bool hears_answers);
    void settle_inherited_use();
    void update_runs(timestamp now, bool hears_answers);
    void settle_start(const task_id& id, run& item, vm_state& vm, timestamp now);
    void stop_orphans(vm_state& vm, timestamp now);
    void evacuate(vm_state& vm, timestamp now);
    [[nodiscard]] std::uint32_t unavailable_tasks(const job_state& job, step_position position,
                                                  timestamp now) const;
    [[nodiscard]] bool is_available(const run& item, timestamp now) const;
    void adjust_pace(vm_state& vm);
    void place_waiting_tasks(timestamp now);
    [[nodiscard]] resources free_capacity() const;
    bool is_blocked_by_limit(const job_state& job, step_position position);
    void measure_waiting_work(timestamp now);
    void add_waiting_work(const job_state& job, std::uint32_t occurrence);
    void add_commitments(const job_state& job, std::uint32_t occurrence, timestamp objective_at,
                         timestamp now);
    [[nodiscard]] std::uint64_t vms_for_long_lived(std::size_t usable_vms) const;
    [[nodiscard]] std::map<std::string, std::int64_t> wanted_by_label(timestamp now) const;
    void place_step(job_state& job, step_position position, timestamp now);
    [[nodiscard]] placement_preference preference_for(const job_state& job, step_position position,
                                                      std::string rack, timestamp now);
    bool place_task(job_state& job, const task_id& id, std::uint32_t attempt,
                    const placement_preference& preferred, timestamp now);
    [[nodiscard]] step_advice* advice_for(const job_state& job, step_position position);
    void request_advice(const job_state& job, step_position position, step_advice& advice, timestamp now);
    void place_gang(job_state& job, step_position position, timestamp now);

    scheduler_settings m_settings;
    std::uint32_t m_first_attempt;
    std::vector<queue_settings> m_queues;
    std::map<std::string, job_state, std::less<>> m_jobs;
    vm_table m_vms;
    /// VMs that may run tasks of a previous owner and have not reported yet.
    std::set<std::string> m_unconfirmed_vms;
    timestamp m_takeover_deadline;
    bool m_takeover_completed = false;
    std::set<std::string> m_changed_jobs; ///< Jobs to store.
    bool m_has_urgent_changes = false;
    bool m_has_ends_to_store = false;
    std::int64_t m_waiting_work = 0;
    std::int64_t m_runnable_work = 0;
    std::int64_t m_upcoming_work = 0;
    std::int64_t m_late_work = 0;
    /// Waiting work of each account that is not late, or that waits for the account's limit.
    std::map<std::string, std::int64_t> m_account_work;
    milliseconds m_wall_offset{0}; ///< Time of day minus the owner's clock, as of the last decision.
    work_gauge m_work_gauge;
    run_times m_run_times;
    commitments m_commitments; ///< Accepted work that can still be in time, as of the last decision.
    demand_meter m_demand_meter;
    label_meters m_label_meters;
    bool m_starts_held = false;
    std::size_t m_arriving_vms = 0;
    std::size_t m_obtainable_vms = 0;
    /// Job, occurrence and step -> the VMs that may run the step; only for queues with a policy.
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, step_advice> m_advice;
    std::set<task_id> m_suspects; ///< Tasks with crash evidence recorded against them.
    recent_vm_ends m_recent_ends;
    /// VMs whose end is not confirmed -> their machine.
    std::map<std::string, std::string> m_unresponsive_vms;
    /// VMs of the previous owner that crashed before they reported.
    std::vector<std::string> m_ended_unconfirmed_vms;
    /// Job -> when a suspected task of it was last started; recent ones only.
    std::map<std::string, timestamp> m_suspect_starts;
    bool m_has_suspect_marks = false;  ///< VMs are marked as running suspected tasks.
    bool m_isolation_lacks_vm = false; ///< A task to be isolated finds no VM without long-lived tasks.
    start_window m_start_window;
    start_settling m_start_settling;
    /// Set while starts are held back; as of the last decision.
    std::optional<std::int64_t> m_sustained_millicores;
    decisions m_pending_decisions;
    account_ledger m_accounts;
};

} // namespace siskinpaddle::jobs
