#pragma once

#include "fakes/platform_store.hpp"
#include "fakes/task_machine.hpp"
#include "soak/child_process.hpp"
#include "soak/fault_plan.hpp"
#include "soak/fault_proxy.hpp"
#include "soak/ledger.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinpaddle::soak {

/// How clients address the queue that is always there.
inline constexpr std::string_view client_host = "h.example";
inline constexpr std::string_view quotes_prefix = "/quotes/";

struct world_settings {
    std::string program; ///< The node program.
    std::string folder;  ///< Settings and logs of the nodes go there.
    std::uint32_t nodes = 3;
    std::uint32_t vms = 4;
};

/// Real node processes on loopback among stand-ins of the store and of VMs, with a proxy on each link from a
/// node to the store, to a node's clients and to a VM. Carries faults out. Not thread-safe.
class world {
  public:
    world(event_loop& loop, world_settings settings);

    /// Starts everything. Returns false if something could not be started.
    [[nodiscard]] bool start();
    void apply(const planned_fault& fault);
    /// Ends the fault. Of faults that overlap on one link, VM, node or the store the newest shows, and the
    /// target is well again when the last of them is mended.
    void mend(const planned_fault& fault);

    /// Restarts nodes that were killed; call often. Ends that nobody ordered are added to problems().
    void tend();
    /// Gives slow nodes the processor in short turns; call every few milliseconds.
    void take_turns();
    /// Clients' address of a node, over its proxy.
    [[nodiscard]] endpoint clients_of(std::uint32_t node) const;
    /// Counts a node's processes.
    [[nodiscard]] std::uint32_t incarnation_of(std::uint32_t node) const { return m_nodes[node]->starts; }
    [[nodiscard]] std::uint32_t nodes() const noexcept { return m_settings.nodes; }
    /// Version of the newest configuration, and the prefix of the queue that came with it.
    [[nodiscard]] std::int64_t version() const noexcept { return m_version; }
    [[nodiscard]] static std::string extra_prefix(std::int64_t version);

    /// All runs that VMs have had, those of crashed VMs too.
    [[nodiscard]] std::vector<vm_run> runs() const;
    /// What VMs had room for, those of crashed VMs too.
    [[nodiscard]] std::vector<fakes::vm_capacity> capacities() const;
    /// Whether the owner of the fencing token had been free of faults for `contact` at that moment, and the
    /// store, too.
    [[nodiscard]] bool in_touch(std::int64_t token, timestamp at, milliseconds contact) const;
    [[nodiscard]] const std::vector<std::string>& problems() const noexcept { return m_problems; }

  private:
    struct node_place {
        std::string id;
        std::string settings_file;
        std::string log;
        endpoint clients;
        std::unique_ptr<fault_proxy> store_link;
        std::unique_ptr<fault_proxy> client_link;
        std::uint16_t client_port = 0;
        std::unique_ptr<child_process> process;
        std::uint32_t starts = 0;
        timestamp started{0};
        std::uint32_t held_down = 0; ///< Faults that keep it from being restarted.
        std::uint32_t paused = 0;
        std::uint32_t slowed = 0;
        bool between_turns = false; ///< Slow, and stopped until `turns_at`.
        timestamp turns_at{0};
        bool ending = false; ///< Its end was ordered.
        timestamp terminated{0};
    };
    struct vm_place {
        std::unique_ptr<fakes::task_machine> machine;
        std::unique_ptr<fault_proxy> link;
        std::uint32_t shrunk = 0; ///< Faults that leave it less room.
    };
    /// Time in which a node, or all of them, may not reach the store or the VMs.
    struct trouble {
        planned_fault fault;
        const node_place* node = nullptr; ///< Null: all.
        timestamp from{0};
        std::optional<timestamp> until;
    };

    [[nodiscard]] bool place_node(std::uint32_t number);
    void start_node(node_place& place);
    void place_vm(std::uint32_t number);
    void shrink_vm(vm_place& place, bool on);
    static void set_failing(const vm_place& place, bool on);
    static void delay_orders(const vm_place& place);
    [[nodiscard]] vm_place& vm_of(const planned_fault& fault) { return m_vms[fault.target % m_settings.vms]; }
    void note_owner(const std::string& key);
    void note_trouble(const planned_fault& fault);
    void end_trouble(const planned_fault& fault);
    void configure();
    void apply_to_node(node_place& place, fault_kind kind);
    void mend_node(node_place& place, fault_kind kind);
    void set_store(fault_kind kind, bool on);
    void hold_jobs(bool on);
    static void reload(const node_place& place);
    [[nodiscard]] fault_proxy* link_of(const planned_fault& fault);

    event_loop& m_loop;
    world_settings m_settings;
    fakes::platform_store m_store;
    std::vector<std::unique_ptr<node_place>> m_nodes;
    std::vector<vm_place> m_vms;
    std::map<std::int64_t, const node_place*> m_owners; ///< By fencing token.
    std::vector<trouble> m_troubles;
    std::map<fault_proxy*, std::uint32_t> m_link_faults; ///< Open faults of each link.
    std::int64_t m_version = 2;
    std::uint32_t m_silent = 0;
    std::uint32_t m_busy = 0;
    std::uint32_t m_holding = 0;
    std::vector<std::string> m_problems;
};

} // namespace siskinpaddle::soak
