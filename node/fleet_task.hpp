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

/// Owns the orders about machines: walks the operator's waves of upkeep, and lets machines follow the demand
/// from pool to pool. One holder at a time, since one machine must never hear two holders in turn. Lives from
/// gaining the duty until losing it. Not thread-safe.
///
/// A round asks every pool's owner for its demand and tells it which VMs to keep empty, lists the machines,
/// and plans. A VM is only ordered away when its owner has answered that it keeps it empty and nothing runs
/// there.
class fleet_task {
  public:
    /// What the task works with; all outlive it.
    struct context {
        event_loop& loop;
        const node_settings& settings;
        platform::store_client& store;
        platform::machine_client& machines;
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
        bool loaded = false;
        bool reading = false;
        bool told_running = false;
        bool completed = false;
    };
    /// A machine that was ordered into another pool and is not known to work there.
    struct pending_move {
        std::string pool;
        std::string vm_before;
        timestamp ordered_at{0};
    };

    void round();
    void ask_pools();
    void pool_answered(const std::string& pool, const std::set<std::string>& kept_empty, std::uint64_t round,
                       const peer_answer& answer);
    void list_machines();
    void take_machines(const platform::machine_list& list);
    void settle_moves();
    void plan();
    void plan_waves();
    void plan_moves();
    void refill_orders();
    [[nodiscard]] std::vector<jobs::balance_machine> balance_view() const;
    [[nodiscard]] std::map<std::string, jobs::wave_machine> upkeep_view() const;
    [[nodiscard]] std::string spare_pool() const;
    [[nodiscard]] std::size_t arriving(const std::string& pool) const;

    void give_orders();
    void announce(const std::vector<std::string>& machines, std::function<void(bool)> done);
    void write_announcement(const std::vector<std::string>& machines, const std::function<void(bool)>& done);
    void read_announcements();

    void load(std::int64_t number);
    void loaded(std::int64_t number, const platform::store_answer& answer);
    void plan_upkeep(wave& item, const std::string& machine);
    void order_upkeep(std::int64_t number, const std::string& machine);
    void upkeep_ordered(std::int64_t number, const std::string& machine, platform::machine_outcome outcome);
    void record_wave(const jobs::wave_state& state);
    void plan_move(const jobs::machine_move& move);
    [[nodiscard]] std::map<std::string, jobs::pool_demand> known_demands() const;
    void order_move(const jobs::machine_move& move);
    void move_ordered(const jobs::machine_move& move, const std::string& kind,
                      platform::machine_outcome outcome);
    void tell(std::int64_t number, bool completed);
    [[nodiscard]] bool may_order() const;

    context m_parts;
    ownership m_held;
    std::unique_ptr<timer> m_timer;
    std::unique_ptr<timer> m_answers_bound;

    std::uint64_t m_round = 0;
    timestamp m_round_began_at{0};
    std::set<std::string> m_unanswered; ///< Pools whose owners have not answered in this round.
    std::map<std::string, jobs::pool_demand> m_demands; ///< As answered in this round.
    struct latest_demand {
        jobs::pool_demand demand;
        timestamp at{0};
    };
    std::map<std::string, latest_demand> m_latest_demands; ///< As last answered, in whatever round.
    std::set<std::string> m_empty_vms;                     ///< Kept empty by their owners as of this round.
    std::map<std::string, platform::machine_info> m_machines;
    bool m_again_at_once = false; ///< A VM was newly asked for: the next round can order it away.

    /// An order that is planned and not yet announced.
    struct planned_order {
        std::string machine;
        std::function<void()> give;
        std::function<void()> take_back;
    };
    std::vector<planned_order> m_planned;
    double m_orders_left = 0; ///< At the platform's rate.
    timestamp m_orders_refilled_at{0};
    std::int64_t m_announcement_lease = 0;
    timestamp m_announcement_granted_at{0};
    std::uint64_t m_announcements = 0;
    std::set<std::string> m_recent; ///< Machines that another holder may have ordered within the quiet time.
    bool m_recent_known = false;    ///< The other holder's announcements were read.

    std::map<std::int64_t, wave> m_waves;
    std::set<std::string> m_asked_empty; ///< VMs that their owners were asked to empty in the last round.
    jobs::evacuation_list m_clear;       ///< VMs that their owners are to keep empty.
    std::map<std::string, pending_move> m_moves; ///< By machine.
    jobs::balance_state m_memory;
    std::size_t m_unwanted_machines = 0; ///< As of the last plan.
    bool m_stopped = false;
    lifetime m_lifetime;
};

} // namespace siskinpaddle::node
