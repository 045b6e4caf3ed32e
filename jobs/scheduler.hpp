#pragma once

#include "jobs/balance.hpp"
#include "jobs/label_meters.hpp"
#include "jobs/order.hpp"
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
    milliseconds start_patience = 1500ms;
    /// How long after a takeover runs of the earlier owner may live on VMs that don't answer.
    milliseconds unaccounted_window = 12s;
    milliseconds stop_time = 1s;      ///< A run that is stopped ends, and is listed until then, within this.
    milliseconds stop_repeat = 600ms; ///< A stop without an answer is sent again after this.
    std::size_t busy_runs = 3; ///< Runs that end by themselves; a VM with so many is looked at closely.
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
    std::string why;
};

struct decisions {
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<pace_order> paces;
    std::vector<advice_request> questions; ///< To the policy service.
    std::vector<scheduler_note> notes;
    std::vector<vm_end> ended_vms; ///< Those that were in use; for the log.
    std::vector<suspicion_change> suspicions;
};

/// What has to be stored next, and what may be told once it is.
struct store_round {
    std::vector<std::string> jobs;            ///< Jobs with changes.
    std::map<std::string, std::int64_t> ends; ///< VM -> ends that the VM may forget afterwards.

    [[nodiscard]] bool empty() const noexcept { return jobs.empty() && ends.empty(); }
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

    [[nodiscard]] bool knows(const std::string& job) const { return m_jobs.contains(job); }
    [[nodiscard]] admission_verdict judge(const job_spec& spec) const;
    void add_job(const job_record& record, timestamp accepted_at);
    /// Adds a job that an earlier owner stored. Its tasks start once every VM that may run them was heard.
    void restore_job(const job_record& record, const std::optional<job_progress>& progress,
                     timestamp accepted_at);
    cancel_outcome cancel(const std::string& job, timestamp now);
    /// The phase to tell clients: a final one only once it is stored. Nothing for an unknown job.
    [[nodiscard]] std::optional<job_phase> phase_of(const std::string& job) const;
    /// Jobs of the queue that have not begun.
    [[nodiscard]] std::size_t pending(const std::string& queue) const;
    [[nodiscard]] const job_state* find_job(const std::string& job) const;
    [[nodiscard]] std::size_t job_count() const noexcept { return m_jobs.size(); }
    /// Tasks that something is held against.
    [[nodiscard]] std::size_t suspects() const noexcept { return m_suspects.size(); }

    // --- VMs ---

    /// A VM that the platform lists, or that changed what it tells.
    void list_vm(const vm_info& info);
    void delist_vm(const std::string& vm);
    /// A VM that an earlier owner may have used; its runs are unknown until it reports or is gone.
    void expect_vm(const vm_info& info);
    /// VMs that may run tasks of an earlier owner and have not answered yet; while there are any, those tasks
    /// wait.
    [[nodiscard]] const std::set<std::string>& unheard() const noexcept { return m_unheard; }
    /// This life of the VM has certainly ended.
    void vm_gone(const std::string& vm, vm_end_cause cause, timestamp now);
    void take_report(const std::string& vm, const vm_report& report, timestamp now);
    void vm_unreachable(const std::string& vm, timestamp now);
    void start_answered(const start_order& order, order_outcome outcome, std::int64_t clock_ms,
                        timestamp now);
    void stop_answered(const stop_order& order, order_outcome outcome, std::int64_t clock_ms, timestamp now);
    void advice_answered(const advice_request& request, const advice_answer& answer, timestamp now);
    void cordon(const std::string& vm, bool on);
    /// Nothing runs on the VM, or may yet start there, and all ends that it has listed are stored. Only then
    /// may it go: the ends of a VM that is gone can't be read again, and what had ended there would be
    /// started once more.
    [[nodiscard]] bool is_settled(const std::string& vm) const;
    /// Deadline for the next renewal of the VM's lease; books it as granted. 0: only look, since its clock is
    /// not known yet, it does not answer, or nothing runs there but runs of unknown jobs.
    [[nodiscard]] std::int64_t renewal_deadline(const std::string& vm, timestamp now);
    [[nodiscard]] const vm_table& vms() const noexcept { return m_vms; }
    /// Whether the VM runs something that should be looked at often: a run that is not at work yet or is
    /// unwanted, tasks that may disturb each other, or several that soon end.
    [[nodiscard]] bool wants_close_look(const std::string& vm) const;

