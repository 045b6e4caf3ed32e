#pragma once

#include "jobs/job.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace siskinpaddle::jobs {

/// What shows that a life of a VM has ended.
enum class vm_end_cause : std::uint8_t {
    replaced,      ///< Another life answers at its address.
    superseded,    ///< A later life of its machine answers.
    lease_expired, ///< It was silent until the lease of all that ran there had run out; it may live and come
                   ///< back.
    ordered        ///< The platform has its machine down for upkeep, or in another pool.
};

/// A run that its VM's end took with it.
struct ended_run {
    task_id task;
    std::uint32_t attempt = 0;
    milliseconds age{0};    ///< From its start order to the VM's first missing answer.
    bool confirmed = false; ///< The VM had reported it, or answered its start.

    bool operator==(const ended_run&) const = default;
};

/// The end of a life of a VM, as its pool's owner sees it.
struct vm_end {
    std::string vm;
    std::string machine;
    vm_end_cause cause = vm_end_cause::replaced;
    bool had_responded = true;       ///< This owner had heard of it; else it may have ended at any time.
    bool draining = false;           ///< It had said that it would leave.
    bool isolated = false;           ///< It was kept for tasks of one job that are suspected of crashing VMs.
    timestamp unresponsive_since{0}; ///< Its first missing answer.
    std::vector<ended_run> runs;
};

} // namespace siskinpaddle::jobs

template <>
inline constexpr std::array siskinpaddle::enum_names<siskinpaddle::jobs::vm_end_cause>{
    std::pair{siskinpaddle::jobs::vm_end_cause::replaced, std::string_view("replaced")},
    std::pair{siskinpaddle::jobs::vm_end_cause::superseded, std::string_view("superseded")},
    std::pair{siskinpaddle::jobs::vm_end_cause::lease_expired, std::string_view("lapsed")},
    std::pair{siskinpaddle::jobs::vm_end_cause::ordered, std::string_view("ordered")}};
