#pragma once

#include "fakes/fault_proxy.hpp"
#include "fakes/platform_store.hpp"
#include "fakes/task_machine.hpp"
#include "soak/account_script.hpp"
#include "soak/child_process.hpp"
#include "soak/configuration_checks.hpp"
#include "soak/fault_plan.hpp"
#include "soak/invariant_checks.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinpaddle::soak {

/// Host and path prefix of the queue that exists in every configuration version.
inline constexpr std::string_view client_host = "h.example";
inline constexpr std::string_view quotes_prefix = "/quotes/";
/// Path prefix of a queue whose jobs run in another pool.
inline constexpr std::string_view bulk_prefix = "/bulk/";
/// Path prefix of a queue that leads to one pool or the other, or doesn't exist, by configuration version.
inline constexpr std::string_view moving_prefix = "/moving/";
/// What each task needs.
inline constexpr jobs::resources task_need{500, 64, 0};
/// Time within which a revoked API key must be refused, in the nodes' settings.
inline constexpr milliseconds key_revocation_time = 5s;
inline constexpr milliseconds configuration_time = 3s;

struct test_cluster_settings {
    std::string program; ///< The node program.
    std::string folder;  ///< Directory for the nodes' settings files and logs.
    std::uint32_t nodes = 3;
    std::uint32_t vms = 4;
};

/// Runs real node processes on loopback with fakes of the store and the VMs, and injects faults. There is a
/// fault_proxy between each node and the store, between each node and its clients, and before each VM. Not
/// thread-safe.
class test_cluster {
  public:
    test_cluster(event_loop& loop, test_cluster_settings settings, std::uint64_t seed);

    /// Starts the store, the VMs and the nodes. Returns false if the store or a node can't be started.
    [[nodiscard]] bool start();
    void apply(const planned_fault& fault);
    /// Ends the fault. If faults overlap on one link, VM, node or the store, the newest one takes effect, and
    /// the target works normally again when the last of them is reverted.
    void revert(const planned_fault& fault);

    /// Restarts nodes that were killed, and removes expired VM registrations. Adds unexpected ends of nodes
    /// to problems(). Must be called every few tens of milliseconds.
    void update();
    /// Stops and continues the processes of slow and weak nodes periodically. Must be called every few
    /// milliseconds.
    void switch_slow_nodes();
    /// Endpoint of a node for clients, through the node's proxy.
    [[nodiscard]] endpoint client_endpoint(std::uint32_t node) const;
    /// Number of processes started for the node so far.
    [[nodiscard]] std::uint32_t incarnation_of(std::uint32_t node) const { return m_nodes[node]->starts; }
    [[nodiscard]] std::uint32_t nodes() const noexcept { return m_settings.nodes; }
    /// Version of the newest configuration.
    [[nodiscard]] std::int64_t configuration_version() const noexcept { return m_configuration_version; }
    [[nodiscard]] const publication_times& publications() const noexcept { return m_publications; }
    [[nodiscard]] const endpoint& metrics_endpoint(std::uint32_t node) const {
        return m_nodes[node]->metrics;
    }
    /// Whether the node's process ran, and neither it nor the store had a fault that can keep it from
    /// following the store, for `contact` before now.
    [[nodiscard]] bool is_in_touch(std::uint32_t node, milliseconds contact) const;
    /// The accounts of the published configurations.
    [[nodiscard]] account_script& accounts() noexcept { return m_accounts; }
    [[nodiscard]] const account_script& accounts() const noexcept { return m_accounts; }
    /// Publishes a configuration with the accounts' largest limits.
    void raise_limits();
    /// Path prefix of the queue that exists only in this configuration version.
    [[nodiscard]] static std::string extra_prefix(std::int64_t version);

    /// All runs of all VMs, including crashed ones.
    [[nodiscard]] std::vector<vm_run> runs() const;
    /// All capacities that VMs have reported, including crashed ones.
    [[nodiscard]] std::vector<fakes::vm_capacity> capacities() const;
    /// Whether, for `contact` before `at`, neither the store nor the node that held the fencing token had a
    /// fault that can keep an owner from reaching the store or the VMs.
    [[nodiscard]] bool had_contact(std::int64_t token, timestamp at, milliseconds contact) const;
    /// Fencing token of the pool's newest owner; 0 if there was none yet.
    [[nodiscard]] std::int64_t newest_owner() const {
        return m_owners.empty() ? 0 : m_owners.rbegin()->first;
    }
    [[nodiscard]] const std::vector<std::string>& problems() const noexcept { return m_problems; }

