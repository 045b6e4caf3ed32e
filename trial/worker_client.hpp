#pragma once

#include "net/net.hpp"
#include "trial/task_protocol.hpp"

#include <functional>

namespace siskinpaddle {

/// Client of the workers' task agents: one call per VM carries all its tasks, and starts, renews or stops
/// them.
class worker_client {
  public:
    worker_client(event_loop& loop, std::string caller) : m_caller(std::move(caller)), m_client(loop) {}

    using callback = std::function<void(exchange_status, worker_answer)>;

    /// Renews the lease of every `run` task in `calls`; the new lease lasts for `lease` from the arrival of
    /// the call. A call may be repeated safely, because tasks are identified by job and epoch.
    void sync(const endpoint& agent, const std::vector<task_call>& calls, milliseconds lease, callback done);

    [[nodiscard]] std::uint64_t transferred_bytes() const noexcept {
        return m_client.bytes_sent() + m_client.bytes_received();
    }

  private:
    std::string m_caller;
    http_client m_client;
};

} // namespace siskinpaddle
