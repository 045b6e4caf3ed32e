#include "node/watch_task.hpp"

#include "telemetry/telemetry.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// Delay before a failed call is repeated: short, since changes must be known within two seconds, and doubled
/// up to a limit, since the store counts each call.
constexpr milliseconds initial_retry_delay = 50ms;
constexpr milliseconds max_retry_delay = 400ms;
/// A listing that has run for this long may hang on an unresponsive connection; a refresh then starts another
/// one.
constexpr milliseconds listing_timeout = 1s;
/// The timeout is at least this many times the transfer time of a large value: over a narrow link, two
/// listings at once would compete for bandwidth and neither would complete.
constexpr int transfer_time_factor = 3;
/// From this receive time of an answer on, the large item may have changed again meanwhile.
constexpr milliseconds slow_transfer = 500ms;

} // namespace

watch_task::watch_task(event_loop& loop, platform::store_client& store, std::string prefix, milliseconds wait,
                       change_handler on_change, milliseconds pause)
    : m_loop(loop), m_store(store), m_prefix(std::move(prefix)), m_wait(wait), m_pause(pause),
      m_on_change(std::move(on_change)), m_retry_timer(loop.make_timer([this] {
          if (m_running && m_retry_action) {
              std::exchange(m_retry_action, {})();
          }
      })) {}

void watch_task::start(std::function<void()> on_ready) {
    m_on_ready = std::move(on_ready);
    m_running = true;
    refresh();
}

/// An answer that is arriving is left alone, however long it takes: over a narrow link, what has arrived of
/// it would be carried again. Its call ends by itself when no more arrives. Otherwise cancels the pending
/// watch on the wire as well: large values that are no longer needed would delay the listing.
void watch_task::refresh() {
    const milliseconds timeout =
        std::max(listing_timeout, transfer_time_factor * m_store.transfer_time(platform::large_value_bytes));
    if (arriving_bytes() > 0 || (m_is_listing && event_loop::now() - m_listing_started_at < timeout)) {
        return;
    }
    if (m_pending_watch) {
        m_store.cancel_watch(*std::exchange(m_pending_watch, std::nullopt));
    }
    if (m_items.contains(m_large_item)) {
        begin_partial_listing();
    } else {
        begin_listing();
    }
}

void watch_task::begin_listing() {
    m_is_listing = true;
    m_listing_started_at = event_loop::now();
    // A retry of the previous listing or watch would clear what this listing reads.
    m_retry_action = {};
    ++m_round;
    list({}, m_round);
}

void watch_task::begin_partial_listing() {
    m_is_listing = true;
    m_listing_started_at = event_loop::now();
    m_retry_action = {};
    ++m_round;
    reset_listing();
    m_is_partial_listing = true;
    read_page(m_large_item, m_round);
}

void watch_task::reset_listing() {
    m_listing.clear();
    m_listing_revision = 0;
    m_page_sent_at = event_loop::now();
    m_last_transfer = {};
    m_is_partial_listing = false;
}

void watch_task::record_success() {
    if (m_failing_since != timestamp(0)) {
        log_event(event_id::watch_resumed, {{"prefix", m_prefix},
                                            {"after_ms", (event_loop::now() - m_failing_since).count()},
                                            {"failures", m_failures},
                                            {"revision", m_revision}});
    }
    m_failures = 0;
    m_failing_since = timestamp(0);
}

void watch_task::retry_after_failure(platform::store_status status, std::function<void()> action) {
    if (m_failures == 0) {
        m_failing_since = event_loop::now();
        log_event(event_id::watch_failing, {{"prefix", m_prefix},
                                            {"outcome", platform::name_of(status)},
                                            {"revision", m_revision},
                                            {"listing", static_cast<int>(m_is_listing)}});
    }
    const milliseconds pause =
        std::min(max_retry_delay, initial_retry_delay * (1 << std::min(m_failures, 5)));
    ++m_failures;
    schedule(pause, std::move(action));
}

void watch_task::schedule(milliseconds pause, std::function<void()> action) {
    m_retry_action = std::move(action);
    m_retry_timer->start(pause);
}

void watch_task::list(const std::string& after, std::uint64_t round) {
    if (after.empty()) {
        reset_listing();
    }
    read_page(after, round);
}

void watch_task::read_page(const std::string& after, std::uint64_t round) {
    m_pending_page = m_store.range(
        m_prefix, after,
        [this, round, alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
            if (!alive.expired()) {
                apply_page(answer, round);
            }
        },
        m_on_ready ? platform::read_priority::awaited : platform::read_priority::background);
}

std::size_t watch_task::arriving_bytes() const {
    std::size_t bytes = 0;
    for (const std::optional<std::uint64_t>& call : {m_pending_watch, m_pending_page}) {
        bytes += call ? m_store.received_bytes(*call) : 0;
    }
    return bytes;
}

void watch_task::record_transfer(const platform::store_answer& answer) {
    m_last_transfer.bytes += answer.bytes;
    m_last_transfer.items += answer.items.size();
    m_last_transfer.receive_time += answer.receive_time;
}

