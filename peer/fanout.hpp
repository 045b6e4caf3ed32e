#pragma once

#include "policy/policy.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace siskinpaddle {

/// Time without a heartbeat after which other entries take over the work of a peer.
inline constexpr milliseconds peer_silence_timeout = 3s;

/// Selects the peers to send a heartbeat to at `tick`: the planner, two neighbours within the zone and one
/// entry of the whole deployment in turn. Every entry is reached in some tick, while the cost of a tick
/// doesn't grow with the number of entries. Pure.
[[nodiscard]] std::vector<entry_record> select_heartbeat_peers(const fleet_record& fleet,
                                                               const std::string& self, std::uint64_t tick);

/// Selects the peers to notify immediately when a new value is in force: all of the own zone, and the first
/// entry of every other zone. Pure.
[[nodiscard]] std::vector<entry_record> select_peers_to_notify(const fleet_record& fleet,
                                                               const std::string& self);

/// Returns the entries whose last heartbeat is older than `peer_silence_timeout` or missing. Never contains
/// `self`. Pure.
[[nodiscard]] std::set<std::string> find_silent_peers(const fleet_record& fleet,
                                                      const std::map<std::string, timestamp>& last_heartbeats,
                                                      const std::string& self, timestamp now);

/// Whether `self` watches the store for its zone: the first entry of the zone that is not silent does. An
/// entry that isn't registered watches the store on its own behalf. Pure.
[[nodiscard]] bool watches_store(const fleet_record& fleet, const std::string& self,
                                 const std::set<std::string>& silent);

/// Returns the entry that is responsible for a VM's health checks and task leases: an entry of the VM's zone
/// that is not silent, or one of any zone when the VM's zone has none. Rendezvous hashing spreads the VMs
/// evenly and reassigns few of them when the set of entries changes. Returns an empty string when every entry
/// is silent. Pure.
[[nodiscard]] std::string find_responsible_entry(const fleet_record& fleet, const vm_record& vm,
                                                 const std::set<std::string>& silent);

} // namespace siskinpaddle
