#pragma once

#include "platform/platform.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace siskinpaddle::node {

/// Where the store says that a job is.
struct place_answer {
    bool store_reached = false;           ///< The store answered.
    std::optional<jobs::job_place> place; ///< Empty: no place is stored.
};

/// The item that holds a job's place, for a transaction that accepts the job.
[[nodiscard]] platform::store_write place_write(const std::string& job, const jobs::job_place& place);

/// Returns the job's place from the answer to a transaction that was conditional on it; empty if the answer
/// has none.
[[nodiscard]] std::optional<jobs::job_place> place_in(const platform::store_answer& answer,
                                                      const std::string& job);

/// Reads from the store which pool has a job, with one call. Jobs that versions of the program without places
/// have accepted have none; they are in the pool to which their queue leads.
void look_up_place(platform::store_client& store, const std::string& job,
                   const std::function<void(place_answer)>& done);

/// What the store holds about a job.
struct lookup_answer {
    bool store_reached = false;           ///< The store answered.
    std::optional<jobs::job_phase> phase; ///< Empty: there is no such job.
    std::string account;                  ///< The account of the job; empty if it has none.

    /// Whether there is a job that the account may access.
    [[nodiscard]] bool has_job_for(const std::string& client) const {
        return phase.has_value() && jobs::may_access_job(account, client);
    }
};

/// Reads from the store whether a pool has a job and the job's phase, for use when the job's owner can't be
/// reached or doesn't know the job yet. Reads the inbox first, then the record, then the progress: a job
/// moves only in that order, so it can't be missed between the reads.
void look_up_job(platform::store_client& store, const std::string& pool, const std::string& job,
                 const std::function<void(lookup_answer)>& done);

} // namespace siskinpaddle::node
