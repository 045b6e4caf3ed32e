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
    /// A peer has this version in force; reads anew if it is newer than ours and our own watch does not bring
    /// it within a while.
    void record_peer_version(std::int64_t version);

    [[nodiscard]] const jobs::fleet_configuration& current() const noexcept { return m_current; }
    [[nodiscard]] bool is_loaded() const noexcept { return m_current.version > 0; }
    [[nodiscard]] const std::map<std::int64_t, platform::maintenance_wave>& waves() const noexcept {
        return m_waves;
    }

  private:
    void apply_item(const platform::store_item& item);
    void apply_wave(const platform::store_item& item);
    void refresh_if_behind();

    std::function<void()> m_on_change;
    milliseconds m_catch_up_delay;
    std::unique_ptr<timer> m_catch_up_timer;
    std::int64_t m_newest_peer_version = 0; ///< Newest that a peer has named.
    bool m_catch_up_pending = false;        ///< A peer has named a newer version; the timer runs.
    jobs::fleet_configuration m_current;
    std::map<std::int64_t, platform::maintenance_wave> m_waves;
    watch_task m_watch;
};

} // namespace siskinpaddle::node
