#pragma once

#include "node/node_settings.hpp"
#include "node/watch_task.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace siskinpaddle::node {

/// How long a watch of the operator's entries waits for a change: as long as the copy stays recent enough for
/// a refusal, since every node watches and the platform counts each call. Pure; thread-safe.
[[nodiscard]] milliseconds configuration_watch_wait(const configuration_ages& ages) noexcept;

/// Follows the operator's entries in the store: the configuration, which never reverts to an older version
/// within one process, and the maintenance waves. Not thread-safe.
class configuration_task {
  public:
    configuration_task(event_loop& loop, platform::store_client& store, std::function<void()> on_change,
                       const configuration_ages& ages = {});

    void start() {
        m_watch.start([] {}); // The first listing is awaited: the node serves nothing without it.
    }
    /// Lists the entries again at once.
    void refresh() { m_watch.refresh(); }
    /// Records that a peer has this version in force. If the version is newer than the current one and the
    /// watch doesn't deliver it within a delay, the entries are listed again.
    void record_peer_version(std::int64_t version);

    [[nodiscard]] const jobs::fleet_configuration& current() const noexcept { return m_current; }
    /// How long ago the configuration in force was known to be the newest: since the store was asked for
    /// changes, not since it answered. Counts while the process is stopped.
    [[nodiscard]] milliseconds age(timestamp now) const noexcept {
        return m_newest_is_readable ? now - std::max(m_watch.confirmed_at(), m_compared_at)
                                    : milliseconds::max();
    }
    /// Whether a call may be refused because the configuration in force lacks its queue or key. Otherwise a
    /// newer version, which should be in force by now, may have added it.
    [[nodiscard]] bool is_confirmed(timestamp now) const noexcept {
        return m_newest_peer_version <= m_current.version && age(now) <= m_ages.max_refusal_age;
    }
    [[nodiscard]] jobs::configuration_freshness freshness(timestamp now) const noexcept {
        return {age(now), is_confirmed(now)};
    }
    /// Asks the store whether the configuration is the newest, reads it otherwise, and calls `done` when that
    /// is known or can't be found out soon. The caller checks is_confirmed() again then.
    void confirm(std::function<void()> done);
    /// The newest version that a peer has reported; may be older than the current one.
    [[nodiscard]] std::int64_t newest_peer_version() const noexcept { return m_newest_peer_version; }
    /// Number of bytes of an unfinished answer of the store that have arrived so far.
    [[nodiscard]] std::size_t arriving_bytes() const { return m_watch.arriving_bytes(); }
    [[nodiscard]] bool is_loaded() const noexcept { return m_current.version > 0; }
    [[nodiscard]] const std::map<std::int64_t, platform::maintenance_wave>& waves() const noexcept {
        return m_waves;
    }

  private:
    void apply_item(const platform::store_item& item);
    void apply_wave(const platform::store_item& item);
    void refresh_if_behind();
    void compare_with_store();
    void release_waiting();

    platform::store_client& m_store;
    std::function<void()> m_on_change;
    configuration_ages m_ages;
    milliseconds m_catch_up_delay;
    std::unique_ptr<timer> m_catch_up_timer;
    std::int64_t m_newest_peer_version = 0; ///< Newest version that a peer has reported.
    bool m_catch_up_pending = false;        ///< A peer has reported a newer version; the timer is running.
    bool m_newest_is_readable = true;
    std::vector<std::function<void()>> m_waiting; ///< Callbacks of confirm().
    std::unique_ptr<timer> m_confirm_timer;
    bool m_is_comparing = false;
    timestamp m_compared_at{0}; ///< When the latest answered comparison with the store was sent.
    jobs::fleet_configuration m_current;
    std::map<std::int64_t, platform::maintenance_wave> m_waves;
    watch_task m_watch;
    lifetime m_lifetime;
};

} // namespace siskinpaddle::node