    // --- Deciding ---

    /// `wall_ms`: time of day for jobs with due times. `certain`: nobody else can have owned the pool since;
    /// only then does silence of a VM prove anything, since a successor that reaches it would renew its
    /// lease.
    [[nodiscard]] decisions decide(timestamp now, std::int64_t wall_ms, bool certain);
    /// Starts were held back until earlier ones are answered, and enough of these are. To be asked with each
    /// answer, so that the next decision comes at once.
    [[nodiscard]] bool may_start_more() const noexcept { return m_starts_on_way.can_resume(); }
    [[nodiscard]] pool_load load() const;
    /// What the pool needs, and its VMs.
    [[nodiscard]] pool_demand demand(timestamp now);
    /// Starts nothing while `held`: how much room the VMs have isn't known.
    void hold_starts(bool held) noexcept { m_starts_held = held; }
    /// A job was handed in, accepted or not; it counts as demand for a while.
    void job_arrived(const job_spec& spec, timestamp now);
    /// VMs that are on their way to the pool, and machines that no pool wants. Holds until told anew, with
    /// each round of the machines' owner; when that one dies, until its successor's first round, 2.2 s later.
    void expect_vms(std::size_t arriving, std::size_t obtainable) {
        m_arriving_vms = arriving;
        m_obtainable_vms = obtainable;
    }

    // --- Storing ---

    [[nodiscard]] bool has_changes() const { return !m_changed.empty() || m_ends_to_store; }
    /// Whether somebody waits for a change: a job that ended.
    [[nodiscard]] bool has_urgent_changes() const noexcept { return m_urgent; }
    [[nodiscard]] store_round begin_store();
    /// The job's changes up to `change` are stored.
    void job_stored(const std::string& job, std::uint64_t change, timestamp now);
    void round_stored(const store_round& round);
    /// The round could not be stored; its changes go into the next one.
    void round_failed(const store_round& round);
    /// Forgets jobs whose final phase has been stored for `keep` and that have no run left; returns them.
    std::vector<std::pair<std::string, job_phase>> forget_final(timestamp now, milliseconds keep);

  private:
    struct candidate;

    const queue_settings* queue_of(const job_state& job) const;
    void note(std::string what, const std::string& vm, const task_id* task, std::uint32_t attempt);
    void changed(job_state& job, bool urgent);

    // Runs.
    void take_end(vm_state& vm, const end_report& end, timestamp now);
    void take_done(job_state& job, const task_id& id, timestamp now);
    void take_failure(job_state& job, const task_id& id, std::uint32_t attempt, vm_state& vm, timestamp now);
    [[nodiscard]] bool knows_task(const task_id& id) const;
    void take_running(vm_state& vm, const running_report& item, const vm_report& report, timestamp now);
    void take_orphans(vm_state& vm, const vm_report& report);
    void settle_missing(vm_state& vm, const vm_report& report, timestamp now);
    void drop_run(job_state& job, const task_id& id, std::uint32_t attempt, const std::string& vm,
                  timestamp now);
    void forget_earlier_lives(const vm_info& alive, timestamp now);
    void drop_runs_of(vm_state& vm, vm_end_cause cause, timestamp now);
    [[nodiscard]] vm_end describe_end(const vm_state& vm, vm_end_cause cause, timestamp now) const;
    void stop_run(const task_id& id, run& item, timestamp now);
    void stop_all(job_state& job, timestamp now);
    void finish(job_state& job, job_phase phase, timestamp now);

