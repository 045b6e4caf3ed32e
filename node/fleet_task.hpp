#pragma once

#include "node/configuration_task.hpp"
#include "node/membership_task.hpp"
#include "node/peer_client.hpp"
#include "node/pool_records.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace siskinpaddle::node {

/// Plans and sends orders about machines as the fleet's owner: carries out the operator's maintenance waves,
/// and moves machines between pools as demand changes. Only one node holds this duty, since a machine must
/// not receive orders from two owners alternately. Lives from gaining the duty until losing it. Not
/// thread-safe.
///
/// A round queries every pool's owner for its demand and sends it the VMs to keep empty, and plans by the
/// latest list of machines, which is renewed in the background (`list_interval`); a wave's rounds wait for a
/// list of their own. A VM is ordered away only after its pool's owner has answered that it keeps the VM
/// empty and that nothing runs there.
class fleet_task {
  public:
    /// Dependencies; all outlive the task.
    struct context {
        event_loop& loop;
        const node_settings& settings;
        platform::store_client& store;
        platform::machine_client& machines;
        membership_task& membership;
        configuration_task& configuration;
        const pool_records& records;
        /// Sends a request to a pool's owner, which may be this node.
        std::function<void(const peer_request&, peer_server::reply)> ask_pool;
    };

    fleet_task(context parts, const ownership& held);

    void start();
    void renew_token(const ownership& held) { m_ownership = held; }
    void stop() { m_stopped = true; }

  private:
    struct wave {
        jobs::wave_state state;
        bool loaded = false;
        bool reading = false;
        bool running_reported = false;
        bool completed = false;
    };
    /// A machine that was ordered into another pool and has not been seen up there yet.
    struct pending_move {
        std::string pool;
        std::string previous_vm;
        timestamp ordered_at{0};
    };
    /// A machine that the platform did not move. It is not ordered again before a later list shows it.
    struct refused_move {
        std::string kind;
        std::string pool;
        bool is_invalid = false; ///< The pool is for other kinds of machines, or the machine is gone.
        timestamp refused_at{0};
    };

    void run_round();
    void query_demands();
    void on_demand_answered(const std::string& pool, const std::set<std::string>& kept_empty,
                            std::uint64_t round, const peer_answer& answer);
    void finish_queries();
    [[nodiscard]] bool is_wave_running() const;
    [[nodiscard]] bool is_list_due() const;
    void list_machines();
    void on_machines_listed(const platform::machine_list& list);
    void update_machines(const platform::machine_list& list);
    void remove_finished_moves();
    void record_refused_kinds();
    void plan_round();
    void plan();
    void plan_waves();
    void plan_moves();
    void refill_order_budget();
    [[nodiscard]] std::vector<jobs::balance_machine> balance_view() const;
    [[nodiscard]] std::map<std::string, jobs::wave_machine> maintenance_view() const;
    [[nodiscard]] std::string spare_pool() const;
    [[nodiscard]] std::size_t count_arriving(const std::string& pool) const;

    void send_orders();
    void announce_orders(const std::vector<std::string>& machines, std::function<void(bool)> done);
    void write_announcement(const std::vector<std::string>& machines, const std::function<void(bool)>& done);
    void read_announcements();

    void load_wave(std::int64_t number);
    void on_wave_loaded(std::int64_t number, const platform::store_answer& answer);
    void plan_maintenance(wave& item, const std::string& machine);
    void order_maintenance(std::int64_t number, const std::string& machine);
    void on_maintenance_ordered(std::int64_t number, const std::string& machine,
                                platform::machine_outcome outcome);
    void record_wave(const jobs::wave_state& state);
    void plan_move(const jobs::machine_move& move);
    [[nodiscard]] std::map<std::string, jobs::pool_demand> recent_demands() const;
    void order_move(const jobs::machine_move& move);
    void on_move_ordered(const jobs::machine_move& move, const std::string& kind,
                         platform::machine_outcome outcome);
    void report_wave_status(std::int64_t number, bool completed);
    [[nodiscard]] bool may_order() const;

    context m_context;
    ownership m_ownership;
    std::unique_ptr<timer> m_timer;
    std::unique_ptr<timer> m_answers_timer;
    std::unique_ptr<timer> m_list_timer;

    std::uint64_t m_round = 0;
    timestamp m_round_started_at{0};
    std::set<std::string> m_unanswered; ///< Pools whose owners have not answered in this round.
    std::map<std::string, jobs::pool_demand> m_demands; ///< Answers of this round.
    struct latest_demand {
        jobs::pool_demand demand;
        timestamp received_at{0};
    };
    std::map<std::string, latest_demand> m_latest_demands; ///< Last answers, from any round.
    /// VMs on which nothing runs and which their pools' owners keep empty, as answered in this round.
    std::set<std::string> m_empty_vms;
    std::map<std::string, platform::machine_info> m_machines;
    timestamp m_listed_at{0}; ///< When the list that `m_machines` holds was begun.
    timestamp m_listing_began_at{0};
    bool m_is_listing = false;
    bool m_has_list = false;
    bool m_round_waits_for_list = false;
    /// An evacuation request is new: the next round can order its VM away.
    bool m_has_new_evacuation_request = false;

    /// An order that is planned and not yet announced.
    struct planned_order {
        std::string machine;
        std::function<void()> send;
        std::function<void()> cancel;
    };
    std::vector<planned_order> m_planned;
    double m_order_budget = 0; ///< Orders that the platform's rate allows now.
    timestamp m_orders_refilled_at{0};
    std::int64_t m_announcement_lease = 0;
    timestamp m_announcement_granted_at{0};
    std::uint64_t m_announcement_count = 0;
    /// Machines that another owner may have ordered within `min_order_interval`.
    std::set<std::string> m_recently_ordered;
    bool m_recently_ordered_known = false; ///< The other owner's announcements were read.

    std::map<std::int64_t, wave> m_waves;
    /// VMs that their pools' owners were asked to empty in the last round.
    std::set<std::string> m_vms_asked_to_evacuate;
    jobs::evacuation_list m_vms_to_evacuate;             ///< VMs that their pools' owners are to keep empty.
    std::map<std::string, pending_move> m_moves;         ///< By machine.
    std::map<std::string, refused_move> m_refused_moves; ///< By machine; since the latest list.
    jobs::balance_state m_balance_state;
    std::size_t m_unneeded_machines = 0; ///< Number of machines that no pool wanted in the last plan.
    bool m_stopped = false;
    lifetime m_lifetime;
};

} // namespace siskinpaddle::node
