#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace siskinpaddle {

/// State of a VM in the platform's list. The list lags behind the actual state.
enum class listing_state : std::uint8_t { absent, live, leaving };

template <>
inline constexpr std::array enum_names<listing_state>{
    std::pair{listing_state::absent, std::string_view("absent")},
    std::pair{listing_state::live, std::string_view("live")},
    std::pair{listing_state::leaving, std::string_view("leaving")}};

/// A VM as the platform lists it.
struct listed_vm {
    std::string id;
    std::string availability_zone;
    std::string rack;
    std::string address;
    std::uint16_t port = 0;
    std::uint16_t agent_port = 0;
    std::uint32_t cores = 0;
    std::uint32_t memory_mb = 0;
    std::uint32_t accelerators = 0;
    listing_state state = listing_state::live;
    std::uint64_t boot_count = 0; ///< Increases with each reboot.
};

/// Last report of one entry about itself and the VMs, received in a heartbeat.
struct entry_report {
    std::uint64_t incarnation = 0;
    std::uint64_t applied_config = 0;
    std::uint64_t applied_fleet = 0;
    timestamp received_at{0};          ///< Time at which the report arrived, on the reader's clock.
    std::set<std::string> busy_vms;    ///< VMs that aren't serving at `applied_fleet` but run its requests.
    std::set<std::string> suspect_vms; ///< Serving VMs on which its requests or health checks fail.
    std::set<std::string> healthy_vms; ///< Returning VMs that have passed its health check.
    bool has_process_ended = false;    ///< The entry's port refused a connection: no process listens there.
};

/// Input of the planner besides the configuration and the fleet record.
struct observations {
    bool is_list_known = false; ///< False until the VM list has been read once.
    timestamp list_read_at{0};  ///< Time of the last read of the list.
    std::map<std::string, listed_vm> listed_vms;
    std::map<std::string, entry_report> entries;
    std::map<std::string, int> tasks; ///< Number of tasks that may still run, by VM.
};

} // namespace siskinpaddle
