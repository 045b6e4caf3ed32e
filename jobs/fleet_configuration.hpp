#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinpaddle::jobs {

/// How the policy service of a queue answers which VMs may run a step.
struct advice_settings {
    milliseconds base_time{0};       ///< Time of one answer ...
    milliseconds time_per_vm{0};     ///< ... and what each VM named in the call adds.
    milliseconds ticket_validity{0}; ///< How long a ticket is good for.
};

/// A queue: jobs that arrive under one host and path prefix run in one pool.
struct queue_settings {
    std::string name;
    std::string host;
    std::string prefix;
    std::string pool;
    int priority = 0; ///< 0 is the most urgent.
    std::uint32_t max_attempts = 1;
    double stretch_factor = 1;      ///< The objective is this many times the job's longest chain of work ...
    milliseconds target_latency{0}; ///< ... plus this.
    std::optional<advice_settings> advice;
};

/// A pool of VMs.
struct pool_settings {
    std::string name;
    bool is_spare = false; ///< Its VMs are off; they wait to be moved to other pools.
    /// Its VMs refuse what does not fit. Else they start whatever they are told to.
    bool vms_check_capacity = true;
};

/// One version of the operator's configuration.
struct fleet_configuration {
    std::int64_t version = 0;
    std::vector<queue_settings> queues;
    std::vector<pool_settings> pools;
    std::size_t max_body_bytes = 1U << 20U;

    /// The queue whose host matches and whose prefix is the longest that `path` begins with, or null.
    [[nodiscard]] const queue_settings* match_queue(std::string_view host, std::string_view path) const;
    [[nodiscard]] const queue_settings* find_queue(std::string_view name) const;
    [[nodiscard]] const pool_settings* find_pool(std::string_view name) const;
    /// Pools that at least one queue sends jobs to.
    [[nodiscard]] std::vector<std::string> pools_with_queues() const;
};

} // namespace siskinpaddle::jobs
