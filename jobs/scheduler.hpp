#pragma once

#include "jobs/balance.hpp"
#include "jobs/job_admission.hpp"
#include "jobs/label_meters.hpp"
#include "jobs/placement.hpp"
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

/// Bounds and durations of an owner's decisions.
struct scheduler_settings {
    /// Lease of everything that runs on a VM; the platform's longest.
    milliseconds lease = 6s;
    /// A start that arrives later than this is refused by the VM. Above a slow round trip, below the two
    /// seconds after which the platform may carry out an order that was not answered.
    milliseconds start_timeout = 1500ms;
    /// How long after a takeover runs of the earlier owner may live on VMs that don't answer.
    milliseconds takeover_timeout = 12s;
    milliseconds max_stop_time = 1s; ///< A run that is stopped ends, and is listed until then, within this.
    milliseconds stop_retry_interval = 600ms; ///< A stop without an answer is sent again after this.
    std::size_t frequent_poll_runs =
        3; ///< Runs that end by themselves; a VM with so many is looked at closely.
    std::uint32_t attempts_per_epoch = 1000; ///< Attempt numbers of one owner; its successor's are higher.
    placement_settings placement;
    start_window_settings starts;
};

/// Start a run.
struct start_order {
    std::string vm;
    task_id task;
    std::uint32_t attempt = 0;
    std::int64_t deadline = 0; ///< On the VM's clock: arriving later, it is refused.
    std::string checkpoint;
    std::string ticket;
};

/// Stop a run, or keep one from starting.
struct stop_order {
    std::string vm;
    task_id task;
    std::uint32_t attempt = 0;
};

/// Let a run work at a share of its speed.
struct pace_order {
    std::string vm;
    task_id task;
    std::uint32_t attempt = 0;
    int percent = 100;
};

/// Why a run or a VM was given up, for the log.
struct scheduler_note {
    std::string what;
    std::string vm;
    std::optional<task_id> task;
    std::uint32_t attempt = 0;
};

/// What is held against a task has changed.
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
    std::vector<advice_request> advice_requests; ///< To the policy service.
    std::vector<scheduler_note> notes;
    std::vector<vm_end> ended_vms; ///< Those that were in use; for the log.
    std::vector<suspicion_change> suspicion_changes;
};

/// What has to be stored next, and what may be told once it is.
struct store_batch {
    std::vector<std::string> jobs;                     ///< Jobs with changes.
    std::map<std::string, std::int64_t> end_sequences; ///< VM -> ends that the VM may forget afterwards.

    [[nodiscard]] bool empty() const noexcept { return jobs.empty() && end_sequences.empty(); }
};

enum class cancel_outcome : std::uint8_t { unknown_job, cancelled, already_final };

/// Decides for one pool which task runs where: pure, events and clock readings in, orders out. One owner at a
/// time has a pool; the fencing token keeps an earlier one's orders from being obeyed. Not thread-safe.
///
/// No task runs twice at a time: a run is given up only when its VM says that it isn't there and can't come
/// any more, when another life of the VM answers, or when the VM's lease has certainly run out.
class scheduler {
  public:
    /// `epoch` counts the owners of the pool from 0.
    scheduler(scheduler_settings settings, std::uint32_t epoch, timestamp now);

    void configure(std::vector<queue_settings> queues) { m_queues = std::move(queues); }

    // --- Jobs ---

    [[nodiscard]] bool has_job(const std::string& job) const { return m_jobs.contains(job); }
    [[nodiscard]] admission_verdict check_admission(const job_spec& spec) const;
    void add_job(const job_record& record, timestamp accepted_at);
    /// Adds a job that an earlier owner stored. Its tasks start once every VM that may run them was heard.
    void restore_job(const job_record& record, const std::optional<job_progress>& progress,
                     timestamp accepted_at);
    cancel_outcome cancel(const std::string& job, timestamp now);
    /// The phase to tell clients: a final one only once it is stored. Nothing for an unknown job.
    [[nodiscard]] std::optional<job_phase> phase_of(const std::string& job) const;
    /// Jobs of the queue that have not begun.
    [[nodiscard]] std::size_t pending_jobs(const std::string& queue) const;
    [[nodiscard]] const job_state* find_job(const std::string& job) const;
    [[nodiscard]] std::size_t job_count() const noexcept { return m_jobs.size(); }
    /// Tasks that something is held against.
    [[nodiscard]] std::size_t suspect_count() const noexcept { return m_suspects.size(); }

    // --- VMs ---

