#pragma once

#include "node/fleet_task.hpp"
#include "node/ingress_task.hpp"
#include "node/operator_view.hpp"
#include "node/pool_task.hpp"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace siskinpaddle::node {

/// A node process: creates its tasks on one event loop, and starts and gracefully stops them. Not
/// thread-safe.
class node {
  public:
    node(event_loop& loop, const node_settings& settings);

    /// Binds all listeners. Findings name each address that can't be bound.
    [[nodiscard]] findings listen();
    /// Precondition: listen() returned no findings.
    void start();
    /// Releases all duties, answers the requests in progress, then calls `stopped`, within the grace period.
    void stop(std::function<void()> stopped);

  private:
    /// To and from VMs, the store, other nodes as their client and as their server, and clients.
    using link_traffic = std::array<byte_counts, 5>;
    /// The listening addresses with their names in the log and the metrics.
    using listener_table = std::array<std::pair<std::string_view, const http_server*>, 4>;

    void configuration_changed();
    void pool_record_changed(const std::string& pool);
    void update_duties();
    void duty_gained(const ownership& held);
    void duty_lost(const std::string& duty);
    void handle_store_recovery();
    void hand_over_pools(timestamp now);
    void hand_over(const std::string& duty, std::size_t attempt);
    void accept_handover(const peer_request& request, peer_server::reply done);
    [[nodiscard]] peer_outcome check_key(peer_request& request) const;
    void set_account_metrics(const pool_task& task);
    void set_call_metrics(const std::string& server, const std::map<std::string, call_counts>& calls);
    bool handle_local(const peer_request& request, const peer_server::reply& done);
    void handle_peer(const peer_request& request, peer_server::reply done);
    void send_to_pool_owner(const peer_request& request, peer_server::reply done);
    [[nodiscard]] bool ready() const;
    void tick();
    [[nodiscard]] link_traffic traffic() const;
    void share_link(timestamp now);
    void log_link_load(timestamp now);
    [[nodiscard]] listener_table listeners() const;
    void log_closed_connections(timestamp now);
    void set_connection_metrics();
    std::string describe_store_reads(double seconds);
    void finish_stop();
    void answer_operator(server_request& request);
    [[nodiscard]] std::string metrics_text();

    event_loop& m_loop;
    const node_settings& m_settings;
    metrics m_counters;
    platform::store_client m_store;
    platform::vm_client m_vms;
    platform::machine_client m_machines;
    platform::advice_client m_advice;
    peer_client m_peers;
    configuration_task m_configuration;
    pool_records m_pool_records;
    membership_task m_membership;
    std::map<std::string, std::unique_ptr<pool_task>> m_pools;
    std::unique_ptr<fleet_task> m_fleet;
    std::set<std::string> m_handovers; ///< Duties handed over since the store was last reached.
    ingress_task m_ingress;
    peer_server m_peer_server;
    http_server m_readiness;
    operator_view m_operator_view;
    http_server m_metrics_server;
    std::unique_ptr<timer> m_timer;
    std::function<void()> m_stopped;
    timestamp m_stop_at{0};
    std::size_t m_stopping_pools = 0;
    timestamp m_link_shared_at{0};
    /// Received besides large answers of the store in the background, as of then.
    std::uint64_t m_other_bytes_received = 0;
    link_traffic m_link_traffic;                                     ///< As of the last log line.
    std::map<std::string, std::uint64_t, std::less<>> m_store_reads; ///< Likewise.
    timestamp m_link_logged_at{0};
    timestamp m_limits_logged_at{0};
    std::array<closed_connections, std::tuple_size_v<listener_table>> m_logged_closures; ///< As of then.
    timestamp m_tick_due{0};
    milliseconds m_longest_lag{0}; ///< Longest delay of a tick since the metrics were last read.
    bool m_was_ready = false;
    bool m_store_reachable = false;
    bool m_stopping = false;
    bool m_closed = false;
    bool m_has_left = false;
    lifetime m_lifetime;
};

} // namespace siskinpaddle::node
