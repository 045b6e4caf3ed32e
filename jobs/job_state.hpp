#pragma once

#include "jobs/fleet_configuration.hpp"
#include "jobs/suspicion.hpp"
#include "jobs/vm.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace siskinpaddle::jobs {

/// State of a run as known to the owner of the pool.
enum class run_phase : std::uint8_t {
    starting,    ///< The start order is in flight.
    unconfirmed, ///< The start was not answered: the run may be there, may start later, or may never start.
    running,
    stopping ///< A stop was ordered; the run occupies its capacity until its end is reported.
};

/// One run of a task that may be active on a VM.
struct run {
    std::uint32_t attempt = 0;
    std::string vm; ///< Incarnation of the VM.
    run_phase phase = run_phase::starting;
    bool from_scratch = false; ///< Ordered by this owner without a checkpoint.
    bool reported = false;     ///< A report of this incarnation has listed the run.
    bool adopted = false; ///< Ordered by a previous owner; `started_at` is when this owner first saw the run.
    timestamp started_at{0};
    std::int64_t start_deadline = 0;  ///< On the VM's clock; the VM refuses the start from then on.
    std::int64_t confirmed_clock = 0; ///< The VM's clock when it confirmed the run.
    timestamp accepted_at{0};         ///< When the answer to its start arrived; 0: not yet.
    timestamp stop_sent_at{0};
    timestamp stop_acked_at{0}; ///< 0: no stop was acknowledged.
    std::int64_t percent = 0;
    timestamp progress_at{0}; ///< When `percent` last changed.
    std::int64_t usage = 0;
    int pace_percent = 100;

    /// Whether an answer that names the incarnation has confirmed the run. Until then a later incarnation may
    /// have taken the start order, which names the VM by its id.
    [[nodiscard]] bool is_proven() const noexcept { return reported || confirmed_clock > 0; }
};

struct task_state {
    bool done = false;
    /// Attempts that ended as failed, by number: a VM lists an end until the end is acknowledged, so a new
    /// owner can see an end that the previous owner already counted and stored.
    std::vector<std::uint32_t> failed_attempts;
    std::uint32_t attempts = 0; ///< Highest attempt number among the runs that this owner ordered or adopted.
    /// A previous owner may have ordered, or may yet order, a run on a VM that doesn't know this owner yet.
    /// Runs that are found on other VMs don't clear this flag.
    bool may_have_unknown_run = false;
    std::string checkpoint;
    std::vector<run> runs;
    std::vector<std::string> failed_on;     ///< VMs on which the task failed; other VMs are tried first.
    std::vector<crash_evidence> crashes;    ///< VMs that ended while running the task, oldest first.
    std::uint64_t crashes_change_count = 0; ///< The job's `change_count` when the latest evidence was added.
    timestamp idle_since{0};
};

/// The part of a job's state, beside its specification, that must survive a change of owner. Compact: one
/// byte for each task, and map entries only for the few tasks that need them.
struct job_progress {
    job_phase phase = job_phase::queued;
    std::string done; ///< For each task '1' if it is done, else '0'.
    std::map<std::uint32_t, std::vector<std::uint32_t>> failed_attempts;
    std::map<std::uint32_t, std::string> checkpoints;
    std::map<std::uint32_t, std::vector<crash_evidence>> crashes;
    std::string account; ///< The account of the job; empty if it has none.

    // Crash evidence and the account are written last and only if there are any, so that records without them
    // keep the format that versions of the program without them read and write.
    template <typename Archive>
    void save(Archive& archive) const {
        archive(phase, done, failed_attempts, checkpoints);
        if (!crashes.empty() || !account.empty()) {
            archive(crashes);
        }
        if (!account.empty()) {
            archive(account);
        }
    }
    template <typename Archive>
    void load(Archive& archive) {
        archive(phase, done, failed_attempts, checkpoints);
        if (archive.remaining_bytes() > 0) {
            archive(crashes);
        }
        if (archive.remaining_bytes() > 0) {
            archive(account);
        }
    }
};

/// A job as its owner stores it on acceptance.
struct job_record {
    job_spec spec;
    std::int64_t accepted_ms = 0; ///< Time of day, ms since 1970.
    std::string account;          ///< The account of the job; empty if it has none.

    // The account is written only if there is one: records without keep the format of versions of the program
    // without accounts.
    template <typename Archive>
    void save(Archive& archive) const {
        archive(spec, accepted_ms);
        if (!account.empty()) {
            archive(account);
        }
    }
    template <typename Archive>
    void load(Archive& archive) {
        archive(spec, accepted_ms);
        if (archive.remaining_bytes() > 0) {
            archive(account);
        }
    }
};

/// Position of a step within a job: the occurrence and the step.
struct step_position {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
};

/// One job and its tasks. Stores state and makes no decisions. Counters are updated with every change of a
/// task, so that scans skip jobs without pending work at no cost. Not thread-safe.
class job_state {
  public:
    /// `accepted_at` is on the owner's clock; `account` is empty for a job without one.
    job_state(job_spec spec, timestamp accepted_at, std::string account = {});

    [[nodiscard]] const job_spec& spec() const noexcept { return m_spec; }
    [[nodiscard]] const std::string& account() const noexcept { return m_account; }
    [[nodiscard]] timestamp accepted_at() const noexcept { return m_accepted_at; }
    [[nodiscard]] job_phase phase() const noexcept { return m_phase; }
    void set_phase(job_phase phase) noexcept { m_phase = phase; }

    [[nodiscard]] std::size_t occurrences() const noexcept { return m_spec.occurrences; }
    [[nodiscard]] bool contains(const task_id& id) const noexcept;
    /// Precondition: contains(id).
    [[nodiscard]] task_state& task(const task_id& id);
    [[nodiscard]] const task_state& task(const task_id& id) const;
    [[nodiscard]] task_id id_of(step_position position, std::uint32_t index) const;

