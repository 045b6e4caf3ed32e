#pragma once

#include "node/configuration_task.hpp"
#include "node/membership_task.hpp"
#include "node/peer_client.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace siskinpaddle::node {

/// Owns the orders about machines: walks the operator's waves of upkeep. One holder at a time, since one
/// machine must never hear two holders in turn. Lives from gaining the duty until losing it. Not thread-safe.
class fleet_task {
  public:
    /// What the task works with; all outlive it.
    struct context {
        event_loop& loop;
        const node_settings& settings;
        platform::store_client& store;
        membership_task& membership;
        configuration_task& configuration;
        /// Asks a pool's owner, here or elsewhere.
        std::function<void(const peer_request&, peer_server::reply)> ask_pool;
    };

    fleet_task(context parts, const ownership& held);

    void start();
    void renew_token(const ownership& held) { m_held = held; }
    void stop() { m_stopped = true; }

  private:
    struct wave {
        jobs::wave_state state;
        std::int64_t record_revision = -1; ///< -1: not read yet.
        bool reading = false;
        bool writing = false;
        bool told_running = false;
        bool completed = false;
    };

    void tick();
    void load(std::int64_t number);
    void loaded(std::int64_t number, const platform::store_answer& answer);
    void look();
    void take_machines(const platform::machine_list& list);
    void plan();
    void clear(const std::map<std::string, std::set<std::string>>& by_pool);
    void order(wave& item, const std::string& machine);
    void ordered(std::int64_t number, const std::string& machine, platform::machine_outcome outcome);
    void tell(std::int64_t number, bool completed);
    [[nodiscard]] bool may_order() const;

    context m_parts;
    ownership m_held;
    platform::machine_client m_machines_client;
    std::unique_ptr<timer> m_timer;
    timestamp m_quiet_until;
    std::map<std::int64_t, wave> m_waves;
    std::map<std::string, jobs::upkeep_machine> m_machines;
    std::set<std::string> m_idle_vms;
    std::set<std::string> m_asked_pools; ///< Pools that were last asked to clear something.
    bool m_looking = false;
    bool m_stopped = false;
    lifetime m_lifetime;
};

} // namespace siskinpaddle::node
