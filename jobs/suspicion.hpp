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

/// How the end of a VM speaks against a task that ran there.
enum class evidence_kind : std::uint8_t {
    alone,     ///< No other job had a run there that could have caused it.
    shared,    ///< Other jobs had.
    inferred,  ///< The VM ended under an earlier owner; that the task ran there is likely, not known.
    explained, ///< A task that was given up since had run there, too.
    mass       ///< A good part of the pool's VMs ended together: a rack, an availability zone, a switch.
};

/// How sure it is that the VM has ended.
enum class end_certainty : std::uint8_t {
    unresponsive,  ///< It has not answered for a while. Held against nobody; noted in case its owner dies.
    lease_expired, ///< Silent past its lease: it may have crashed, or live behind a partition.
    ended          ///< Another life shows it.
};

/// A life of a VM that ended, or may have, under a run of a task. Each life counts once against a task.
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

/// What is held against a task.
enum class suspicion : std::uint8_t {
    none,
    noted,     ///< A VM ended under it, in a way that hardly speaks against it.
    suspected, ///< It runs apart from other suspected tasks, where it harms least.
    isolated,  ///< It runs where no other job's run can be blamed for what happens to the VM.
    given_up   ///< It has crashed VMs: its job fails.
};

/// Judges a task by the VMs that ended under it, oldest first. Pure; thread-safe.
///
/// A program that crashes its VM does so at about the same age of its run: of the crashes those count that
/// came at one age, the most that did. Ends that may have other causes count by half. A task is given up at
/// three crashes, if it was alone at the last one, else at four, and in any case at the fifth end in a row
/// that no other task explains. Answers a task that crashes every VM that starts it: without a bound it takes
/// its pool down, one VM after the other. A task that only ran beside such a one is isolated for one run at
/// most, ends it, and is cleared.
[[nodiscard]] suspicion suspicion_of(std::span<const crash_evidence> evidence) noexcept;

/// A run that has lasted this long did not crash its VM by being started there; ends of VMs say nothing
/// against it, and what was held against its task is forgotten.
inline constexpr milliseconds proven_after = 5s;

/// Evidence against the task of one run that ended with its VM.
struct suspect_run {
    task_id task;
    evidence_kind kind = evidence_kind::shared;
    milliseconds age{0};

    bool operator==(const suspect_run&) const = default;
};

/// Says what the end of a VM holds against the tasks that ran there; nothing for one that was ordered or
/// announced. `mass`: so many others ended with it that the cause lies outside. Pure; thread-safe.
[[nodiscard]] std::vector<suspect_run> find_suspect_runs(const vm_end& end, bool mass);

/// Remembers when VMs of a pool went silent for good, to tell a loss of many from single crashes. Not
/// thread-safe.
class recent_vm_ends {
  public:
    /// Precondition: `silent_from` is not later than `now`.
    void add(const std::string& vm, timestamp unresponsive_since, timestamp now);
    /// VMs that went silent about when this one did, it included. `silent`: those that do not answer now and
    /// have not ended yet.
    [[nodiscard]] std::size_t count_simultaneous(timestamp unresponsive_since,
                                                 std::span<const timestamp> unresponsive) const;

  private:
    struct ended_vm {
        std::string vm;
        timestamp unresponsive_since{0};
    };
    std::deque<ended_vm> m_entries;
};

/// Whether so many ends at a time are a loss of many, in a pool of `pool_vms`. Pure; thread-safe.
[[nodiscard]] bool is_mass_loss(std::size_t simultaneous, std::size_t pool_vms) noexcept;

/// Most VMs of a pool that suspected tasks may run on at a time, so that they can't take the pool down.
/// Pure; thread-safe.
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
