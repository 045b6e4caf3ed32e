#pragma once

#include "fakes/platform_store.hpp"
#include "fakes/task_vm.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinpaddle::fakes {

/// Capacity that a VM reported from a point in time on.
struct vm_capacity {
    std::string vm;
    timestamp valid_from{0};
    std::int64_t cpu_millicores = 0;
};

/// A run with the incarnation of the VM that executed it.
struct vm_run {
    std::string vm;
    task_vm::run_record run;
};

/// Fake of a machine: runs successive incarnations of a VM at the same address and registers each in the
/// store. An incarnation ends by crash() or when a task crashes the VM; the next one starts after the down
/// time, under another id or under the same one.
class task_machine {
  public:
    /// Clock of a VM that has run for longer than any test, when it reports its start.
    static constexpr std::int64_t first_clock_ms = 500'000;

    struct settings {
        std::string name;
        std::string pool = "p";
        milliseconds run_time{100};
        milliseconds down_time{300};
        double clock_rate = 1;
        /// All incarnations have the machine's name as their id, and report when they started.
        bool keeps_id = false;
        /// Where the clock of each incarnation but the first begins, if they keep the id. That of the first
        /// begins at `first_clock_ms`.
        std::int64_t restart_clock_ms = 0;
        milliseconds max_lease = task_vm::default_max_lease;
    };

    task_machine(event_loop& loop, platform_store& store, settings options);

    /// Starts the first incarnation. Returns false if the VM can't listen.
    [[nodiscard]] bool start();
    /// Ends the current incarnation, if any.
    void crash();
    /// Ends the current incarnation and starts the next one at once.
    void restart();
    /// Sets the capacity that the VM reports, in this and later incarnations.
    void set_capacity(const jobs::resources& capacity);
    /// Makes the VM report that it drains. crash() then ends the incarnation.
    void drain();
    /// Prevents the start of an incarnation while enabled. Calls nest: each `true` needs one `false`.
    void block_restart(bool enabled);
    /// Sets the port that later registrations contain, for a VM that is reached through a proxy.
    void set_registered_port(std::uint16_t port) { m_registered_port = port; }
    /// Sets a handler that is called with the address of each new incarnation before its registration.
    void on_incarnation_start(std::function<void(endpoint)> handler) {
        m_on_incarnation_start = std::move(handler);
    }
    /// Removes registrations of incarnations that ended three heartbeats ago. Must be called regularly.
    void remove_expired_registrations();

    /// Current incarnation; null while the machine is down.
    [[nodiscard]] task_vm* vm() const noexcept { return m_vm.get(); }
    [[nodiscard]] std::uint32_t incarnation_count() const noexcept { return m_incarnation_count; }
    /// Changes how long the machine is down after the following crashes.
    void set_down_time(milliseconds time) { m_settings.down_time = time; }
    /// Runs of all incarnations. Runs ended by a crash have the outcome "crashed".
    [[nodiscard]] std::vector<vm_run> runs() const;
    /// Reported capacities of all incarnations, in chronological order.
    [[nodiscard]] const std::vector<vm_capacity>& capacities() const noexcept { return m_capacities; }

  private:
    void start_incarnation();
    void register_vm();
    /// Name of the current incarnation in the records, also where incarnations share an id.
    [[nodiscard]] std::string record_name() const;

    event_loop& m_loop;
    platform_store& m_store;
    settings m_settings;
    std::unique_ptr<task_vm> m_vm;
    std::unique_ptr<timer> m_crash_timer;
    std::unique_ptr<timer> m_restart_timer;
    std::function<void(endpoint)> m_on_incarnation_start;
    std::optional<std::uint16_t> m_registered_port;
    std::uint16_t m_port = 0;
    jobs::resources m_capacity{4000, 8192, 0};
    std::uint32_t m_incarnation_count = 0;
    std::int64_t m_started_ms = 0; ///< Start of the current incarnation; 0 if it has an id of its own.
    std::list<task_vm::late_call> m_late_calls;
    std::uint32_t m_restart_blocks = 0;
    bool m_listen_failed = false; ///< The VM could not listen.
    std::vector<vm_run> m_past_runs;
    std::vector<vm_capacity> m_capacities;
    std::map<std::string, timestamp> m_delist_at;
};

} // namespace siskinpaddle::fakes
