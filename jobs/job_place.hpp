#pragma once

#include "jobs/fleet_configuration.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace siskinpaddle::jobs {

/// Which pool has an accepted job, and who submitted the job where. A job stays in the pool that accepted it,
/// also if its queue leads to another pool later.
struct job_place {
    std::string pool;
    std::string queue;         ///< Name of the queue that accepted the job.
    std::uint64_t address = 0; ///< Where clients reach the queue, see address_of(); 0: not known.
    std::string account;       ///< The account of the job; empty if it has none.

    bool operator==(const job_place&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(pool, queue, address, account);
    }
};

/// Identifies the host and path prefix of a queue; never 0. Pure; thread-safe.
[[nodiscard]] std::uint64_t address_of(const queue_settings& queue) noexcept;

/// Whether a call about a job's id means the job at `place`: the call is for the queue that accepted the job,
/// which may have another address by now, or for the same address, where the queue may have another name. An
/// id is used once in a deployment, since a task's name on the VMs consists of its job's id and of numbers.
/// Pure; thread-safe.
[[nodiscard]] bool is_job_of_queue(const job_place& place, std::string_view queue,
                                   std::uint64_t address) noexcept;

} // namespace siskinpaddle::jobs
