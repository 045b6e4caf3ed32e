#pragma once

#include "jobs/job.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace siskinpaddle::jobs {

/// Evidence that an incarnation of a VM has ended.
enum class vm_end_cause : std::uint8_t {
    replaced,      ///< A VM with another id answers at its address.
    restarted,     ///< The VM answers under the same id, but has started again.
    superseded,    ///< A later incarnation on its machine answers.
    lease_expired, ///< Unresponsive until the leases of all its runs had expired; it may still be alive.
    ordered        ///< The platform has taken its machine down for maintenance or moved it to another pool.
};

/// A run that ended with its VM.
struct ended_run {
    task_id task;
    std::uint32_t attempt = 0;
    milliseconds age{0};    ///< From its start order to the VM's first missing answer.
    bool confirmed = false; ///< The VM had reported the run, or answered its start order.

    bool operator==(const ended_run&) const = default;
};

/// The end of an incarnation of a VM, as detected by its pool's owner.
struct vm_end {
    std::string vm;
    std::string machine;
    vm_end_cause cause = vm_end_cause::replaced;
    bool had_responded = true;       ///< It had responded to this owner; else it may have ended at any time.
    bool draining = false;           ///< It had reported that it was draining.
    bool isolated = false;           ///< It was reserved for one job's tasks suspected of crashing VMs.
    timestamp unresponsive_since{0}; ///< Time of its first missing answer.
    std::int64_t clock_ms = -1;      ///< Its clock in its last response; -1 if it had not responded.
    std::int64_t granted_deadline = 0; ///< Latest deadline that was sent to it, on its clock.
    std::vector<ended_run> runs;
};

} // namespace siskinpaddle::jobs

template <>
inline constexpr std::array siskinpaddle::enum_names<siskinpaddle::jobs::vm_end_cause>{
    std::pair{siskinpaddle::jobs::vm_end_cause::replaced, std::string_view("replaced")},
    std::pair{siskinpaddle::jobs::vm_end_cause::restarted, std::string_view("restarted")},
    std::pair{siskinpaddle::jobs::vm_end_cause::superseded, std::string_view("superseded")},
    std::pair{siskinpaddle::jobs::vm_end_cause::lease_expired, std::string_view("lapsed")},
    std::pair{siskinpaddle::jobs::vm_end_cause::ordered, std::string_view("ordered")}};
