#pragma once

#include "net/net.hpp"
#include "policy/policy.hpp"

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace siskinpaddle::fakes {

/// Fault that the fake applies to calls.
enum class injected_fault : std::uint8_t {
    none,
    down,         ///< Refuses every call with 503 and applies nothing.
    unresponsive, ///< Never answers and applies nothing.
    slow,         ///< Handles and answers calls after a delay.
    lose_answer   ///< Applies writes without answering them.
};

} // namespace siskinpaddle::fakes

template <>
inline constexpr std::array siskinpaddle::enum_names<siskinpaddle::fakes::injected_fault>{
    std::pair{siskinpaddle::fakes::injected_fault::none, std::string_view("none")},
    std::pair{siskinpaddle::fakes::injected_fault::down, std::string_view("down")},
    std::pair{siskinpaddle::fakes::injected_fault::unresponsive, std::string_view("cut")},
    std::pair{siskinpaddle::fakes::injected_fault::slow, std::string_view("slow")},
    std::pair{siskinpaddle::fakes::injected_fault::lose_answer, std::string_view("lose-answer")}};

namespace siskinpaddle::fakes {

/// Numbers of calls and bytes of one caller.
struct caller_usage {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t bytes = 0;
};

/// Fake of the platform with the protocol in docs/PLATFORM.md: keys with versions, compare-and-swap, leases,
/// watches, a VM list that lags, and reboots. One per test or process; keeps its data in memory.
class fake_platform {
  public:
    fake_platform(event_loop& loop, milliseconds list_lag);

    [[nodiscard]] bool listen(const endpoint& where) { return m_server.listen(where); }
    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }

    /// Sets the fault for one caller, or, if the name is empty, for all callers without a fault of their own.
    /// A non-negative `next_writes` limits the fault to that many writes.
    void set_fault(const std::string& caller, injected_fault kind, milliseconds delay = milliseconds{0},
                   int next_writes = -1);

    [[nodiscard]] const std::map<std::string, caller_usage>& usage() const noexcept { return m_usage; }

    /// Lists `count` VMs that stay alive and reboot immediately, all with the address of one target. For
    /// benchmarks of the control plane.
    void add_static_vms(int count, const endpoint& target);

    /// Stored value of the key; empty if there is none.
    [[nodiscard]] std::string value(const std::string& key) const;
    void put(const std::string& key, std::string bytes);
    /// Writes an older value with a new version, like a store that is restored from a backup.
    void restore(const std::string& key, std::string bytes) { put(key, std::move(bytes)); }

  private:
    using request_ptr = std::shared_ptr<server_request>;

    struct item {
        std::uint64_t version = 0;
        std::string bytes;
        timestamp expires{0};
    };
    struct lease {
        std::string holder;
        std::uint64_t term = 0;
        timestamp until{0};
    };
    struct watcher {
        request_ptr request;
        std::string key;
        std::uint64_t after = 0;
        timestamp until{0};
    };
    struct vm {
        listed_vm listed;
        timestamp alive_until{0};
        timestamp listed_from{0};
        std::string order_pool;
        std::string order_operation;
        std::string done_operation;
        bool is_static = false;
    };
    struct fault_state {
        injected_fault kind = injected_fault::none;
        milliseconds delay{0};
        int writes_left = -1;
    };

    void receive_request(const request_ptr& request);
    void handle(const request_ptr& request);
    [[nodiscard]] bool apply_fault(const request_ptr& request);
    void handle_kv(const request_ptr& request, const std::string& key);
    void handle_put(const request_ptr& request, const std::string& key);
    void handle_lease(const request_ptr& request, const std::string& name);
    void handle_vms(const request_ptr& request);
    void handle_reboot(const request_ptr& request, const std::string& id);
    void handle_vm_poll(const request_ptr& request, const std::string& id);
    void handle_control(const request_ptr& request);
    void reply(const request_ptr& request, int code, std::string_view body = {}, std::uint64_t version = 0);
    void notify(const std::string& key);
    void tick();
    caller_usage& usage_of(const server_request& request);

    event_loop& m_loop;
    milliseconds m_list_lag;
    http_server m_server;
    std::uint64_t m_version = 0;
    std::map<std::string, item> m_items;
    std::map<std::string, lease> m_leases;
    std::list<watcher> m_watchers;
    std::map<std::string, vm> m_vms;
    std::map<std::string, fault_state> m_faults;
    std::map<std::string, caller_usage> m_usage;
    std::vector<request_ptr> m_unanswered;
    std::list<std::unique_ptr<timer>> m_delays;
    std::unique_ptr<timer> m_timer;
};

} // namespace siskinpaddle::fakes
