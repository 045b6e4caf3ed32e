#pragma once

#include "jobs/vm_end.hpp"

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace siskinpaddle::jobs {

/// Kind of evidence against a task, from the end of a VM on which it ran.
enum class evidence_kind : std::uint8_t {
    alone,     ///< No other job had a run there that could have caused the end.
    shared,    ///< Other jobs had such runs, too.
    inferred,  ///< The VM ended under a previous owner; that the task ran there is likely, not confirmed.
    explained, ///< A task that has been given up since had run there, too.
    mass ///< A large part of the pool's VMs ended together, as with a rack, an availability zone or a switch.
};

/// How certain it is that the VM has ended.
enum class end_certainty : std::uint8_t {
    unresponsive,  ///< Unresponsive for a while. Counts against no task; recorded in case the owner dies.
    lease_expired, ///< Unresponsive past its lease: it may have crashed, or run behind a partition.
    ended          ///< Another incarnation confirms the end.
};

/// An incarnation of a VM that ended, or may have ended, while running a task. Each incarnation counts once
/// against a task.
struct crash_evidence {
    std::string vm;
    evidence_kind kind = evidence_kind::shared;
    end_certainty certainty = end_certainty::ended;
    std::uint16_t age_ms = 0; ///< From the start of the run to the VM's first missing answer.

    bool operator==(const crash_evidence&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(vm, kind, certainty, age_ms);
    }
};

/// Suspicion level of a task, from the crash evidence recorded against it.
enum class suspicion : std::uint8_t {
    none,
    noted,     ///< A VM ended while running it, but the evidence is weak.
    suspected, ///< Runs apart from other suspected tasks, where the end of the VM does least harm.
    isolated,  ///< Runs where no other job's run can be blamed for the end of the VM.
    given_up   ///< It has crashed VMs: its job fails.
};

/// Derives the suspicion level of a task from the VMs that ended while running it, oldest first. Pure;
/// thread-safe.
///
/// A program that crashes its VM does so at about the same age of its run: of the crashes, the largest group
/// that came at one age counts. Ends that may have other causes count half. A task is given up at three
/// crashes if it was alone at the last one, else at four, and in any case at the fifth end that no other task
/// explains. Without this limit, a task that crashes every VM that starts it would crash all VMs of its pool,
/// one after the other. A task that only ran beside such a task is isolated for at most one run, completes
/// it, and is cleared.
[[nodiscard]] suspicion suspicion_of(std::span<const crash_evidence> evidence) noexcept;

/// A run that has lasted this long did not crash its VM by being started there: the end of the VM is no
/// evidence against it, and earlier evidence against its task is removed.
inline constexpr milliseconds proven_after = 5s;

/// Evidence against the task of one run that ended with its VM.
struct suspect_run {
    task_id task;
    evidence_kind kind = evidence_kind::shared;
    milliseconds age{0};

    bool operator==(const suspect_run&) const = default;
};

/// Returns the evidence against the tasks that ran on an ended VM; none if the end was ordered or announced.
/// `mass`: so many VMs ended at the same time that the cause is external. Pure; thread-safe.
[[nodiscard]] std::vector<suspect_run> find_suspect_runs(const vm_end& end, bool mass);

/// Records when ended VMs of a pool became unresponsive, to distinguish a mass loss from single crashes. Not
/// thread-safe.
class recent_vm_ends {
  public:
    /// Precondition: `unresponsive_since` is not later than `now`.
    void add(const std::string& vm, timestamp unresponsive_since, timestamp now);
    /// Counts the VMs that became unresponsive at about `unresponsive_since`, including that VM itself.
    /// `unresponsive`: when VMs that are unresponsive now and have not ended yet became so.
    [[nodiscard]] std::size_t count_simultaneous(timestamp unresponsive_since,
                                                 std::span<const timestamp> unresponsive) const;

  private:
    struct ended_vm {
        std::string vm;
        timestamp unresponsive_since{0};
    };
    std::deque<ended_vm> m_entries;
};

/// Whether this many simultaneous ends are a mass loss in a pool of `pool_vms`. Pure; thread-safe.
[[nodiscard]] bool is_mass_loss(std::size_t simultaneous, std::size_t pool_vms) noexcept;

/// Maximum number of jobs whose suspected tasks may start at about the same time in a pool of `pool_vms`: far
/// fewer than the simultaneous crashes that would look like a mass loss. Pure; thread-safe.
[[nodiscard]] std::size_t max_suspect_jobs_together(std::size_t pool_vms) noexcept;

/// Maximum number of VMs of a pool that suspected tasks may run on at a time, so that they can't crash the
/// whole pool. Pure; thread-safe.
[[nodiscard]] std::size_t max_vms_at_risk(std::size_t usable_vms) noexcept;

} // namespace siskinpaddle::jobs

template <>
inline constexpr std::array siskinpaddle::enum_names<siskinpaddle::jobs::evidence_kind>{
    std::pair{siskinpaddle::jobs::evidence_kind::alone, std::string_view("alone")},
    std::pair{siskinpaddle::jobs::evidence_kind::shared, std::string_view("shared")},
    std::pair{siskinpaddle::jobs::evidence_kind::inferred, std::string_view("inferred")},
    std::pair{siskinpaddle::jobs::evidence_kind::explained, std::string_view("explained")},
    std::pair{siskinpaddle::jobs::evidence_kind::mass, std::string_view("mass")}};

template <>
inline constexpr std::array siskinpaddle::enum_names<siskinpaddle::jobs::end_certainty>{
    std::pair{siskinpaddle::jobs::end_certainty::unresponsive, std::string_view("silent")},
    std::pair{siskinpaddle::jobs::end_certainty::lease_expired, std::string_view("lapsed")},
    std::pair{siskinpaddle::jobs::end_certainty::ended, std::string_view("ended")}};

template <>
inline constexpr std::array siskinpaddle::enum_names<siskinpaddle::jobs::suspicion>{
    std::pair{siskinpaddle::jobs::suspicion::none, std::string_view("none")},
    std::pair{siskinpaddle::jobs::suspicion::noted, std::string_view("noted")},
    std::pair{siskinpaddle::jobs::suspicion::suspected, std::string_view("suspected")},
    std::pair{siskinpaddle::jobs::suspicion::isolated, std::string_view("isolated")},
    std::pair{siskinpaddle::jobs::suspicion::given_up, std::string_view("given-up")}};
