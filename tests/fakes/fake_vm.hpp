#pragma once

#include "net/net.hpp"
#include "trial/trial.hpp"

#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace siskinpaddle::fakes {

/// Settings of a fake VM.
struct fake_vm_settings {
    std::string id;
    std::string availability_zone = "a";
    std::string rack = "r1";
    endpoint target;
    std::uint16_t agent_port = 0;
    endpoint platform;
    std::size_t slots = 8;
    milliseconds reboot_time{800};
    milliseconds service_time{20};
    std::uint32_t cores = 32;
    std::uint32_t memory_mb = 64'000;
    std::string log_path; ///< File for lines "run ID POOL", "end ID POOL", "cut ID POOL"; empty: no log.
    bool fail_tasks = false;
};

/// Fake of one VM: a target that runs requests in slots, a worker that runs tasks under leases, and a poller
/// that reboots the VM for a pool when the platform orders it. Requests beyond the number of slots get status
/// 503 with the header Target-Refusal.
class fake_vm {
  public:
    fake_vm(event_loop& loop, fake_vm_settings settings);

    /// Returns false when a port can't be bound.
    [[nodiscard]] bool start();

    /// If set, handles requests in place of the slots.
    std::function<void(std::shared_ptr<server_request>)> on_request;

    [[nodiscard]] const std::map<std::string, int>& runs() const noexcept { return m_runs; }
    [[nodiscard]] const std::string& pool() const noexcept { return m_pool; }

  private:
    struct active_request {
        std::shared_ptr<server_request> request;
        std::string id;
        std::unique_ptr<timer> done_timer;
    };
    struct task {
        std::uint32_t epoch = 0;
        task_state state = task_state::running;
        timestamp ends_at{0};
        timestamp lease_until{0};
        job_size used;
    };

    [[nodiscard]] bool open_servers();
    void handle_request(const std::shared_ptr<server_request>& request);
    void handle_task_calls(const std::shared_ptr<server_request>& request);
    [[nodiscard]] task_report apply(const task_call& call, milliseconds lease);
    void poll();
    void reboot(const std::string& operation, const std::string& pool);
    void log(std::string_view event, const std::string& id);

    event_loop& m_loop;
    fake_vm_settings m_settings;
    std::string m_pool;
    std::uint64_t m_boot = 1;
    std::string m_done_operation;
    bool m_rebooting = false;
    std::list<active_request> m_active_requests;
    std::map<std::string, int> m_runs;
    std::map<std::string, task> m_tasks;
    std::unique_ptr<http_server> m_target;
    std::unique_ptr<http_server> m_agent;
    http_client m_client;
    std::ofstream m_log;
    std::unique_ptr<timer> m_poll_timer;
    std::unique_ptr<timer> m_reboot_timer;
    lifetime m_lifetime;
};

} // namespace siskinpaddle::fakes
