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

/// Keeps the values of the platform in force at this entry: watches the store when it is this entry's turn,
/// hears from peers, pulls from whoever has something newer, and tells others.
class state_task {
  public:
    state_task(event_loop& loop, const entry_settings& settings, platform_client& platform);

    /// Binds the peer sockets. Returns false when the address can't be bound.
    [[nodiscard]] bool listen();
    void start();

    /// Called whenever a value came into force, with its name, before the revision is reported to anyone.
    /// Whatever a revision takes away has therefore ended here before the planner hears that it was applied.
    void on_change(std::function<void(const std::string&)> handler) {
        m_handlers.push_back(std::move(handler));
    }

    /// Adds this entry's own report to each heartbeat.
    void on_report(std::function<void(heartbeat&)> fill) { m_fill.push_back(std::move(fill)); }

    [[nodiscard]] const replica& values() const noexcept { return m_replica; }
    [[nodiscard]] const configuration& config() const noexcept { return m_replica.config(); }
    [[nodiscard]] const fleet_record& fleet() const noexcept { return m_replica.fleet(); }

    /// Takes a value that this entry has just written or read.
    void adopt(const std::string& name, const stored_value& value);

    /// Reads a value from the store now, or from a peer when the store doesn't answer. `done` is told whether
    /// anybody answered.
    void refresh(const std::function<void(bool)>& done);

    /// Reports of all entries, this one's own included.
    [[nodiscard]] const std::map<std::string, entry_report>& reports();
    [[nodiscard]] std::set<std::string> silent() const;

    /// Looks for the processes behind silent registrations; the result shows in reports().
    void probe_silent();

    [[nodiscard]] std::uint64_t incarnation() const noexcept { return m_incarnation; }
    /// Raises the incarnation above one that stands registered. Only before the first registration.
    void raise_incarnation(std::uint64_t above);
    [[nodiscard]] bool registered() const;
    void set_ready(bool ready) { m_ready = ready; }
    void cut_peers(bool cut) { m_peers.set_partitioned(cut); }

    [[nodiscard]] const peer_usage& usage() const noexcept { return m_peers.usage(); }
    [[nodiscard]] std::uint64_t peer_bytes() const noexcept { return m_peers.bytes_sent(); }

  private:
    struct watch_state {
        bool waiting = false;
        int failures = 0;
        std::unique_ptr<timer> again;
    };

    void tick();
    void beat(bool news);
    [[nodiscard]] heartbeat own_heartbeat();
    void hear(const heartbeat& message);
    void pull_from(const endpoint& peer, std::function<void(bool)> done = {});
    void take(const value_reply& reply);
    void report_offer(const std::string& name, apply_result result, std::uint64_t revision);
    void changed(const std::string& name);
    void keep_watches();
    void watch(const std::string& name);
    void watch_ended(const std::string& name, const store_answer& answer);
    [[nodiscard]] std::vector<std::string> value_names() const;

    event_loop& m_loop;
    const entry_settings& m_settings;
    platform_client& m_platform;
    peer_task m_peers;
    replica m_replica;
    random_source m_random;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_tick = 0;
    bool m_ready = false;
    bool m_pulling = false;
    std::map<std::string, timestamp> m_heard;
    std::map<std::string, entry_report> m_reports;
    std::map<std::string, watch_state> m_watches;
    std::vector<std::function<void(const std::string&)>> m_handlers;
    std::vector<std::function<void(heartbeat&)>> m_fill;
    std::unique_ptr<timer> m_ticker;
};

} // namespace siskinpaddle
