#pragma once

#include "jobs/jobs.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace siskinpaddle::node {

/// What one node asks of another.
enum class peer_request_kind : std::uint8_t {
    submit,       ///< Accept a job.
    status,       ///< Tell a job's phase.
    cancel,       ///< Cancel a job.
    count,        ///< Tell how many jobs of a queue have not begun.
    demand_query, ///< Keep these VMs empty; tell the pool's demand and its VMs.
};

/// How a peer answered.
enum class peer_outcome : std::uint8_t {
    ok,
    not_owner,
    unknown_job,
    overloaded,  ///< Not accepted; never runs.
    unavailable, ///< Not carried out.
    unreachable, ///< Not sent.
    unknown      ///< It may have been carried out.
};

struct peer_request {
    std::uint8_t kind = 0;
    std::string pool;
    std::string job;
    std::string queue;
    jobs::job_spec spec; ///< With `submit`.
    std::vector<std::string>
        vms_to_empty; ///< With `fleet_look`: all VMs that are to be empty; others may work again.
    std::uint64_t arriving_vms = 0; ///< With `fleet_look`: VMs that are on their way to the pool.
    std::uint64_t obtainable_machines =
        0; ///< With `fleet_look`: machines that no pool wanted in the round before.
    std::int64_t configuration_version = 0; ///< Version in force at the sender.

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(kind, pool, job, queue, spec, vms_to_empty, arriving_vms, obtainable_machines,
                configuration_version);
    }
};

struct peer_answer {
    std::uint8_t outcome = static_cast<std::uint8_t>(peer_outcome::unknown);
    std::uint8_t phase = 0;
    std::uint64_t count = 0;
    std::int64_t inbox_age_ms =
        0; ///< With `count` and `overloaded`: how old the owner's copy of the inbox may be.
    std::int64_t retry_after_ms = 0;
    jobs::pool_demand demand;               ///< With `fleet_look`.
    std::int64_t configuration_version = 0; ///< Version in force at the answering node.
    std::int64_t store_age_ms = 0; ///< How long ago the store last renewed the answering node's lease.

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(outcome, phase, count, inbox_age_ms, retry_after_ms, demand, configuration_version,
                store_age_ms);
    }
};

[[nodiscard]] inline peer_answer make_answer(peer_outcome outcome) {
    peer_answer answer;
    answer.outcome = static_cast<std::uint8_t>(outcome);
    return answer;
}

[[nodiscard]] inline peer_outcome outcome_of(const peer_answer& answer) {
    return static_cast<peer_outcome>(answer.outcome);
}

} // namespace siskinpaddle::node

template <>
inline constexpr std::array siskinpaddle::enum_names<siskinpaddle::node::peer_outcome>{
    std::pair{siskinpaddle::node::peer_outcome::ok, std::string_view("ok")},
    std::pair{siskinpaddle::node::peer_outcome::not_owner, std::string_view("not-owner")},
    std::pair{siskinpaddle::node::peer_outcome::unknown_job, std::string_view("unknown-job")},
    std::pair{siskinpaddle::node::peer_outcome::overloaded, std::string_view("overloaded")},
    std::pair{siskinpaddle::node::peer_outcome::unavailable, std::string_view("unavailable")},
    std::pair{siskinpaddle::node::peer_outcome::unreachable, std::string_view("unreachable")},
    std::pair{siskinpaddle::node::peer_outcome::unknown, std::string_view("unknown")}};
