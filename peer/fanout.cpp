#include "peer/fanout.hpp"

#include <algorithm>

namespace siskinpaddle {

namespace {

constexpr std::size_t zone_neighbour_count = 2;

void add_if_absent(std::vector<entry_record>& peers, const entry_record& entry, const std::string& self) {
    const bool is_present = std::any_of(peers.begin(), peers.end(),
                                        [&entry](const entry_record& peer) { return peer.id == entry.id; });
    if (!is_present && entry.id != self) {
        peers.push_back(entry);
    }
}

} // namespace

std::vector<entry_record> select_heartbeat_peers(const fleet_record& fleet, const std::string& self,
                                                 std::uint64_t tick) {
    std::vector<entry_record> peers;
    if (const entry_record* planner = fleet.find_entry(fleet.planner)) {
        add_if_absent(peers, *planner, self);
    }
    const entry_record* own = fleet.find_entry(self);
    std::vector<const entry_record*> zone;
    for (const entry_record& entry : fleet.entries) {
        if (own != nullptr && entry.availability_zone == own->availability_zone) {
            zone.push_back(&entry);
        }
    }
    const auto position = std::find(zone.begin(), zone.end(), own);
    const auto offset = static_cast<std::size_t>(position - zone.begin());
    for (std::size_t i = 1; i <= zone_neighbour_count && i < zone.size(); ++i) {
        add_if_absent(peers, *zone[(offset + i) % zone.size()], self);
    }
    if (!fleet.entries.empty()) {
        // The start position depends on the entry's id, so that the entries don't all pick the same peer in
        // one tick.
        const std::uint64_t start = hash64(self);
        add_if_absent(peers, fleet.entries[(start + tick) % fleet.entries.size()], self);
    }
    return peers;
}

std::vector<entry_record> select_peers_to_notify(const fleet_record& fleet, const std::string& self) {
    std::vector<entry_record> peers;
    const entry_record* own = fleet.find_entry(self);
    std::set<std::string> zones;
    for (const entry_record& entry : fleet.entries) {
        const bool same_zone = own != nullptr && entry.availability_zone == own->availability_zone;
        if (same_zone || zones.insert(entry.availability_zone).second) {
            add_if_absent(peers, entry, self);
        }
    }
    return peers;
}

std::set<std::string> find_silent_peers(const fleet_record& fleet,
                                        const std::map<std::string, timestamp>& last_heartbeats,
                                        const std::string& self, timestamp now) {
    std::set<std::string> silent;
    for (const entry_record& entry : fleet.entries) {
        const auto last = last_heartbeats.find(entry.id);
        if (entry.id != self &&
            (last == last_heartbeats.end() || now - last->second > peer_silence_timeout)) {
            silent.insert(entry.id);
        }
    }
    return silent;
}

bool watches_store(const fleet_record& fleet, const std::string& self, const std::set<std::string>& silent) {
    const entry_record* own = fleet.find_entry(self);
    if (own == nullptr) {
        return true;
    }
    for (const entry_record& entry : fleet.entries) {
        if (entry.availability_zone == own->availability_zone && !silent.contains(entry.id)) {
            return entry.id == self;
        }
    }
    return true;
}

std::string find_responsible_entry(const fleet_record& fleet, const vm_record& vm,
                                   const std::set<std::string>& silent) {
    std::string chosen;
    std::uint64_t best = 0;
    bool chosen_is_local = false;
    for (const entry_record& entry : fleet.entries) {
        const bool local = entry.availability_zone == vm.availability_zone;
        if (silent.contains(entry.id) || (chosen_is_local && !local)) {
            continue;
        }
        const std::uint64_t weight = hash64(entry.id, hash64(vm.id));
        if (chosen.empty() || (local && !chosen_is_local) || weight > best) {
            chosen = entry.id;
            best = weight;
            chosen_is_local = local;
        }
    }
    return chosen;
}

} // namespace siskinpaddle
