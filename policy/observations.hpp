#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace siskinpaddle {

/// What the platform's list says of a VM. The list lags.
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
    std::uint64_t boot_count = 0; ///< Rises with each reboot.
};

/// What one entry last reported about itself and the VMs, received in a heartbeat.
struct entry_report {
    std::uint64_t incarnation = 0;
    std::uint64_t applied_config = 0;
    std::uint64_t applied_fleet = 0;
    timestamp received_at{0};          ///< When the report arrived, on the reader's clock.
    std::set<std::string> busy_vms;    ///< Not serving at `applied_fleet`, yet with its requests in progress.
    std::set<std::string> suspect_vms; ///< Serving, but its requests or health checks fail there.
    std::set<std::string> healthy_vms; ///< Returning, and passed its health check.
    bool has_process_ended = false;    ///< Its own port refused connections: nothing listens there any more.
};

/// All that the planner knows besides the configuration and the fleet record.
struct observations {
    bool is_list_known = false; ///< False until the VM list was read once.
    timestamp list_read_at{0};  ///< When the list was last read.
    std::map<std::string, listed_vm> listed_vms;
    std::map<std::string, entry_report> entries;
    std::map<std::string, int> tasks; ///< Tasks that may still run, per VM.
};

} // namespace siskinpaddle
