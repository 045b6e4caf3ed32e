#pragma once

#include "net/net.hpp"

#include <boost/json.hpp>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace siskinpaddle::fakes {

/// Stand-in of the users' key-value store, over real sockets: items with revisions, transactions under
/// conditions, watches, leases, and the troubles that it may have. One per test; keeps everything in memory.
class platform_store {
  public:
    explicit platform_store(event_loop& loop);

    [[nodiscard]] bool listen(const endpoint& where) { return m_server.listen(where); }
    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }

    /// Writes an item as the operator or a VM would.
    void put(const std::string& key, const std::string& value, std::int64_t lease = 0);
    void remove(const std::string& key);
    [[nodiscard]] bool contains(const std::string& key) const { return m_items.contains(key); }
    [[nodiscard]] std::size_t count(const std::string& prefix) const;
    /// Revision of an item; 0: there is none.
    [[nodiscard]] std::int64_t revision_of(const std::string& key) const;
    /// Whether the item is there with this value.
    [[nodiscard]] bool has_value(const std::string& key, const std::string& value) const;

    /// Calls that have come so far for `path`, answered or not.
    [[nodiscard]] std::size_t call_count(const std::string& path) const;

    /// Answers nothing and does nothing.
    void set_silent(bool silent);
    /// Refuses every call with 503.
    void set_busy(bool busy) { m_busy = busy; }
    /// Carries the next so many transactions out without answering them.
    void lose_answers(int transactions) { m_lost_answers = transactions; }
    /// Carries the next so many transactions out seconds later, if their conditions still hold, without an
    /// answer.
    void delay_writes(int transactions) { m_late_writes = transactions; }
    /// Transactions that were refused since a condition did not hold.
    [[nodiscard]] std::size_t conflicts() const noexcept { return m_conflicts; }
    /// Transactions that are still to be carried out late.
    [[nodiscard]] std::size_t pending_late_writes() const noexcept { return m_late_transactions.size(); }
    /// Answers no watch under `prefix`; empty: answers all.
    void hold_watches(std::string prefix) { m_held_watches = std::move(prefix); }
    /// Answers no watch whose answer holds an item under `prefix`, as if it were large and its link slow;
    /// empty: answers all.
    void hold_events(std::string prefix) { m_held_events = std::move(prefix); }
    /// Neither answers nor carries out transactions that change a key under `prefix`; empty: carries those
    /// out that were held, in the order in which they came, and holds no more.
    void hold_writes(const std::string& prefix);
    /// Calls back after each change, before anybody hears of it.
    void on_change(std::function<void(const std::string& key)> handler) { m_on_change = std::move(handler); }
    /// Forgets its history: watches of older revisions are told so.
    void compact() { m_compacted_revision = m_revision; }
    /// Lets all leases run out at once.
    void expire_leases();

  private:
    struct item {
        std::string value; ///< As it came: base64 text.
        std::int64_t revision = 0;
        std::int64_t lease = 0;
    };
    struct event {
        std::string key;
        std::int64_t revision = 0;
        bool deleted = false;
        std::string value;
        std::int64_t lease = 0;
    };
    struct pending_watch {
        std::shared_ptr<server_request> request;
        std::string prefix;
        std::int64_t after = 0;
        timestamp until{0};
    };
    using request_handle = std::shared_ptr<server_request>;

    void handle_request(const request_handle& request);
    void get(const request_handle& request);
    void range(const request_handle& request);
    void watch(const request_handle& request);
    void transact(const request_handle& request);
    void lease(const request_handle& request);
    [[nodiscard]] bool conditions_hold(const boost::json::object& body) const;
    [[nodiscard]] bool is_write_held(const boost::json::object& body) const;
    [[nodiscard]] boost::json::array present_items(const boost::json::object& body) const;
    void apply_transaction(const boost::json::object& body);
    void apply(const std::string& key, const item* value);
    void answer_watches();
    [[nodiscard]] bool has_held_event(const boost::json::array& events) const;
    [[nodiscard]] boost::json::array events_for(const pending_watch& watch) const;
    void tick();
    static void reply(const request_handle& request, int code, const boost::json::object& body);

    event_loop& m_loop;
    http_server m_server;
    std::unique_ptr<timer> m_timer;
    std::map<std::string, item, std::less<>> m_items;
    std::vector<event> m_events;
    std::list<pending_watch> m_watches;
    std::vector<request_handle> m_unanswered;
    std::map<std::string, std::size_t> m_calls;                          ///< By path.
    std::map<std::int64_t, std::pair<timestamp, milliseconds>> m_leases; ///< Until when, and for how long.
    std::int64_t m_revision = 0;
    std::int64_t m_compacted_revision = 0;
    std::int64_t m_next_lease = 1000;
    bool m_silent = false;
    bool m_busy = false;
    int m_lost_answers = 0;
    int m_late_writes = 0;
    std::size_t m_conflicts = 0;
    std::function<void(const std::string&)> m_on_change;
    std::string m_held_watches;
    std::string m_held_events;
    std::string m_held_write_prefix;
    std::vector<request_handle> m_held_writes;
    std::deque<std::pair<boost::json::object, timestamp>>
        m_late_transactions; ///< Transactions, and when they are due.
};

} // namespace siskinpaddle::fakes
