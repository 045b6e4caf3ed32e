#pragma once

#include "jobs/balance.hpp"
#include "jobs/job_admission.hpp"
#include "jobs/work_gauge.hpp"

#include <map>
#include <string>
#include <vector>

namespace siskinpaddle::jobs {

/// Follows, for each label that tasks of a pool require, the capacity that they need. Not thread-safe.
///
/// A label that was asked for lately keeps a VM, as the pool itself does whatever its demand: the next task
/// that wants it would wait for a machine first.
class label_meters {
  public:
    /// A job was handed in, accepted or turned away.
    void record_arrival(const job_spec& spec, const work_gauge& gauge, timestamp now);
    /// What VMs with each label are needed for. `wanted`: what tasks with the label use or would use now,
    /// millicores.
    [[nodiscard]] std::vector<label_demand> update(const std::map<std::string, std::int64_t>& wanted,
                                                   timestamp now);

  private:
    struct meter {
        demand_meter demand;
        timestamp last_requested_at{0}; ///< When a task last wanted the label.
    };

    std::map<std::string, meter> m_meters;
};

} // namespace siskinpaddle::jobs
