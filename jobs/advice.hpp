#pragma once

#include "jobs/fleet_configuration.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace siskinpaddle::jobs {

/// A question to the policy service: which of these VMs may run the step?
struct advice_request {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<std::string> vms;
    milliseconds expected_duration{0}; ///< How long the service takes for it.
};

struct advice_answer {
    bool succeeded = false;
    std::map<std::string, std::string> tickets; ///< VM -> ticket, for those that may.
    milliseconds ticket_validity{0};
};

/// What is known of the VMs that may run one step. Not thread-safe.
class step_advice {
  public:
    /// The ticket for a VM, or null while there is no valid one.
    [[nodiscard]] const std::string* find_ticket(const std::string& vm, timestamp now) const;
    /// Whether the VM is worth asking about: it was not, or its answer has run out.
    [[nodiscard]] bool needs_query(const std::string& vm, timestamp now) const;
    [[nodiscard]] bool is_pending(timestamp now) const noexcept { return now < m_pending_until; }

    void record_request(const advice_request& request, timestamp now);
    void record_answer(const advice_request& request, const advice_answer& answer, timestamp now);

  private:
    struct verdict {
        std::string ticket; ///< Empty: it may not.
        timestamp expires_at{0};
    };

    std::map<std::string, verdict> m_verdicts;
    timestamp m_pending_until{0};
};

/// Most VMs that one question names. Each adds to the time of the answer, so only as many as the step may
/// need.
[[nodiscard]] std::size_t vms_per_query(std::size_t idle_tasks);

} // namespace siskinpaddle::jobs