    /// Whether all tasks of the steps that this step depends on are done.
    [[nodiscard]] bool dependencies_done(step_position position) const;
    /// Number of tasks of the step that are neither done nor have a run.
    [[nodiscard]] std::uint32_t idle_tasks(step_position position) const { return counts(position).idle; }
    /// The idle tasks of the step that may be started: not those that a previous owner may have started.
    [[nodiscard]] std::uint32_t startable_tasks(step_position position) const;
    [[nodiscard]] std::uint32_t unfinished_tasks(step_position position) const {
        return counts(position).unfinished;
    }
    /// Number of tasks of all steps that are neither done nor have a run.
    [[nodiscard]] std::uint32_t total_idle_tasks() const noexcept { return m_idle_tasks; }
    [[nodiscard]] std::uint32_t total_runs() const noexcept { return m_runs; }
    [[nodiscard]] bool all_done() const noexcept { return m_unfinished_tasks == 0; }
    /// Whether any task has been seen running.
    [[nodiscard]] bool has_begun() const noexcept { return m_begun; }
    void set_begun() noexcept { m_begun = true; }

    run& add_run(const task_id& id, run item);
    /// Removes a run and returns it. Precondition: the run exists.
    run remove_run(const task_id& id, std::uint32_t attempt, const std::string& vm, timestamp now);
    void mark_done(const task_id& id);

    /// Whether all crash evidence recorded against the task is stored. Precondition: contains(id).
    [[nodiscard]] bool crashes_stored(const task_id& id) const {
        return task(id).crashes_change_count <= stored_change_count;
    }

    [[nodiscard]] job_progress progress() const;
    /// Restores what a previous owner stored; sets `may_have_unknown_run` for unfinished tasks.
    void restore(const job_progress& progress);
    /// Clears `may_have_unknown_run` of all tasks, so that they can be started again.
    void clear_unknown_runs();

    /// Whether any step requires VMs with a label.
    [[nodiscard]] bool requires_label() const noexcept { return m_requires_label; }
    /// When the occurrence may begin, on the owner's clock: its due time or, without due times, when the job
    /// was accepted. `wall_offset`: time of day minus the owner's clock.
    [[nodiscard]] timestamp begins_at(std::uint32_t occurrence, milliseconds wall_offset) const noexcept {
        if (!m_spec.has_due_times) {
            return m_accepted_at;
        }
        return timestamp(m_spec.start_at_ms + occurrence * m_spec.period_ms) - wall_offset;
    }
    /// Estimated duration of the longest chain of dependent steps, ms.
    [[nodiscard]] std::int64_t critical_path_ms() const noexcept { return m_critical_path_ms; }
    /// Estimated duration of the longest chain of steps that depend on this one, ms.
    [[nodiscard]] std::int64_t time_after_step_ms(std::uint32_t step) const {
        return m_times_after_steps[step];
    }

    /// Calls `visit(position)` for each step of each occurrence.
    template <typename Visit>
    void for_each_step(Visit visit) const {
        for (std::uint32_t occurrence = 0; occurrence < m_spec.occurrences; ++occurrence) {
            for_each_step_of(occurrence, visit);
        }
    }
    /// Calls `visit(position)` for each step of one occurrence.
    template <typename Visit>
    void for_each_step_of(std::uint32_t occurrence, Visit visit) const {
        for (std::uint32_t step = 0; step < m_spec.steps.size(); ++step) {
            visit(step_position{occurrence, step});
        }
    }

    // Storage state, maintained by the owner.
    std::uint64_t change_count = 0;        ///< Number of changes that must be stored.
    std::uint64_t stored_change_count = 0; ///< The value of `change_count` that the store holds.
    bool is_final_phase_stored = false;    ///< The final phase is stored and may be reported to clients.
    timestamp final_at{0};

  private:
    struct step_counts {
        std::uint32_t unfinished = 0;
        std::uint32_t idle = 0;
    };

    void restore_task(const task_id& id, const job_progress& progress);
    [[nodiscard]] std::size_t task_index(const task_id& id) const;
    [[nodiscard]] const step_counts& counts(step_position position) const {
        return m_counts[position.occurrence * m_spec.steps.size() + position.step];
    }
    [[nodiscard]] step_counts& counts(step_position position) {
        return m_counts[position.occurrence * m_spec.steps.size() + position.step];
    }

    job_spec m_spec;
    std::string m_account;
    timestamp m_accepted_at;
    job_phase m_phase = job_phase::queued;
    /// Index of the first task of each step within one occurrence.
    std::vector<std::uint32_t> m_step_offsets;
    std::uint32_t m_tasks_per_occurrence = 0;
    std::vector<task_state> m_tasks;
    std::vector<step_counts> m_counts;
    std::uint32_t m_idle_tasks = 0;
    std::uint32_t m_unfinished_tasks = 0;
    std::uint32_t m_runs = 0;
    bool m_begun = false;
    std::int64_t m_critical_path_ms = 0;
    std::vector<std::int64_t> m_times_after_steps; ///< By step, ms.
    bool m_requires_label = false;
    bool m_may_have_unknown_runs = false; ///< Tasks may be marked with may_have_unknown_run.
};

/// Maximum number of tasks of a job over all occurrences; a larger job is refused. Derived from the store's
/// limit of one megabyte per value and the memory of the smallest node.
inline constexpr std::uint32_t max_tasks_per_job = 4096;

/// Returns everything wrong with a job before it is accepted: steps that depend on later steps, no tasks, too
/// many tasks.
[[nodiscard]] findings validate_job(const job_spec& spec);

} // namespace siskinpaddle::jobs
