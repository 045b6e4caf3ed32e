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

/// What an entry says of itself about once a second, and at once when a value came into force.
struct heartbeat {
    std::string id;
    std::string availability_zone;
    std::string address;
    std::uint16_t peer_port = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Rises within an incarnation; an older one that arrives late is dropped.
    bool ready = false;
    std::map<std::string, std::uint64_t> revisions; ///< In force at this entry.
    std::set<std::string> busy_vms;
    std::set<std::string> suspect_vms;
    std::set<std::string> healthy_vms;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(id, availability_zone, address, peer_port, incarnation, sequence, ready, revisions, busy_vms,
                suspect_vms, healthy_vms);
    }
};

/// Asks a peer for newer values than those listed.
struct value_request {
    std::string from;
    std::map<std::string, std::uint64_t> known_revisions;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(from, known_revisions);
    }
};

/// One value in a reply: whole, or as the changes since the revision that the asker has.
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
