#pragma once

#include "platform/platform.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace siskinpaddle::node {

/// Keeps a copy of all items under one prefix of the store, by one listing and then watches. A failed watch
/// is repeated from the same revision. If the history since that revision is gone, the items are listed again
/// and the differences are reported as changes, so that no change is missed.
class watch_task {
  public:
    /// Called for each change with the item's current state, or with a removed item (`deleted`).
    using change_handler = std::function<void(const platform::store_item&)>;

    /// `wait`: how long a watch waits for a change. `pause`: delay between two watches, for items that change
    /// continuously and need not be known at once, since each watch is a call that the platform counts.
    watch_task(event_loop& loop, platform::store_client& store, std::string prefix, milliseconds wait,
               change_handler on_change, milliseconds pause = milliseconds(0));

    /// Starts with a listing; `on_ready` is called once, when the first listing is complete. With `on_ready`,
    /// that listing is awaited and may use the whole link.
    void start(std::function<void()> on_ready = {});
    void stop() { m_running = false; }

    /// Names the item that may be large. Precondition: it is the first item under the prefix. After an answer
    /// that took long to arrive, the item's newest state is read: a watch would return all of its states
    /// since then, one after the other.
    void set_large_item(std::string key) { m_large_item = std::move(key); }
    /// Takes effect from the next watch on.
    void set_pause(milliseconds pause) noexcept { m_pause = pause; }

    [[nodiscard]] std::int64_t revision() const noexcept { return m_revision; }
    /// The copy holds every change up to this time, by this node's clock; 0 before the first listing. Derived
    /// from when a call was sent, not from when its answer was read: on a busy node answers stay unread for a
    /// while.
    [[nodiscard]] timestamp complete_until() const noexcept { return m_complete_until; }
    /// When the latest call that the store answered was sent; the copy holds every change up to then. Unlike
    /// complete_until(), this does not rely on a watch to report changes until the end of its wait: a store
    /// that compacts its history reports none for a while.
    [[nodiscard]] timestamp confirmed_at() const noexcept { return m_confirmed_at; }
    [[nodiscard]] const std::map<std::string, platform::store_item>& items() const noexcept {
        return m_items;
    }

    /// Size of the latest answers: all pages of a listing, or one watch.
    struct transfer {
        std::size_t bytes = 0;
        std::size_t items = 0; ///< Includes earlier states of an item that has changed several times.
        milliseconds receive_time{0};
    };
    [[nodiscard]] const transfer& last_transfer() const noexcept { return m_last_transfer; }
    /// Number of bytes of an unfinished answer that have arrived so far.
    [[nodiscard]] std::size_t arriving_bytes() const;

    /// Takes over an item's state that was read elsewhere, unless the copy holds a newer one.
    void apply(const platform::store_item& item);

    /// Lists the items again at once, e.g. because a peer reports a newer version. A listing that has just
    /// begun, or an answer that is arriving, is used instead.
    void refresh();

  private:
    void begin_listing();
    /// Lists all items but the large one, which is read only if it has changed.
    void begin_partial_listing();
    void reset_listing();
    void list(const std::string& after, std::uint64_t round);
    void read_page(const std::string& after, std::uint64_t round);
    void apply_page(const platform::store_answer& answer, std::uint64_t round);
    void compare_large_item(std::uint64_t round);
    void finish_listing();
    void watch(std::uint64_t round);
    /// Watches on, or reads the large item's newest state first.
    void continue_watching(std::uint64_t round);
    void apply_newest(const std::vector<platform::store_item>& items);
    void apply_events(const platform::store_answer& answer, std::uint64_t round);
    void retry_after_failure(platform::store_status status, std::function<void()> action);
    void record_success();
    void record_transfer(const platform::store_answer& answer);
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
    std::uint64_t m_round = 0; ///< Answers to calls of a previous round are ignored.
    bool m_running = false;
    int m_failures = 0;
    timestamp m_failing_since{0};
    std::string m_large_item; ///< Empty: there is none.
    bool m_is_listing = false;
    bool m_is_partial_listing = false;
    timestamp m_listing_started_at{0};
    timestamp m_page_sent_at{0};  ///< When the first page of the listing was requested.
    timestamp m_watch_sent_at{0}; ///< When the latest watch was sent.
    timestamp m_complete_until{0};
    timestamp m_confirmed_at{0};
    std::optional<std::uint64_t> m_pending_watch; ///< The watch call that waits for a change.
    std::optional<std::uint64_t> m_pending_page;  ///< The call for a page of the listing.
    transfer m_last_transfer;
    std::unique_ptr<timer> m_retry_timer;
    std::function<void()> m_retry_action;
    lifetime m_lifetime;
};

} // namespace siskinpaddle::node
