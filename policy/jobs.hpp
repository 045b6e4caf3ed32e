#pragma once

#include "core/core.hpp"

#include <boost/leaf.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace siskinpaddle {

enum class job_state : std::uint8_t {
    queued,     ///< Waits for a VM.
    assigned,   ///< Has a VM and an epoch; the task is being started.
    running,    ///< The worker has reported the task as running.
    stopping,   ///< Is being checkpointed and stopped; queued again afterwards.
    cancelling, ///< Is being stopped permanently.
    done,
    failed,
    cancelled,
    parked ///< Can't run on any VM at present; `reason` has the cause.
};

template <>
inline constexpr std::array enum_names<job_state>{
    std::pair{job_state::queued, std::string_view("queued")},
    std::pair{job_state::assigned, std::string_view("assigned")},
    std::pair{job_state::running, std::string_view("running")},
    std::pair{job_state::stopping, std::string_view("stopping")},
    std::pair{job_state::cancelling, std::string_view("cancelling")},
    std::pair{job_state::done, std::string_view("done")},
    std::pair{job_state::failed, std::string_view("failed")},
    std::pair{job_state::cancelled, std::string_view("cancelled")},
    std::pair{job_state::parked, std::string_view("parked")}};

/// How soon a job has to start.
enum class job_urgency : std::uint8_t { urgent, daily, patient };

template <>
inline constexpr std::array enum_names<job_urgency>{
    std::pair{job_urgency::urgent, std::string_view("urgent")},
    std::pair{job_urgency::daily, std::string_view("daily")},
    std::pair{job_urgency::patient, std::string_view("patient")}};

/// Resources that a job declares. Declared sizes are often wrong; see `usage_estimates`.
struct job_size {
    std::uint32_t cpu_millicores = 0;
    std::uint32_t memory_mb = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const job_size&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(cpu_millicores, memory_mb, accelerators);
    }
};

/// One job. Its epoch increases with each assignment, so that a worker can distinguish a previous owner's
/// call from the current owner's.
struct job_record {
    std::string id;
    std::string team;
    std::string kind; ///< Jobs of one kind are similar; their usage is estimated together.
    job_urgency urgency = job_urgency::daily;
    job_size size;
    job_size used; ///< Usage that its worker reported when it ended.
    std::uint64_t expected_ms = 0;
    job_state state = job_state::queued;
    std::string vm;
    std::uint32_t vm_epoch = 0;
    std::uint32_t epoch = 0;
    std::uint32_t failures = 0;
    std::uint32_t moves = 0;
    std::string last_vm;   ///< VM on which it last ran; set when the job is queued again.
    std::string failed_on; ///< Last VM on which it failed.
    std::string reason;

    bool operator==(const job_record&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(id, team, kind, urgency, size, used, expected_ms, state, vm, vm_epoch, epoch, failures, moves,
                last_vm, failed_on, reason);
    }
};

/// All jobs of one pool; the value of one key in the store.
struct job_table {
    std::uint64_t revision = 0;
    std::vector<job_record> jobs; ///< In order of submission.

    bool operator==(const job_table&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(revision, jobs);
    }

    [[nodiscard]] job_record* find(std::string_view id);
    [[nodiscard]] const job_record* find(std::string_view id) const;
};

/// Number of ended jobs that a table keeps for queries by callers; the oldest are removed first.
inline constexpr std::size_t max_ended_jobs = 100;
/// Maximum number of jobs in a pool's table; further jobs are refused.
inline constexpr std::size_t max_jobs_per_pool = 4'000;

[[nodiscard]] bool has_ended(job_state state);
/// Whether a task of the job may be running on its VM.
[[nodiscard]] bool may_be_running(job_state state);

/// Removes the oldest ended jobs beyond `max_ended_jobs`.
void trim_ended_jobs(job_table& table);

[[nodiscard]] std::string encode_jobs(const job_table& table);
[[nodiscard]] boost::leaf::result<job_table> decode_jobs(std::string_view bytes);

} // namespace siskinpaddle
