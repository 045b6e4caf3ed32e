#pragma once

#include "node/watch_task.hpp"

#include <functional>
#include <map>

namespace siskinpaddle::node {

/// Follows what the operator writes: the configuration, which never goes back to an older version within one
/// process, and the waves of upkeep.
class configuration_task {
  public:
    configuration_task(event_loop& loop, platform::store_client& store, std::function<void()> on_change);

    void start() { m_watch.start(); }
    /// Reads anew at once.
    void refresh() { m_watch.refresh(); }
    /// A peer has this version in force; reads anew if it is newer than ours.
    void heard_of(std::int64_t version);

    [[nodiscard]] const jobs::fleet_configuration& current() const noexcept { return m_current; }
    [[nodiscard]] bool known() const noexcept { return m_current.version > 0; }
    [[nodiscard]] const std::map<std::int64_t, platform::upkeep_wave>& waves() const noexcept {
        return m_waves;
    }

  private:
    void take(const platform::store_item& item);

    std::function<void()> m_on_change;
    jobs::fleet_configuration m_current;
    std::map<std::int64_t, platform::upkeep_wave> m_waves;
    watch_task m_watch;
};

} // namespace siskinpaddle::node
