#pragma once

#include "jobs/fleet_configuration.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace siskinpaddle::jobs {

/// A query to the policy service: which of these VMs may run the step.
struct advice_request {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<std::string> vms;
    milliseconds expected_duration{0}; ///< How long the service takes to answer.
};

struct advice_answer {
    bool succeeded = false;
    std::map<std::string, std::string> tickets; ///< VM -> ticket, for the VMs that may run the step.
    milliseconds ticket_validity{0};
};

/// Caches the policy service's answers about which VMs may run one step. Not thread-safe.
class step_advice {
  public:
    /// The ticket for a VM, or null if no valid one is cached.
    [[nodiscard]] const std::string* find_ticket(const std::string& vm, timestamp now) const;
    /// Whether the next query should name the VM: no answer about it is cached, or the answer has expired.
    [[nodiscard]] bool needs_query(const std::string& vm, timestamp now) const;
    [[nodiscard]] bool is_pending(timestamp now) const noexcept { return now < m_pending_until; }

    void record_request(const advice_request& request, timestamp now);
    void record_answer(const advice_request& request, const advice_answer& answer, timestamp now);

  private:
    struct verdict {
        std::string ticket; ///< Empty if the VM may not run the step.
        timestamp expires_at{0};
    };

    std::map<std::string, verdict> m_verdicts;
    timestamp m_pending_until{0};
};

/// Number of VMs that one query names at most for a step with `idle_tasks` tasks without a run. Each VM makes
/// the answer take longer, so no more VMs are named than the step may need.
[[nodiscard]] std::size_t vms_per_query(std::size_t idle_tasks);

} // namespace siskinpaddle::jobs
