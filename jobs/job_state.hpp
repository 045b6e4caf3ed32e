#pragma once

#include "jobs/fleet_configuration.hpp"
#include "jobs/suspicion.hpp"
#include "jobs/vm.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace siskinpaddle::jobs {

/// What is known of a run.
enum class run_phase : std::uint8_t {
    starting,    ///< The order is on its way.
    unconfirmed, ///< The order was not answered: the run may be there, may come, or may never come.
    running,
    stopping ///< A stop was ordered; the run holds its room until its end is reported.
};

/// One run of a task that may be alive on a VM.
struct run {
    std::uint32_t attempt = 0;
    std::string vm; ///< Incarnation.
    run_phase phase = run_phase::starting;
    bool from_scratch = false; ///< Ordered by this owner without a checkpoint.
    bool adopted = false;      ///< Ordered by an earlier owner; `started_at` is when it was found.
    timestamp started_at{0};
    std::int64_t start_deadline = 0;  ///< On the VM's clock: the start is refused from then on.
    std::int64_t confirmed_clock = 0; ///< The VM's clock when it confirmed the run.
    timestamp stop_sent_at{0};
    timestamp stop_acked_at{0}; ///< 0: no stop was acknowledged.
    std::int64_t percent = 0;
    timestamp progress_at{0}; ///< When `percent` last changed.
    std::int64_t usage = 0;
    int pace_percent = 100;
};

/// One task.
struct task_state {
    bool done = false;
    /// Attempts that ended as failed. By number: a VM lists an end until it is acknowledged, so a successor
    /// can see an end again that its predecessor counted and stored.
    std::vector<std::uint32_t> failed_attempts;
    std::uint32_t attempts = 0; ///< Runs ordered by this owner.
    /// An earlier owner may have ordered, or may yet order, a run on a VM that has not heard of this one.
    /// Runs that are found elsewhere don't change that.
    bool may_have_unknown_run = false;
    std::string checkpoint;
    std::vector<run> runs;
    std::vector<std::string> failed_on;     ///< VMs on which it failed; others are tried first.
    std::vector<crash_evidence> crashes;    ///< VMs that ended under it, oldest first.
    std::uint64_t crashes_change_count = 0; ///< The job's change that added the last of them.
    timestamp idle_since{0};
};

/// What must outlive an owner about a job, beside its specification. Small: one byte for each task, and what
/// few tasks have.
struct job_progress {
    job_phase phase = job_phase::queued;
    std::string done; ///< For each task '1' if it is done, else '0'.
    std::map<std::uint32_t, std::vector<std::uint32_t>> failed_attempts;
    std::map<std::uint32_t, std::string> checkpoints;
    std::map<std::uint32_t, std::vector<crash_evidence>> crashes;

    // What is held against tasks stands at the end and only if there is any, so that records without it are
    // those that earlier versions of the program read and wrote.
    template <typename Archive>
    void save(Archive& archive) const {
        archive(phase, done, failed_attempts, checkpoints);
        if (!crashes.empty()) {
            archive(crashes);
        }
    }
    template <typename Archive>
    void load(Archive& archive) {
        archive(phase, done, failed_attempts, checkpoints);
        if (archive.remaining_bytes() > 0) {
            archive(crashes);
        }
    }
};

/// A job as its owner stores it when it accepts it.
struct job_record {
    job_spec spec;
    std::int64_t accepted_ms = 0; ///< Time of day, ms since 1970.

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(spec, accepted_ms);
    }
};

/// Position of a step within a job: which occurrence, which step.
struct step_position {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
};

/// One job and its tasks. Plain bookkeeping without decisions: it keeps counts in step with the tasks, so
/// that scans cost nothing for jobs that have nothing to do. Not thread-safe.
class job_state {
  public:
    /// `accepted_at` is on the owner's clock.
    job_state(job_spec spec, timestamp accepted_at);

    [[nodiscard]] const job_spec& spec() const noexcept { return m_spec; }
    [[nodiscard]] timestamp accepted_at() const noexcept { return m_accepted_at; }
    [[nodiscard]] job_phase phase() const noexcept { return m_phase; }
    void set_phase(job_phase phase) noexcept { m_phase = phase; }

    [[nodiscard]] std::size_t occurrences() const noexcept { return m_spec.occurrences; }
    [[nodiscard]] bool contains(const task_id& id) const noexcept;
    /// Precondition: contains(id).
    [[nodiscard]] task_state& task(const task_id& id);
    [[nodiscard]] const task_state& task(const task_id& id) const;
    [[nodiscard]] task_id id_of(step_position position, std::uint32_t index) const;

