#pragma once

#include "fakes/platform_store.hpp"
#include "fakes/task_vm.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinpaddle::fakes {

/// What a VM had room for from a moment on.
struct vm_capacity {
    std::string vm;
    timestamp valid_from{0};
    std::int64_t cpu_millicores = 0;
};

/// A run with the life of a VM that had it.
struct vm_run {
    std::string vm;
    task_vm::run_record run;
};

/// Stand-in of a machine: one life of a VM after the other, at the same address, each registered in the
/// store. A life ends when it is crashed or when a task crashes it; the next one begins after the down time.
class task_machine {
  public:
    struct settings {
        std::string name;
        std::string pool = "p";
        milliseconds run_time{100};
        milliseconds down_time{300};
        double clock_rate = 1;
    };

    task_machine(event_loop& loop, platform_store& store, settings options);

    /// Begins the first life. Returns false if it can't listen.
    [[nodiscard]] bool start();
    /// Ends the present life, if there is one.
    void crash();
    /// Its VM's capacity from now on, in later lives, too, as it says itself.
    void set_capacity(const jobs::resources& capacity);
    /// Its VM says that it will leave; crash() is its leaving.
    void drain();
    /// No life begins while it is held down. Calls with `true` and `false` pair up.
    void block_restart(bool enabled);
    /// From now on its VMs register under this port; for one that is reached through a proxy.
    void set_registered_port(std::uint16_t port) { m_registered_port = port; }
    /// Called with the address of each new life before it is registered.
    void on_incarnation_start(std::function<void(endpoint)> handler) {
        m_on_incarnation_start = std::move(handler);
    }
    /// Removes entries of lives that have been silent for three heartbeats; call often.
    void remove_expired_registrations();

    /// Null while it is down.
    [[nodiscard]] task_vm* vm() const noexcept { return m_vm.get(); }
    [[nodiscard]] std::uint32_t incarnation_count() const noexcept { return m_incarnation_count; }
    /// All runs of all lives. Those that a crash ended have `how` "crashed".
    [[nodiscard]] std::vector<vm_run> runs() const;
    /// All capacities of all lives, in the order of time.
    [[nodiscard]] const std::vector<vm_capacity>& capacities() const noexcept { return m_capacities; }

  private:
    void start_incarnation();
    void register_vm();

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
    std::uint32_t m_restart_blocks = 0;
    bool m_listen_failed = false; ///< It could not listen.
    std::vector<vm_run> m_past_runs;
    std::vector<vm_capacity> m_capacities;
    std::map<std::string, timestamp> m_delist_at;
};

} // namespace siskinpaddle::fakes
