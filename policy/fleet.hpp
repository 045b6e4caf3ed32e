#pragma once

#include "core/core.hpp"

#include <boost/leaf.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace siskinpaddle {

/// State of a VM with regard to pools and maintenance. Only `serving` VMs get new work.
enum class vm_state : std::uint8_t {
    free,           ///< In no pool.
    serving,        ///< Accepts requests and jobs of its pool.
    cordoned,       ///< Leaving; not all entries have confirmed that they send no new work.
    draining,       ///< No entry sends new work; work in progress finishes.
    drained,        ///< No work of its pool is in progress.
    in_maintenance, ///< Being rebooted by the platform.
    returning,      ///< Running again; waits for its health check.
    lost            ///< Failed, or no longer listed by the platform.
};

template <>
inline constexpr std::array enum_names<vm_state>{
    std::pair{vm_state::free, std::string_view("free")},
    std::pair{vm_state::serving, std::string_view("serving")},
    std::pair{vm_state::cordoned, std::string_view("cordoned")},
    std::pair{vm_state::draining, std::string_view("draining")},
    std::pair{vm_state::drained, std::string_view("drained")},
    std::pair{vm_state::in_maintenance, std::string_view("in-maintenance")},
    std::pair{vm_state::returning, std::string_view("returning")},
    std::pair{vm_state::lost, std::string_view("lost")}};

/// Why a VM was taken out of service.
enum class stop_reason : std::uint8_t { none, wave, move, retire, failure };

template <>
inline constexpr std::array enum_names<stop_reason>{
    std::pair{stop_reason::none, std::string_view("none")},
    std::pair{stop_reason::wave, std::string_view("wave")},
    std::pair{stop_reason::move, std::string_view("move")},
    std::pair{stop_reason::retire, std::string_view("retire")},
    std::pair{stop_reason::failure, std::string_view("failure")}};

/// Record of one VM. The single `pool` field determines the pool that it belongs to, so a VM can't be in two
/// pools.
struct vm_record {
    std::string id;
    std::string availability_zone;
    std::string rack;
    std::string address;
    std::uint16_t port = 0;       ///< Port on which its target accepts requests.
    std::uint16_t agent_port = 0; ///< Port on which its worker accepts task calls.
    std::uint32_t cores = 0;
    std::uint32_t memory_mb = 0;
    std::uint32_t accelerators = 0;
    std::string pool;      ///< Empty when free.
    std::string next_pool; ///< Pool that it joins once drained, with `stop_reason::move`.
    vm_state state = vm_state::free;
    stop_reason reason = stop_reason::none;
    std::uint32_t epoch = 0; ///< Increases when the VM changes pool, is lost or restarts unexpectedly.
    std::uint64_t completed_wave = 0; ///< Order of the last wave that it has completed.
    std::uint64_t active_wave = 0;    ///< Order of the wave that it is being maintained for; 0 for none.
    std::uint64_t boot_count = 0;     ///< Last recorded boot count; in maintenance, that before the reboot.
    std::uint64_t state_revision = 0; ///< Fleet revision at which it entered `state`.

    bool operator==(const vm_record&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(id, availability_zone, rack, address, port, agent_port, cores, memory_mb, accelerators, pool,
                next_pool, state, reason, epoch, completed_wave, active_wave, boot_count, state_revision);
    }
};

/// One registered entry. A registered entry may be routing requests, so planned steps wait for it.
struct entry_record {
    std::string id;
    std::string availability_zone;
    std::string address;
    std::uint16_t peer_port = 0;
    std::string operator_address; ///< Address of its operator interface, to which others forward requests.
    std::uint16_t operator_port = 0;
    std::uint64_t incarnation = 0; ///< Distinguishes restarts of the process with this id.

    bool operator==(const entry_record&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(id, availability_zone, address, peer_port, operator_address, operator_port, incarnation);
    }
};

/// The single record of the fleet. Entries and VMs share one revision so that the compare-and-swap that
/// finishes a planned step fails when an entry has registered after the step was decided.
struct fleet_record {
    std::uint64_t revision = 0;
    std::string write_id; ///< Id of the write of this revision; identifies it if its reply is lost.
    std::string planner;  ///< Entry that holds the control lease, according to the last write.
    std::vector<entry_record> entries; ///< Sorted by id.
    std::vector<vm_record> vms;        ///< Sorted by id.

    bool operator==(const fleet_record&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(revision, write_id, planner, entries, vms);
    }

    [[nodiscard]] const vm_record* find_vm(std::string_view id) const;
    [[nodiscard]] vm_record* find_vm(std::string_view id);
    [[nodiscard]] const entry_record* find_entry(std::string_view id) const;

    /// Inserts or replaces a record, keeping the order by id.
    void put_vm(vm_record vm);
    void put_entry(entry_record entry);
    void remove_entry(std::string_view id);
};

/// Changes between two revisions; the usual form of transfer between peers.
struct fleet_delta {
    std::uint64_t base = 0;
    std::uint64_t revision = 0;
    std::string write_id;
    std::string planner;
    std::vector<entry_record> entries; ///< All entries, since there are few.
    std::vector<vm_record> changed;
    std::vector<std::string> removed;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(base, revision, write_id, planner, entries, changed, removed);
    }
};

[[nodiscard]] fleet_delta make_delta(const fleet_record& base, const fleet_record& next);

/// Applies `delta`. Returns false and leaves `fleet` unchanged when `fleet` is not at the delta's base.
[[nodiscard]] bool apply_delta(fleet_record& fleet, const fleet_delta& delta);

/// Encodes the record in a portable binary form (cereal).
[[nodiscard]] std::string encode_fleet(const fleet_record& fleet);

/// Decodes the output of `encode_fleet`. Fails with `decode_error` for damaged input.
[[nodiscard]] boost::leaf::result<fleet_record> decode_fleet(std::string_view bytes);

} // namespace siskinpaddle