  private:
    static constexpr std::string_view pool_name = "p";
    /// A second pool, so that accounts run tasks in pools with different owners. No fault concerns its VMs.
    static constexpr std::string_view bulk_pool_name = "q";

    struct cluster_node {
        std::string id;
        std::string settings_file;
        std::string log;
        endpoint clients;
        endpoint metrics;
        std::unique_ptr<fakes::fault_proxy> store_link;
        std::unique_ptr<fakes::fault_proxy> client_link;
        std::uint16_t client_port = 0;
        std::unique_ptr<child_process> process;
        std::uint32_t starts = 0;
        timestamp started_at{0};
        std::uint32_t restart_blocks = 0; ///< Number of open faults that prevent a restart of the node.
        std::uint32_t pause_count = 0;
        std::uint32_t slow_count = 0;
        bool is_weak = false;         ///< Gets less processor time than the others, all the time.
        bool is_slow_stopped = false; ///< The slow or weak node is stopped until `next_switch_at`.
        timestamp next_switch_at{0};
        bool is_ending = false; ///< A fault ended the process.
        timestamp terminated_at{0};
    };
    struct cluster_vm {
        std::unique_ptr<fakes::task_machine> machine;
        std::unique_ptr<fakes::fault_proxy> link;
        std::uint32_t shrink_count = 0; ///< Number of open faults that reduce the VM's capacity.
    };
    /// Period in which a node, or all nodes, may be unable to reach the store or the VMs.
    struct contact_outage {
        planned_fault fault;
        const cluster_node* node = nullptr; ///< Null: all nodes.
        timestamp from{0};
        std::optional<timestamp> until;
    };

    [[nodiscard]] bool add_node(std::uint32_t number);
    void start_node(cluster_node& state);
    void add_vm(std::uint32_t number);
    void set_shrunk(cluster_vm& state, bool enabled);
    static void set_failing(const cluster_vm& state, bool enabled);
    static void delay_orders(const cluster_vm& state);
    void restart_then_cut(cluster_vm& state);
    void run_later(milliseconds delay, std::function<void()> action);
    void leave_starts_unanswered(bool enabled);
    [[nodiscard]] cluster_vm& vm_of(const planned_fault& fault) {
        return m_vms[fault.target % m_settings.vms];
    }
    void record_owner(const std::string& key);
    /// Whether a fault concerned the node or the store at some time from `contact` before `at` on.
    [[nodiscard]] bool had_outage(const cluster_node& node, timestamp at, milliseconds contact) const;
    void record_outage(const planned_fault& fault);
    void end_outage(const planned_fault& fault);
    void publish_configuration();
    [[nodiscard]] std::string_view pool_of_moving_queue() const;
    void publish_next_configuration();
    void apply_node_fault(cluster_node& state, fault_kind kind);
    void revert_node_fault(cluster_node& state, fault_kind kind);
    void set_store_fault(fault_kind kind, bool enabled);
    void hold_job_writes(bool enabled);
    static void reload_node(const cluster_node& state);
    [[nodiscard]] fakes::fault_proxy* link_of(const planned_fault& fault);

    event_loop& m_loop;
    test_cluster_settings m_settings;
    fakes::platform_store m_store;
    account_script m_accounts;
    std::vector<std::unique_ptr<cluster_node>> m_nodes;
    std::vector<cluster_vm> m_vms;
    std::map<std::int64_t, const cluster_node*> m_owners; ///< Owners of the pool by fencing token.
    std::vector<contact_outage> m_outages;
    std::map<fakes::fault_proxy*, std::uint32_t> m_link_faults; ///< Number of open faults per link.
    std::int64_t m_configuration_version = 2;
    bool m_is_last_configuration = false; ///< The moving queue exists.
    publication_times m_publications;
    std::uint32_t m_weak_node; ///< Index of the node with little processor time.
    std::uint32_t m_unanswered_faults = 0;
    std::uint32_t m_silent_faults = 0;
    std::uint32_t m_busy_faults = 0;
    std::uint32_t m_hold_faults = 0;
    std::vector<std::string> m_problems;
    std::vector<std::unique_ptr<timer>> m_actions; ///< Later parts of faults.
};

} // namespace siskinpaddle::soak
