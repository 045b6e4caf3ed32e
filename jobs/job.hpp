#pragma once

#include "core/core.hpp"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

namespace siskinpaddle::jobs {

/// Serializes an enumeration as one byte.
template <typename Archive, typename Enum>
requires std::is_enum_v<Enum> std::uint8_t save_minimal(const Archive&, const Enum& value) {
    return static_cast<std::uint8_t>(value);
}
template <typename Archive, typename Enum>
requires std::is_enum_v<Enum>
void load_minimal(const Archive&, Enum& value, const std::uint8_t& stored) {
    value = static_cast<Enum>(stored);
}

/// Resources that a task requests, or that a VM has.
struct resources {
    std::int64_t cpu_millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const resources&) const = default;

    [[nodiscard]] bool fits_in(const resources& available) const noexcept {
        return cpu_millicores <= available.cpu_millicores && memory_mb <= available.memory_mb &&
               accelerators <= available.accelerators;
    }
    resources& operator+=(const resources& other) noexcept {
        cpu_millicores += other.cpu_millicores;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }
    resources& operator-=(const resources& other) noexcept {
        cpu_millicores -= other.cpu_millicores;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(cpu_millicores, memory_mb, accelerators);
    }
};

/// The larger amount of each resource. Pure; thread-safe.
[[nodiscard]] constexpr resources max_of(const resources& a, const resources& b) noexcept {
    return {std::max(a.cpu_millicores, b.cpu_millicores), std::max(a.memory_mb, b.memory_mb),
            std::max(a.accelerators, b.accelerators)};
}
/// The smaller amount of each resource. Pure; thread-safe.
[[nodiscard]] constexpr resources min_of(const resources& a, const resources& b) noexcept {
    return {std::min(a.cpu_millicores, b.cpu_millicores), std::min(a.memory_mb, b.memory_mb),
            std::min(a.accelerators, b.accelerators)};
}

/// A step of a job: `count` identical tasks that may start once all tasks of the steps in `after` are done.
struct step_spec {
    std::uint32_t count = 1;
    resources need;
    std::int64_t estimate_ms = 0; ///< The client's rough estimate of one task's run time.
    std::vector<std::uint32_t> after;
    bool checkpointed = false; ///< A stopped task resumes from its last checkpoint.
    bool gang = false;         ///< All tasks run at the same time or not at all.
    bool same_rack = false;
    std::string required_label;   ///< Empty: any VM.
    std::string data_rack;        ///< Rack of the step's data; empty: none.
    std::uint32_t max_per_vm = 0; ///< Maximum number of tasks of the step on one VM; 0: unlimited.
    bool speculative = false;     ///< Two runs of one task may overlap.
    bool long_lived = false;      ///< Runs until the job is cancelled; restarted however a run ends.
    std::string image;
    std::int64_t target_tail_latency_ms = 0; ///< Bound on the tail latency of a serving task, ms; 0: none.
    /// Runs on processor time that other tasks leave idle; its processor need doesn't count against capacity.
    bool best_effort = false;
    /// Maximum number of tasks of a long-lived step that may be kept unavailable at once; 0: unlimited.
    std::uint32_t disruption_budget = 0;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(count, need, estimate_ms, after, checkpointed, gang, same_rack, required_label, data_rack,
                max_per_vm, speculative, long_lived, image, target_tail_latency_ms, best_effort,
                disruption_budget);
    }
};

/// A job as submitted by its client.
struct job_spec {
    std::string id;    ///< Chosen by the client; unique within its pool.
    std::string queue; ///< Name of the queue that accepted the job.
    std::string payload;
    std::vector<step_spec> steps;
    std::uint32_t occurrences = 1;
    bool has_due_times = false;
    std::int64_t start_at_ms = 0; ///< Time of day of the first occurrence, ms since 1970.
    std::int64_t period_ms = 0;

    [[nodiscard]] bool is_long_lived() const noexcept {
        for (const step_spec& step : steps) {
            if (step.long_lived) {
                return true;
            }
        }
        return false;
    }

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(id, queue, payload, steps, occurrences, has_due_times, start_at_ms, period_ms);
    }
};

/// Identifies one task of one job.
struct task_id {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const task_id&) const = default;
};

/// Phase of a job as reported to clients.
enum class job_phase : std::uint8_t { queued, running, completed, failed, cancelled };

[[nodiscard]] constexpr bool is_final(job_phase phase) noexcept {
    return phase >= job_phase::completed;
}

} // namespace siskinpaddle::jobs

template <>
inline constexpr std::array siskinpaddle::enum_names<siskinpaddle::jobs::job_phase>{
    std::pair{siskinpaddle::jobs::job_phase::queued, std::string_view("queued")},
    std::pair{siskinpaddle::jobs::job_phase::running, std::string_view("running")},
    std::pair{siskinpaddle::jobs::job_phase::completed, std::string_view("completed")},
    std::pair{siskinpaddle::jobs::job_phase::failed, std::string_view("failed")},
    std::pair{siskinpaddle::jobs::job_phase::cancelled, std::string_view("cancelled")}};