void watch_task::apply_page(const platform::store_answer& answer, std::uint64_t round) {
    if (!m_running || round != m_round) {
        return;
    }
    if (answer.status != platform::store_status::ok) {
        retry_after_failure(answer.status, [this, round] { list({}, round); });
        return;
    }
    record_success();
    record_transfer(answer);
    if (m_listing_revision == 0) {
        // The pages are not a snapshot: changes during the listing appear in a watch from the first page's
        // revision.
        m_listing_revision = answer.revision;
    }
    std::string last;
    for (const platform::store_item& item : answer.items) {
        last = item.key;
        m_listing[item.key] = item;
    }
    if (answer.has_more && !last.empty()) {
        list(last, round);
        return;
    }
    if (m_is_partial_listing) {
        compare_large_item(round);
        return;
    }
    finish_listing();
    continue_watching(round);
}

void watch_task::compare_large_item(std::uint64_t round) {
    const platform::store_item known = m_items.at(m_large_item);
    m_pending_page = m_store.compare(
        m_large_item, known.revision,
        [this, known, round, alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
            if (alive.expired() || !m_running || round != m_round) {
                return;
            }
            if (answer.status == platform::store_status::ok) {
                m_listing[known.key] = known;
            } else if (answer.status != platform::store_status::conflict) {
                retry_after_failure(answer.status, [this, round] { list({}, round); });
                return;
            }
            record_transfer(answer);
            for (const platform::store_item& item : answer.items) {
                m_listing[item.key] = item;
            }
            finish_listing();
            continue_watching(round);
        });
}

void watch_task::finish_listing() {
    m_is_listing = false;
    m_complete_until = std::max(m_complete_until, m_page_sent_at);
    std::vector<platform::store_item> removed;
    for (const auto& [key, item] : m_items) {
        if (!m_listing.contains(key) && item.revision <= m_listing_revision) {
            platform::store_item gone = item;
            gone.deleted = true;
            gone.revision = m_listing_revision;
            removed.push_back(gone);
        }
    }
    m_revision = std::max(m_revision, m_listing_revision);
    const auto listing = std::exchange(m_listing, {});
    for (const platform::store_item& item : removed) {
        apply(item);
    }
    for (const auto& [key, item] : listing) {
        apply(item);
    }
    m_confirmed_at = std::max(m_confirmed_at, m_page_sent_at);
    if (m_on_ready) {
        std::exchange(m_on_ready, {})();
    }
}

void watch_task::apply(const platform::store_item& item) {
    const auto known = m_items.find(item.key);
    if (known != m_items.end() && known->second.revision >= item.revision) {
        return;
    }
    if (item.deleted) {
        if (known == m_items.end()) {
            return;
        }
        m_items.erase(known);
    } else {
        m_items[item.key] = item;
    }
    m_on_change(item);
}

void watch_task::watch(std::uint64_t round) {
    m_watch_sent_at = event_loop::now();
    m_pending_watch =
        m_store.watch(m_prefix, m_revision, m_wait,
                      [this, round, alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
                          if (!alive.expired()) {
                              apply_events(answer, round);
                          }
                      });
}

void watch_task::apply_events(const platform::store_answer& answer, std::uint64_t round) {
    if (!m_running || round != m_round) {
        return;
    }
    m_pending_watch.reset();
    m_last_transfer = {};
    if (answer.status == platform::store_status::compacted) {
        begin_listing();
        return;
    }
    if (answer.status != platform::store_status::ok) {
        retry_after_failure(answer.status, [this, round] { watch(round); });
        return;
    }
    record_success();
    record_transfer(answer);
    apply_newest(answer.items);
    m_revision = std::max(m_revision, answer.revision);
    m_confirmed_at = std::max(m_confirmed_at, m_watch_sent_at);
    // A watch without changes is answered at the end of its wait; one with changes may have been answered at
    // any time since it was sent.
    const milliseconds waited = answer.items.empty() ? m_wait : milliseconds(0);
    m_complete_until = std::max(m_complete_until, std::min(event_loop::now(), m_watch_sent_at + waited));
    if (!m_running || round != m_round) {
        return;
    }
    if (m_pause.count() > 0 && !answer.items.empty()) {
        schedule(m_pause, [this, round] { watch(round); });
    } else {
        continue_watching(round);
    }
}

void watch_task::continue_watching(std::uint64_t round) {
    if (m_last_transfer.receive_time >= slow_transfer && m_items.contains(m_large_item)) {
        begin_partial_listing();
    } else {
        watch(round);
    }
}

/// Skips the states of the large item that a later one in the same answer replaces: an answer may hold tens
/// of configurations, of which each takes tens of milliseconds to decode.
void watch_task::apply_newest(const std::vector<platform::store_item>& items) {
    std::int64_t newest_large = 0;
    for (const platform::store_item& item : items) {
        if (item.key == m_large_item) {
            newest_large = std::max(newest_large, item.revision);
        }
    }
    for (const platform::store_item& item : items) {
        if (item.key != m_large_item || item.revision == newest_large) {
            apply(item);
        }
    }
}

} // namespace siskinpaddle::node
