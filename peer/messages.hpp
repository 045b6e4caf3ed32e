#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace siskinpaddle {

/// Names of the replicated values; job tables follow as "jobs/POOL".
inline constexpr std::string_view config_value = "config";
inline constexpr std::string_view fleet_value = "fleet";
inline constexpr std::string_view jobs_prefix = "jobs/";

/// State that an entry reports about once a second, and immediately when a new value is in force.
struct heartbeat {
    std::string id;
    std::string availability_zone;
    std::string address;
    std::uint16_t peer_port = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Increases within an incarnation; late, older heartbeats are dropped.
    bool ready = false;
    std::map<std::string, std::uint64_t> revisions; ///< Revisions in force at this entry, by value name.
    std::set<std::string> busy_vms;
    std::set<std::string> suspect_vms;
    std::set<std::string> healthy_vms;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(id, availability_zone, address, peer_port, incarnation, sequence, ready, revisions, busy_vms,
                suspect_vms, healthy_vms);
    }
};

/// Requests all values that are newer than `known_revisions` from a peer.
struct value_request {
    std::string from;
    std::map<std::string, std::uint64_t> known_revisions;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(from, known_revisions);
    }
};

/// One value in a reply: complete, or as the changes since the revision that the requester has.
struct value_transfer {
    std::string name;
    std::uint64_t revision = 0;
    std::uint64_t store_version = 0;
    bool is_delta = false;
    std::string bytes;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(name, revision, store_version, is_delta, bytes);
    }
};

struct value_reply {
    std::vector<value_transfer> values;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(values);
    }
};

} // namespace siskinpaddle