    /// A VM that the platform lists, or that changed what it tells.
    void add_or_update_vm(const vm_info& info);
    void mark_vm_delisted(const std::string& vm);
    /// A VM that an earlier owner may have used; its runs are unknown until it reports or is gone.
    void expect_vm(const vm_info& info);
    /// VMs that may run tasks of an earlier owner and have not answered yet; while there are any, those tasks
    /// wait.
    [[nodiscard]] const std::set<std::string>& unconfirmed_vms() const noexcept { return m_unconfirmed_vms; }
    /// This life of the VM has certainly ended.
    void handle_vm_ended(const std::string& vm, vm_end_cause cause, timestamp now);
    void handle_report(const std::string& vm, const vm_report& report, timestamp now);
    void handle_vm_unreachable(const std::string& vm, timestamp now);
    void handle_start_answer(const start_order& order, order_outcome outcome, std::int64_t clock_ms,
                             timestamp now);
    void handle_stop_answer(const stop_order& order, order_outcome outcome, std::int64_t clock_ms,
                            timestamp now);
    void handle_advice_answer(const advice_request& request, const advice_answer& answer, timestamp now);
    void cordon(const std::string& vm, bool on);
    /// Nothing runs on the VM, or may yet start there, and all ends that it has listed are stored. Only then
    /// may it go: the ends of a VM that is gone can't be read again, and what had ended there would be
    /// started once more.
    [[nodiscard]] bool is_releasable(const std::string& vm) const;
    /// Deadline for the next renewal of the VM's lease; books it as granted. 0: only look, since its clock is
    /// not known yet, it does not answer, or nothing runs there but runs of unknown jobs.
    [[nodiscard]] std::int64_t grant_lease_renewal(const std::string& vm, timestamp now);
    [[nodiscard]] const vm_table& vms() const noexcept { return m_vms; }
    /// Whether the VM runs something that should be looked at often: a run that is not at work yet or is
    /// unwanted, tasks that may disturb each other, or several that soon end.
    [[nodiscard]] bool needs_frequent_polling(const std::string& vm) const;

    // --- Deciding ---

    /// `wall_ms`: time of day for jobs with due times. `certain`: nobody else can have owned the pool since;
    /// only then does silence of a VM prove anything, since a successor that reaches it would renew its
    /// lease.
    [[nodiscard]] decisions decide(timestamp now, std::int64_t wall_ms, bool ownership_confirmed);
    /// Starts were held back until earlier ones are answered, and enough of these are. To be asked with each
    /// answer, so that the next decision comes at once.
    [[nodiscard]] bool can_start_more() const noexcept { return m_start_window.can_resume(); }
    [[nodiscard]] pool_load load() const;
    /// What the pool needs, and its VMs.
    [[nodiscard]] pool_demand demand(timestamp now);
    /// Starts nothing while `held`: how much room the VMs have isn't known.
    void hold_starts(bool held) noexcept { m_starts_held = held; }
    /// A job was handed in, accepted or not; it counts as demand for a while.
    void record_job_arrival(const job_spec& spec, timestamp now);
    /// VMs that are on their way to the pool, and machines that no pool wants. Holds until told anew, with
    /// each round of the machines' owner; when that one dies, until its successor's first round, 2.2 s later.
    void set_expected_vms(std::size_t arriving, std::size_t obtainable) {
        m_arriving_vms = arriving;
        m_obtainable_vms = obtainable;
    }

    // --- Storing ---

    [[nodiscard]] bool has_changes() const { return !m_changed_jobs.empty() || m_has_ends_to_store; }
    /// Whether somebody waits for a change: a job that ended.
    [[nodiscard]] bool has_urgent_changes() const noexcept { return m_has_urgent_changes; }
    [[nodiscard]] store_batch begin_store_batch();
    /// The job's changes up to `change` are stored.
    void mark_job_stored(const std::string& job, std::uint64_t change, timestamp now);
    void mark_batch_stored(const store_batch& batch);
    /// The round could not be stored; its changes go into the next one.
    void mark_batch_failed(const store_batch& batch);
    /// Forgets jobs whose final phase has been stored for `keep` and that have no run left; returns them.
    std::vector<std::pair<std::string, job_phase>> remove_final_jobs(timestamp now, milliseconds keep);

  private:
    struct candidate;

    const queue_settings* queue_of(const job_state& job) const;
    void add_note(std::string what, const std::string& vm, const task_id* task, std::uint32_t attempt);
    void mark_changed(job_state& job, bool urgent);

