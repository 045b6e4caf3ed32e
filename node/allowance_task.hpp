#pragma once

#include "jobs/jobs.hpp"
#include "platform/platform.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace siskinpaddle::node {

/// Reads and writes one pool's allowances of the accounts' limits in the store. Not thread-safe.
class allowance_task {
  public:
    struct handlers {
        /// Returns the condition under which this node owns the pool.
        std::function<platform::store_condition()> owner_condition;
        std::function<void()> changed; ///< Ceilings have changed.
        /// Another node owns the pool, as the answer to a write under this fencing token shows.
        std::function<void(std::int64_t token)> ownership_lost;
    };

    allowance_task(event_loop& loop, platform::store_client& store, std::string pool, handlers on_event);

    /// Reads all allowances; calls `done` once they are read. Called once, before any other function.
    void load(std::function<void()> done);
    /// `pools`: number of pools among which limits are divided.
    void configure(const jobs::fleet_configuration& configuration, std::size_t pools);
    /// Sends the writes that adapt the allowances to the demand.
    void update(const std::map<std::string, jobs::account_demand>& demand, timestamp now);

    [[nodiscard]] const jobs::pool_allowances& allowances() const noexcept { return m_allowances; }

  private:
    void read_page(const std::string& after);
    void apply_page(const platform::store_answer& answer, const std::string& after);
    void write(const std::vector<jobs::allowance_write>& writes);
    void on_written(const std::vector<jobs::allowance_write>& writes, std::int64_t token,
                    const platform::store_answer& answer);
    void log_stored(const jobs::allowance_write& item) const;
    void refresh_if_limited(timestamp now);

    platform::store_client& m_store;
    std::string m_pool;
    handlers m_handlers;
    jobs::demand_allowance_policy m_policy;
    jobs::pool_allowances m_allowances;
    std::function<void()> m_on_loaded;
    std::unique_ptr<timer> m_retry_timer;
    std::string m_retry_after; ///< Where a failed listing continues.
    bool m_reading = false;
    timestamp m_refreshed_at{0};
    lifetime m_lifetime;
};

} // namespace siskinpaddle::node
