#pragma once

#include "net/net.hpp"
#include "trial/task_protocol.hpp"

#include <functional>

namespace siskinpaddle {

/// Calls the task agents of workers: one call per VM carries all its tasks, starts, renews and stops them.
class worker_client {
  public:
    worker_client(event_loop& loop, std::string caller) : m_caller(std::move(caller)), m_client(loop) {}

    using callback = std::function<void(exchange_status, worker_answer)>;

    /// Every `run` task that stands in `calls` has its lease renewed for `lease` from the call's arrival.
    /// Repeating a call is harmless: tasks are known by job and epoch.
    void sync(const endpoint& agent, const std::vector<task_call>& calls, milliseconds lease, callback done);

    [[nodiscard]] std::uint64_t transferred_bytes() const noexcept {
        return m_client.bytes_sent() + m_client.bytes_received();
    }

  private:
    std::string m_caller;
    http_client m_client;
};

} // namespace siskinpaddle
