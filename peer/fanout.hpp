#pragma once

#include "policy/policy.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace siskinpaddle {

/// How long a peer may be silent before others take over what it does.
inline constexpr milliseconds peer_silence_timeout = 3s;

/// Peers to send a heartbeat to at `tick`: the planner, two neighbours within the zone and one entry of the
/// whole deployment in turn. Every entry is reached in some tick, while the cost of a tick doesn't grow with
/// their number. Pure.
[[nodiscard]] std::vector<entry_record> select_heartbeat_peers(const fleet_record& fleet,
                                                               const std::string& self, std::uint64_t tick);

/// Peers to tell at once that a value came into force: the own zone, and the first entry of every other zone.
/// Pure.
[[nodiscard]] std::vector<entry_record> select_peers_to_notify(const fleet_record& fleet,
                                                               const std::string& self);

/// Entries that have not been heard of for `peer_silence_bound`; `self` is never among them. Pure.
[[nodiscard]] std::set<std::string> find_silent_peers(const fleet_record& fleet,
                                                      const std::map<std::string, timestamp>& last_heartbeats,
                                                      const std::string& self, timestamp now);

/// Whether `self` watches the store for its zone: the first of the zone's entries that is not silent does. An
/// entry that isn't registered watches for itself. Pure.
[[nodiscard]] bool watches_store(const fleet_record& fleet, const std::string& self,
                                 const std::set<std::string>& silent);

/// The entry that looks after a VM (its health checks and task leases): one of its own zone that is not
/// silent, chosen by hash so that VMs spread evenly and few change hands when entries do. Any zone's entry
/// when the own zone has none. Empty when nobody is left. Pure.
[[nodiscard]] std::string find_responsible_entry(const fleet_record& fleet, const vm_record& vm,
                                                 const std::set<std::string>& silent);

} // namespace siskinpaddle