    /// Whether all steps before this one are done.
    [[nodiscard]] bool dependencies_done(step_position position) const;
    /// Tasks of the step that are neither done nor have a run.
    [[nodiscard]] std::uint32_t idle_tasks(step_position position) const { return counts(position).idle; }
    [[nodiscard]] std::uint32_t unfinished_tasks(step_position position) const {
        return counts(position).unfinished;
    }
    /// Tasks of all steps that are neither done nor have a run.
    [[nodiscard]] std::uint32_t total_idle_tasks() const noexcept { return m_idle_tasks; }
    [[nodiscard]] std::uint32_t total_runs() const noexcept { return m_runs; }
    [[nodiscard]] bool all_done() const noexcept { return m_unfinished_tasks == 0; }
    /// Whether any task has ever been seen to run.
    [[nodiscard]] bool has_begun() const noexcept { return m_begun; }
    void set_begun() noexcept { m_begun = true; }

    run& add_run(const task_id& id, run item);
    /// Forgets a run. Precondition: it is there.
    void remove_run(const task_id& id, std::uint32_t attempt, const std::string& vm, timestamp now);
    void mark_done(const task_id& id);

    /// Whether everything that is held against the task is stored. Precondition: contains(id).
    [[nodiscard]] bool crashes_stored(const task_id& id) const {
        return task(id).crashes_change_count <= stored_change_count;
    }

    [[nodiscard]] job_progress progress() const;
    /// Takes over what an earlier owner stored; tasks that aren't done become unaccounted.
    void restore(const job_progress& progress);
    /// Lets every unaccounted task be started again.
    void clear_unknown_runs();

    /// Whether any of its steps needs VMs with a label.
    [[nodiscard]] bool requires_label() const noexcept { return m_requires_label; }
    /// When the occurrence may begin, on the owner's clock: when it is due, or, without due times, when the
    /// job was accepted. `wall_offset`: time of day less the owner's clock.
    [[nodiscard]] timestamp begins_at(std::uint32_t occurrence, milliseconds wall_offset) const noexcept {
        if (!m_spec.has_due_times) {
            return m_accepted_at;
        }
        return timestamp(m_spec.start_at_ms + occurrence * m_spec.period_ms) - wall_offset;
    }
    /// Longest chain of estimated work through the steps, ms.
    [[nodiscard]] std::int64_t critical_path_ms() const noexcept { return m_critical_path_ms; }

    /// Calls `visit(place)` for each step of each occurrence.
    template <typename Visit>
    void for_each_step(Visit visit) const {
        for (std::uint32_t occurrence = 0; occurrence < m_spec.occurrences; ++occurrence) {
            for_each_step_of(occurrence, visit);
        }
    }
    /// The same for one occurrence.
    template <typename Visit>
    void for_each_step_of(std::uint32_t occurrence, Visit visit) const {
        for (std::uint32_t step = 0; step < m_spec.steps.size(); ++step) {
            visit(step_position{occurrence, step});
        }
    }

    // Bookkeeping of the owner.
    std::uint64_t change_count = 0;        ///< Counts changes that must be stored.
    std::uint64_t stored_change_count = 0; ///< The value of `changed` that the store holds.
    bool is_final_phase_stored = false;    ///< The final phase is stored and may be told.
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
    timestamp m_accepted_at;
    job_phase m_phase = job_phase::queued;
    std::vector<std::uint32_t> m_step_offsets; ///< First task of each step within one occurrence.
    std::uint32_t m_tasks_per_occurrence = 0;  ///< Tasks of one occurrence.
    std::vector<task_state> m_tasks;
    std::vector<step_counts> m_counts;
    std::uint32_t m_idle_tasks = 0;
    std::uint32_t m_unfinished_tasks = 0;
    std::uint32_t m_runs = 0;
    bool m_begun = false;
    std::int64_t m_critical_path_ms = 0;
    bool m_requires_label = false;
};

/// Most tasks that a job may have in all; a client's larger job is refused. From the store's bound on values
/// of one megabyte and the memory of the smallest node.
inline constexpr std::uint32_t max_tasks_per_job = 4096;

/// Names everything wrong with a job before it is accepted: steps that wait for later ones, no tasks, too
/// many tasks.
[[nodiscard]] findings validate_job(const job_spec& spec);

} // namespace siskinpaddle::jobs
