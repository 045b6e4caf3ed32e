#pragma once

#include "platform/platform.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace siskinpaddle::node {

/// Keeps a copy of all items under one prefix of the store, by one listing and then watches. A watch that
/// fails goes on from the same revision; where the history is gone, the items are listed anew and the
/// differences told as changes, so that nothing is missed.
class watch_task {
  public:
    /// Called for each change: an item as it is now, or one that was removed (`deleted`).
    using change_handler = std::function<void(const platform::store_item&)>;

    /// `wait`: how long a watch waits for a change. `pause`: between two watches, where what changes all the
    /// time need not be known at once, since each watch is a call that the platform counts.
    watch_task(event_loop& loop, platform::store_client& store, std::string prefix, milliseconds wait,
               change_handler on_change, milliseconds pause = milliseconds(0));

    /// Begins with a listing; `on_ready` is called once, when the first one is complete.
    void start(std::function<void()> on_ready = {});
    void stop() { m_running = false; }

    /// From the next watch on.
    void set_pause(milliseconds pause) noexcept { m_pause = pause; }

    [[nodiscard]] std::int64_t revision() const noexcept { return m_revision; }
    /// The copy holds every change up to this moment, by our own clock; 0 before the first listing. Counted
    /// from when a call was sent, not from when its answer was read: on a busy node answers lie unread for a
    /// while.
    [[nodiscard]] timestamp complete_until() const noexcept { return m_complete_until; }
    [[nodiscard]] const std::map<std::string, platform::store_item>& items() const noexcept {
        return m_items;
    }

    /// Lists anew at once, e.g. because a peer knows of something newer. A listing that has just begun serves
    /// for this one too.
    void refresh();

  private:
    void begin_listing();
    void list(const std::string& after, std::uint64_t round);
    void apply_page(const platform::store_answer& answer, std::uint64_t round);
    void finish_listing();
    void watch(std::uint64_t round);
    void apply_events(const platform::store_answer& answer, std::uint64_t round);
    void apply(const platform::store_item& item);
    void retry_after_failure(platform::store_status status, std::function<void()> action);
    void record_success();
    void schedule(milliseconds pause, std::function<void()> action);

    event_loop& m_loop;
    platform::store_client& m_store;
    std::string m_prefix;
    milliseconds m_wait;
    milliseconds m_pause;
    change_handler m_on_change;
    std::function<void()> m_on_ready;
    std::map<std::string, platform::store_item> m_items;
    std::map<std::string, platform::store_item> m_listing;
    std::int64_t m_listing_revision = 0;
    std::int64_t m_revision = 0;
    std::uint64_t m_round = 0; ///< Answers to calls of an earlier round are ignored.
    bool m_running = false;
    int m_failures = 0;
    timestamp m_failing_since{0};
    bool m_is_listing = false;
    timestamp m_listing_begun_at{0};
    timestamp m_page_sent_at{0};  ///< Of the listing's first page.
    timestamp m_watch_sent_at{0}; ///< Of the latest watch.
    timestamp m_complete_until{0};
    std::optional<std::uint64_t> m_pending_watch; ///< The call that waits for a change.
    std::unique_ptr<timer> m_retry_timer;
    std::function<void()> m_retry_action;
    lifetime m_lifetime;
};

} // namespace siskinpaddle::node
