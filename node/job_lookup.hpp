#pragma once

#include "platform/platform.hpp"

#include <functional>
#include <optional>
#include <string>

namespace siskinpaddle::node {

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

/// Reads from the store whether a job exists and its phase, for use when the job's owner can't be reached or
/// doesn't know the job yet. Reads the inbox first, then the record, then the progress: a job moves only in
/// that order, so it can't be missed between the reads.
void look_up_job(platform::store_client& store, const std::string& pool, const std::string& job,
                 const std::function<void(lookup_answer)>& done);

} // namespace siskinpaddle::node
