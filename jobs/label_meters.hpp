#pragma once

#include "jobs/balance.hpp"
#include "jobs/job_admission.hpp"
#include "jobs/work_gauge.hpp"

#include <map>
#include <string>
#include <vector>

namespace siskinpaddle::jobs {

/// Tracks the capacity needed by a pool's tasks for each label that they require. Not thread-safe.
///
/// At least one VM is kept for each recently requested label, as for the pool itself: without it the next
/// task that requires the label would have to wait for a machine.
class label_meters {
  public:
    /// Records the submission of a job, whether accepted or refused.
    void record_arrival(const job_spec& spec, const work_gauge& gauge, timestamp now);
    /// Updates the meters and returns the demand for each label. `wanted`: millicores that tasks with the
    /// label use, or would use if they ran now.
    [[nodiscard]] std::vector<label_demand> update(const std::map<std::string, std::int64_t>& wanted,
                                                   timestamp now);

  private:
    struct meter {
        demand_meter demand;
        timestamp last_requested_at{0}; ///< When a task last required the label.
    };

    std::map<std::string, meter> m_meters;
};

} // namespace siskinpaddle::jobs
