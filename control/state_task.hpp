#pragma once

#include "control/entry_settings.hpp"
#include "peer/peer.hpp"
#include "trial/trial.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace siskinpaddle {

/// Keeps this entry's replica of the stored values up to date and notifies peers of changes. Watches the
/// store when this entry does so for its zone, receives heartbeats from peers, and pulls newer values from
/// peers that have them. Not thread-safe.
class state_task {
  public:
    state_task(event_loop& loop, const entry_settings& settings, platform_client& platform);

    /// Binds the peer sockets. Returns false when the address can't be bound.
    [[nodiscard]] bool listen();
    void start();

    /// Adds a handler that is called with the name of each value that changes, before the new revision is
    /// reported to any peer. Work that the revision no longer allows has therefore ended at this entry before
    /// the planner receives the report that the revision is applied.
    void on_change(std::function<void(const std::string&)> handler) {
        m_change_handlers.push_back(std::move(handler));
    }

    /// Adds a function that fills in parts of this entry's report in each heartbeat.
    void add_heartbeat_filler(std::function<void(heartbeat&)> filler) {
        m_heartbeat_fillers.push_back(std::move(filler));
    }

    [[nodiscard]] const replica& values() const noexcept { return m_replica; }
    [[nodiscard]] const configuration& config() const noexcept { return m_replica.config(); }
    [[nodiscard]] const fleet_record& fleet() const noexcept { return m_replica.fleet(); }

    /// Applies a value that this entry has just written to the store or read from it.
    void apply_value(const std::string& name, const stored_value& value);

    /// Reads the configuration and the fleet record from the store, or from a random peer when the store
    /// doesn't answer. Calls `done` with true when the store has answered the read of the fleet record or the
    /// peer has answered.
    void refresh(const std::function<void(bool)>& done);

    /// Returns the latest reports of all entries, including a current report of this entry.
    [[nodiscard]] const std::map<std::string, entry_report>& reports();
    [[nodiscard]] std::set<std::string> find_silent_entries() const;

    /// Checks for each silent entry whether its process has ended; reports() includes the result.
    void probe_silent_entries();

    [[nodiscard]] std::uint64_t incarnation() const noexcept { return m_incarnation; }
    /// Raises the incarnation above a registered one. Precondition: this process is not registered.
    void raise_incarnation(std::uint64_t above);
    [[nodiscard]] bool is_registered() const;
    void set_ready(bool ready) { m_is_ready = ready; }
    void set_partitioned(bool partitioned) { m_peers.set_partitioned(partitioned); }

    [[nodiscard]] const peer_usage& usage() const noexcept { return m_peers.usage(); }
    [[nodiscard]] std::uint64_t peer_bytes() const noexcept { return m_peers.bytes_sent(); }

  private:
    struct watch_state {
        bool is_active = false;
        int consecutive_failures = 0;
        std::unique_ptr<timer> retry_timer;
    };

    void tick();
    void send_heartbeats(bool value_changed);
    [[nodiscard]] heartbeat make_own_heartbeat();
    void handle_heartbeat(const heartbeat& message);
    void pull_from(const endpoint& peer, std::function<void(bool)> done = {});
    void apply_reply(const value_reply& reply);
    void handle_apply_result(const std::string& name, apply_result result, std::uint64_t revision);
    void handle_change(const std::string& name);
    void start_missing_watches();
    void watch_value(const std::string& name);
    void handle_watch_answer(const std::string& name, const store_answer& answer);
    [[nodiscard]] std::vector<std::string> value_names() const;

    event_loop& m_loop;
    const entry_settings& m_settings;
    platform_client& m_platform;
    peer_task m_peers;
    replica m_replica;
    random_source m_random;
    std::uint64_t m_incarnation;
    std::uint64_t m_heartbeat_sequence = 0;
    std::uint64_t m_tick_count = 0;
    bool m_is_ready = false;
    bool m_pulling = false;
    std::map<std::string, timestamp> m_last_heartbeats;
    std::map<std::string, entry_report> m_reports;
    std::map<std::string, watch_state> m_watches;
    std::vector<std::function<void(const std::string&)>> m_change_handlers;
    std::vector<std::function<void(heartbeat&)>> m_heartbeat_fillers;
    std::unique_ptr<timer> m_heartbeat_timer;
};

} // namespace siskinpaddle
