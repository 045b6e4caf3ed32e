#pragma once

#include "platform/platform.hpp"

#include <functional>
#include <optional>
#include <string>

namespace siskinpaddle::node {

/// What the store says of a job.
struct lookup_answer {
    bool store_reached = false;           ///< The store was reached.
    std::optional<jobs::job_phase> phase; ///< Nothing: there is no such job.
};

/// Reads from the store whether a job exists and how far it is, for when its owner can't be asked or does not
/// know it yet. Reads the inbox first, then the record, then the progress: a job only moves in that order, so
/// it can't slip through between the reads.
void look_up_job(platform::store_client& store, const std::string& pool, const std::string& job,
                 const std::function<void(lookup_answer)>& done);

} // namespace siskinpaddle::node