    // VMs that end under tasks.
    void take_vm_end(const vm_end& end, vm_fate fate, timestamp now);
    void note_silent_vms(timestamp now);
    [[nodiscard]] bool ended_in_mass(const vm_end& end) const;
    void hold_against(const task_id& id, const crash_evidence& evidence, timestamp now);
    void reconsider(const task_id& id, std::string_view why, timestamp now);
    void give_task_up(const task_id& id, timestamp now);
    void explain_by(const task_state& culprit, const std::string& job);
    void clear_suspicion(job_state& job, const task_id& id, std::string_view why);
    void suspect_again(const job_state& restored);
    void forget_suspicions(const std::string& job);
    void silent_vm_answers(const std::string& vm, timestamp now);
    void silent_vm_ended(const std::string& vm, timestamp now);
    void machine_answers(const vm_info& alive, timestamp now);
    [[nodiscard]] std::vector<task_id> suspects_of(const std::string& vm) const;
    void infer_ends(timestamp now);
    void mark_suspects();
    [[nodiscard]] std::size_t usable_vms() const;
    [[nodiscard]] double shrunk_by() const;
    [[nodiscard]] vm_state* choose_vm_for(const job_state& job, const task_id& id, const step_advice* advice,
                                          const std::string& near_rack, timestamp now);
    [[nodiscard]] vm_state* choose_isolated_vm(const job_state& job, const task_id& id,
                                               const step_advice* advice, timestamp now);
    [[nodiscard]] std::size_t unproven_others(const vm_state& vm, const std::string& job,
                                              timestamp now) const;

    // Deciding.
    void give_up_lapsed(timestamp now);
    void account(timestamp now);
    void tend_runs(timestamp now);
    void stop_orphans(vm_state& vm, timestamp now);
    void evacuate(vm_state& vm, timestamp now);
    [[nodiscard]] std::uint32_t away(const job_state& job, step_place place, timestamp now) const;
    [[nodiscard]] bool at_work(const run& item, timestamp now) const;
    void pace(vm_state& vm);
    void place_waiting(timestamp now);
    void measure_waiting(timestamp now);
    void count_waiting(const job_state& job, std::uint32_t occurrence);
    [[nodiscard]] std::uint64_t vms_for_endless(std::size_t usable_vms) const;
    [[nodiscard]] std::map<std::string, std::int64_t> wanted_by_label(timestamp now) const;
    void place_step(job_state& job, step_place place, timestamp now);
    bool place_task(job_state& job, const task_id& id, std::uint32_t attempt, const std::string& near_rack,
                    timestamp now);
    [[nodiscard]] step_advice* advice_for(const job_state& job, step_place place);
    void ask_advice(const job_state& job, step_place place, step_advice& advice, timestamp now);
    void place_gang(job_state& job, step_place place, timestamp now);

    scheduler_settings m_settings;
    std::uint32_t m_first_attempt;
    std::vector<queue_settings> m_queues;
    std::map<std::string, job_state, std::less<>> m_jobs;
    vm_table m_vms;
    std::set<std::string> m_unheard; ///< VMs that may run tasks of an earlier owner and did not report yet.
    timestamp m_unaccounted_until;
    bool m_accounted = false;
    std::set<std::string> m_changed; ///< Jobs to store.
    bool m_urgent = false;
    bool m_ends_to_store = false;
    std::int64_t m_waiting_work = 0;
    std::int64_t m_runnable_work = 0;
    std::int64_t m_coming_work = 0;
    std::int64_t m_late_work = 0;
    milliseconds m_wall_offset{0}; ///< Time of day less our clock, as of the last decision.
    work_gauge m_gauge;
    demand_meter m_demand;
    label_meters m_labels;
    bool m_starts_held = false;
    std::size_t m_arriving_vms = 0;
    std::size_t m_obtainable_vms = 0;
    /// Job, occurrence and step -> the VMs that may run it; only for queues with a policy.
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, step_advice> m_advice;
    std::set<task_id> m_suspects; ///< Tasks under which VMs have ended.
    recent_ends m_recent_ends;
    std::map<std::string, std::string> m_silent_vms; ///< Whose end is not certain; to their machine.
    std::vector<std::string> m_ended_unheard; ///< VMs of the earlier owner that crashed before they answered.
    std::string m_suspect_started;            ///< Job of the suspected task that was started last ...
    timestamp m_suspect_started_at{0};        ///< ... and when.
    bool m_marked = false;                    ///< VMs are marked as those where suspected tasks run.
    bool m_isolation_lacks_vm = false; ///< A task to be isolated finds no VM without long-running ones.
    start_window m_starts_on_way;
    std::optional<std::int64_t>
        m_sustained_millicores; ///< While starts are held back; as of the last decision.
    decisions m_out;
};

} // namespace siskinpaddle::jobs
