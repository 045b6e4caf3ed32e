#pragma once

#include "jobs/jobs.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace siskinpaddle::node {

/// Kind of a request from one node to another.
enum class peer_request_kind : std::uint8_t {
    submit,          ///< Accept a job.
    status,          ///< Return a job's phase.
    cancel,          ///< Cancel a job.
    count,           ///< Return how many jobs of a queue have not started.
    demand_query,    ///< Keep the listed VMs empty; return the pool's demand and its VMs.
    admission_query, ///< Return whether a submit of the job would be accepted; `spec` has no payload.
    handover         ///< Claim the pool: its owner can't reach the store and stops acting once it is claimed.
};

/// Outcome of a request to a peer.
enum class peer_outcome : std::uint8_t {
    ok,
    not_owner,
    unknown_job,
    overloaded,   ///< Not accepted; the job never runs.
    unavailable,  ///< Not carried out.
    unreachable,  ///< The request was not sent.
    unknown,      ///< The receiver doesn't know whether the request was carried out.
    admissible,   ///< With `admission_query`: the job would be accepted now.
    unanswered,   ///< No valid answer came: the request may have been carried out.
    unauthorized, ///< The client's API key is not valid.
    unconfirmed,  ///< The API key can't be accepted: the sender or the receiver may have an outdated version.
    id_in_use,    ///< Another account's job has the id.
    over_limit    ///< Not accepted: a task or gang needs more than the account may have running.
};

struct peer_request {
    std::uint8_t kind = 0;
    std::string pool;
    std::string job;
    std::string queue;
    jobs::job_spec spec; ///< With `submit`.
    /// With `demand_query`: all VMs to keep empty; others may get tasks.
    std::vector<std::string> vms_to_empty;
    std::uint64_t arriving_vms = 0; ///< With `demand_query`: number of VMs being moved to the pool.
    /// With `demand_query`: number of machines that no pool wanted in the last round.
    std::uint64_t unneeded_machines = 0;
    std::int64_t configuration_version = 0; ///< Configuration version in force at the sender.
    /// The client's account, if the sender has checked the API key; empty for a public queue.
    std::string account;
    /// Digest of an API key that the sender can't check, because its configuration may be outdated. The
    /// receiver checks it.
    std::vector<std::uint8_t> unchecked_key;
    /// The sender's configuration doesn't contain the key: the receiver may refuse the request, but not serve
    /// it.
    bool key_unknown = false;
    /// With `handover`: the owner's fencing token. With `demand_query`: the token of the fleet's owner; 0
    /// from versions that can't read the committed capacity in the answer.
    std::int64_t token = 0;

    // The account and the key are written last and only if there are any, so that requests without them can
    // be read by versions of the program without accounts.
    template <typename Archive>
    void save(Archive& archive) const {
        archive(kind, pool, job, queue, spec, vms_to_empty, arriving_vms, unneeded_machines,
                configuration_version);
        if (!account.empty() || !unchecked_key.empty() || token != 0) {
            archive(account, unchecked_key, key_unknown, token);
        }
    }
    template <typename Archive>
    void load(Archive& archive) {
        archive(kind, pool, job, queue, spec, vms_to_empty, arriving_vms, unneeded_machines,
                configuration_version);
        if (archive.remaining_bytes() > 0) {
            archive(account, unchecked_key, key_unknown, token);
        }
    }
};

struct peer_answer {
    std::uint8_t outcome = static_cast<std::uint8_t>(peer_outcome::unknown);
    std::uint8_t phase = 0;
    std::uint64_t count = 0;
    /// With `count` and `overloaded`: upper limit of the age of the owner's copy of the inbox.
    std::int64_t inbox_age_ms = 0;
    std::int64_t retry_after_ms = 0;
    jobs::pool_demand demand;               ///< With `demand_query`.
    std::int64_t configuration_version = 0; ///< Configuration version in force at the responding node.
    std::int64_t store_age_ms = 0; ///< Time since the store last renewed the responding node's lease.

    // What was added to the demand is written last and only if there is any, so that answers without it can
    // be read by versions of the program that don't know it.
    template <typename Archive>
    void save(Archive& archive) const {
        archive(outcome, phase, count, inbox_age_ms, retry_after_ms, demand, configuration_version,
                store_age_ms);
        if (demand.committed_millicores != 0) {
            archive(demand.committed_millicores);
        }
    }
    template <typename Archive>
    void load(Archive& archive) {
        archive(outcome, phase, count, inbox_age_ms, retry_after_ms, demand, configuration_version,
                store_age_ms);
        if (archive.remaining_bytes() > 0) {
            archive(demand.committed_millicores);
        }
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
inline constexpr std::array siskinpaddle::enum_names<siskinpaddle::node::peer_request_kind>{
    std::pair{siskinpaddle::node::peer_request_kind::submit, std::string_view("submit")},
    std::pair{siskinpaddle::node::peer_request_kind::status, std::string_view("status")},
    std::pair{siskinpaddle::node::peer_request_kind::cancel, std::string_view("cancel")},
    std::pair{siskinpaddle::node::peer_request_kind::count, std::string_view("count")},
    std::pair{siskinpaddle::node::peer_request_kind::demand_query, std::string_view("demand")},
    std::pair{siskinpaddle::node::peer_request_kind::admission_query, std::string_view("admission")},
    std::pair{siskinpaddle::node::peer_request_kind::handover, std::string_view("handover")}};

template <>
inline constexpr std::array siskinpaddle::enum_names<siskinpaddle::node::peer_outcome>{
    std::pair{siskinpaddle::node::peer_outcome::ok, std::string_view("ok")},
    std::pair{siskinpaddle::node::peer_outcome::not_owner, std::string_view("not-owner")},
    std::pair{siskinpaddle::node::peer_outcome::unknown_job, std::string_view("unknown-job")},
    std::pair{siskinpaddle::node::peer_outcome::overloaded, std::string_view("overloaded")},
    std::pair{siskinpaddle::node::peer_outcome::unavailable, std::string_view("unavailable")},
    std::pair{siskinpaddle::node::peer_outcome::unreachable, std::string_view("unreachable")},
    std::pair{siskinpaddle::node::peer_outcome::unknown, std::string_view("unknown")},
    std::pair{siskinpaddle::node::peer_outcome::admissible, std::string_view("admissible")},
    std::pair{siskinpaddle::node::peer_outcome::unanswered, std::string_view("unanswered")},
    std::pair{siskinpaddle::node::peer_outcome::unauthorized, std::string_view("unauthorized")},
    std::pair{siskinpaddle::node::peer_outcome::unconfirmed, std::string_view("unconfirmed")},
    std::pair{siskinpaddle::node::peer_outcome::id_in_use, std::string_view("id-in-use")},
    std::pair{siskinpaddle::node::peer_outcome::over_limit, std::string_view("over-limit")}};
