#pragma once

#include "core/core.hpp"
#include "jobs/client_account.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinpaddle::jobs {

/// Timing of a queue's policy service, which decides which VMs may run a step.
struct advice_settings {
    milliseconds base_time{0};       ///< Time of one answer without the VMs named in the query.
    milliseconds time_per_vm{0};     ///< Additional time for each VM named in the query.
    milliseconds ticket_validity{0}; ///< How long a ticket is valid.

    bool operator==(const advice_settings&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(base_time, time_per_vm, ticket_validity);
    }
};

/// A queue: jobs submitted to one host and path prefix run in one pool.
struct queue_settings {
    std::string name;
    std::string host;
    std::string prefix;
    std::string pool;
    int priority = 0; ///< 0 is the most urgent.
    std::uint32_t max_attempts = 1;
    double stretch_factor = 1;      ///< Factor on the job's longest chain of work ...
    milliseconds target_latency{0}; ///< ... to which this is added; the sum is the job's objective.
    std::optional<advice_settings> advice;
    bool is_public = false; ///< Its calls need no API key; they have no account.

    bool operator==(const queue_settings&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(name, host, prefix, pool, priority, max_attempts, stretch_factor, target_latency, advice,
                is_public);
    }
};

/// A pool of VMs.
struct pool_settings {
    std::string name;
    bool is_spare = false; ///< Its machines are off, available for moves to other pools.
    /// Whether its VMs refuse tasks that exceed their free capacity. If false, they start every task.
    bool vms_check_capacity = true;
};

/// One version of the operator's configuration.
struct fleet_configuration {
    std::int64_t version = 0;
    std::vector<queue_settings> queues;
    std::vector<pool_settings> pools;
    bool uses_accounts = false; ///< Queues that are not public are reserved for accounts.
    client_accounts accounts;
    std::size_t max_body_bytes = 1U << 20U;

    /// The queue with this host and the longest prefix of `path`, or null.
    [[nodiscard]] const queue_settings* match_queue(std::string_view host, std::string_view path) const;
    [[nodiscard]] const queue_settings* find_queue(std::string_view name) const;
    [[nodiscard]] const pool_settings* find_pool(std::string_view name) const;
    /// Pools to which at least one queue sends jobs.
    [[nodiscard]] std::vector<std::string> pools_with_queues() const;
};

} // namespace siskinpaddle::jobs