    // Runs.
    void process_end(vm_state& vm, const end_report& end, timestamp now);
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
    void drop_all_runs(vm_state& vm, vm_end_cause cause, timestamp now);
    [[nodiscard]] vm_end describe_end(const vm_state& vm, vm_end_cause cause, timestamp now) const;
    void stop_run(const task_id& id, run& item, timestamp now);
    void stop_job_runs(job_state& job, timestamp now);
    void finish_job(job_state& job, job_phase phase, timestamp now);

    // VMs that end under tasks.
    void process_vm_end(const vm_end& end, end_certainty certainty, timestamp now);
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
    void mark_suspect_vms();
    [[nodiscard]] std::size_t usable_vm_count() const;
    [[nodiscard]] double shrink_factor() const;
    [[nodiscard]] vm_state* choose_vm_for_task(const job_state& job, const task_id& id,
                                               const step_advice* advice, const std::string& near_rack,
                                               timestamp now);
    [[nodiscard]] vm_state* choose_isolated_vm(const job_state& job, const task_id& id,
                                               const step_advice* advice, timestamp now);
    [[nodiscard]] std::size_t unproven_runs_of_other_jobs(const vm_state& vm, const std::string& job,
                                                          timestamp now) const;

    // Deciding.
    void drop_expired_vms(timestamp now);
    void complete_takeover(timestamp now);
    void update_runs(timestamp now);
    void stop_orphans(vm_state& vm, timestamp now);
    void evacuate(vm_state& vm, timestamp now);
    [[nodiscard]] std::uint32_t unavailable_tasks(const job_state& job, step_position position,
                                                  timestamp now) const;
    [[nodiscard]] bool is_available(const run& item, timestamp now) const;
    void adjust_pace(vm_state& vm);
    void place_waiting_tasks(timestamp now);
    void measure_waiting_work(timestamp now);
    void add_waiting_work(const job_state& job, std::uint32_t occurrence);
    [[nodiscard]] std::uint64_t vms_for_long_running(std::size_t usable_vms) const;
    [[nodiscard]] std::map<std::string, std::int64_t> wanted_by_label(timestamp now) const;
    void place_step(job_state& job, step_position position, timestamp now);
    bool place_task(job_state& job, const task_id& id, std::uint32_t attempt, const std::string& near_rack,
                    timestamp now);
    [[nodiscard]] step_advice* advice_for(const job_state& job, step_position position);
    void request_advice(const job_state& job, step_position position, step_advice& advice, timestamp now);
    void place_gang(job_state& job, step_position position, timestamp now);

    scheduler_settings m_settings;
    std::uint32_t m_first_attempt;
    std::vector<queue_settings> m_queues;
    std::map<std::string, job_state, std::less<>> m_jobs;
    vm_table m_vms;
    std::set<std::string>
        m_unconfirmed_vms; ///< VMs that may run tasks of an earlier owner and did not report yet.
    timestamp m_takeover_deadline;
    bool m_takeover_completed = false;
    std::set<std::string> m_changed_jobs; ///< Jobs to store.
    bool m_has_urgent_changes = false;
    bool m_has_ends_to_store = false;
    std::int64_t m_waiting_work = 0;
    std::int64_t m_runnable_work = 0;
    std::int64_t m_upcoming_work = 0;
    std::int64_t m_late_work = 0;
    milliseconds m_wall_offset{0}; ///< Time of day less our clock, as of the last decision.
    work_gauge m_work_gauge;
    demand_meter m_demand_meter;
    label_meters m_label_meters;
    bool m_starts_held = false;
    std::size_t m_arriving_vms = 0;
    std::size_t m_obtainable_vms = 0;
    /// Job, occurrence and step -> the VMs that may run it; only for queues with a policy.
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, step_advice> m_advice;
    std::set<task_id> m_suspects; ///< Tasks under which VMs have ended.
    recent_vm_ends m_recent_ends;
    std::map<std::string, std::string> m_unresponsive_vms; ///< Whose end is not certain; to their machine.
    std::vector<std::string>
        m_ended_unconfirmed_vms;            ///< VMs of the earlier owner that crashed before they answered.
    std::string m_last_suspect_job;         ///< Job of the suspected task that was started last ...
    timestamp m_last_suspect_started_at{0}; ///< ... and when.
    bool m_has_suspect_marks = false;       ///< VMs are marked as those where suspected tasks run.
    bool m_isolation_lacks_vm = false;      ///< A task to be isolated finds no VM without long-running ones.
    start_window m_start_window;
    std::optional<std::int64_t>
        m_sustained_millicores; ///< While starts are held back; as of the last decision.
    decisions m_pending_decisions;
};

} // namespace siskinpaddle::jobs
