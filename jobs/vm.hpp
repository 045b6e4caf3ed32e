#pragma once

#include "jobs/job.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace siskinpaddle::jobs {

/// Returns the name of one incarnation of a VM: the time between a start of the VM and its end. A VM may
/// start again under its id, and then knows nothing of before; its clock and the numbers of its ends begin
/// anew. State that belongs to an incarnation must be kept under this name, not under the id. `started_ms`:
/// when the VM started, ms since 1970; 0 if it doesn't report that, and then the name is the id.
/// Precondition: `id` contains no '/'. Pure; thread-safe.
[[nodiscard]] std::string make_incarnation(std::string_view id, std::int64_t started_ms);
/// Returns the id under which the VM is registered and called. Pure; thread-safe.
[[nodiscard]] std::string_view vm_id_of(std::string_view incarnation) noexcept;
/// Returns the prefix that the names of all incarnations with this id have, if they report their start. Pure;
/// thread-safe.
[[nodiscard]] std::string incarnation_prefix(std::string_view id);
/// Returns when the incarnation started, ms since 1970; 0 if its VM doesn't report that. Pure; thread-safe.
[[nodiscard]] std::int64_t start_time_of(std::string_view incarnation) noexcept;

/// Registration of one incarnation of a VM.
struct vm_info {
    std::string incarnation; ///< As make_incarnation() returns it.
    std::string machine;     ///< Same for all incarnations of the VM.
    std::string pool;
    std::string address;
    std::uint16_t port = 0;
    std::string availability_zone;
    std::string kind;
    std::string rack;
    resources capacity;
    bool draining = false;
    std::int64_t remaining_ms = -1; ///< While draining: minimum time left; -1 if not reported.

    bool operator==(const vm_info&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(incarnation, machine, pool, address, port, availability_zone, kind, rack, capacity, draining,
                remaining_ms);
    }
};

/// How a run ended, as its VM reports it.
enum class run_end : std::uint8_t {
    done,
    failed,            ///< Caused by the task or by its VM.
    stopped,           ///< Stopped by an order of the pool's owner.
    lease_expired,     ///< The VM's lease expired.
    gang_member_ended, ///< Another member of its gang ended.
    gang_incomplete    ///< Timed out waiting for the other members of its gang.
};

/// A run that a VM reports as active.
struct running_report {
    task_id task;
    std::uint32_t attempt = 0;
    std::string checkpoint;
    std::int64_t percent = 0;
    std::int64_t usage = 0; ///< Tail latency in ms for serving tasks, else millicores in use.
};

/// A run that a VM reports as ended.
struct end_report {
    std::int64_t sequence = 0; ///< Counts the run ends of one incarnation, from 1.
    task_id task;
    std::uint32_t attempt = 0;
    run_end outcome = run_end::failed;
    std::string checkpoint;
};

/// A VM's answer to the renewal of its lease.
struct vm_report {
    std::int64_t clock_ms = 0; ///< Reading of the VM's steady clock.
    std::vector<running_report> running;
    std::vector<end_report> ended;
    std::int64_t started_ms = 0; ///< When the VM started, ms since 1970; 0 if it doesn't report that.
    timestamp requested_at{0};   ///< When the renewal was sent, on the owner's clock.
    /// The renewal had the incarnation's own fencing token: the VM refuses calls for earlier incarnations
    /// from now on.
    bool is_fenced = true;
};

/// Result of an order to a VM.
enum class order_outcome : std::uint8_t {
    accepted,
    refused_fenced,    ///< The VM has seen a higher fencing token.
    refused_outdated,  ///< The VM had the same or a newer run of the task.
    refused_deadline,  ///< The order's deadline had passed when it arrived.
    refused_capacity,  ///< The VM lacks free capacity for the task.
    refused_ticket,    ///< The ticket is missing or no longer valid.
    refused_unhealthy, ///< The VM reports itself unhealthy; the order was not carried out.
    refused_invalid,   ///< The VM can't interpret the order.
    wrong_incarnation, ///< A VM with another id answers at the address.
    restarted,         ///< The VM answers under the same id, but has started again.
    not_sent,          ///< No byte of the order left this process.
    unknown            ///< No answer: the order may have been, or may still be, carried out.
};

} // namespace siskinpaddle::jobs

template <>
inline constexpr std::array siskinpaddle::enum_names<siskinpaddle::jobs::run_end>{
    std::pair{siskinpaddle::jobs::run_end::done, std::string_view("done")},
    std::pair{siskinpaddle::jobs::run_end::failed, std::string_view("failed")},
    std::pair{siskinpaddle::jobs::run_end::stopped, std::string_view("stopped")},
    std::pair{siskinpaddle::jobs::run_end::lease_expired, std::string_view("lapsed")},
    std::pair{siskinpaddle::jobs::run_end::gang_member_ended, std::string_view("broken")},
    std::pair{siskinpaddle::jobs::run_end::gang_incomplete, std::string_view("alone")}};

template <>
inline constexpr std::array siskinpaddle::enum_names<siskinpaddle::jobs::order_outcome>{
    std::pair{siskinpaddle::jobs::order_outcome::accepted, std::string_view("accepted")},
    std::pair{siskinpaddle::jobs::order_outcome::refused_fenced, std::string_view("refused-fenced")},
    std::pair{siskinpaddle::jobs::order_outcome::refused_outdated, std::string_view("refused-old")},
    std::pair{siskinpaddle::jobs::order_outcome::refused_deadline, std::string_view("refused-late")},
    std::pair{siskinpaddle::jobs::order_outcome::refused_capacity, std::string_view("refused-room")},
    std::pair{siskinpaddle::jobs::order_outcome::refused_ticket, std::string_view("refused-ticket")},
    std::pair{siskinpaddle::jobs::order_outcome::refused_unhealthy, std::string_view("refused-unhealthy")},
    std::pair{siskinpaddle::jobs::order_outcome::refused_invalid, std::string_view("refused-invalid")},
    std::pair{siskinpaddle::jobs::order_outcome::wrong_incarnation, std::string_view("wrong-incarnation")},
    std::pair{siskinpaddle::jobs::order_outcome::restarted, std::string_view("restarted")},
    std::pair{siskinpaddle::jobs::order_outcome::not_sent, std::string_view("not-sent")},
    std::pair{siskinpaddle::jobs::order_outcome::unknown, std::string_view("unknown")}};
