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

/// Fake of the key-value store with an HTTP server on a real socket: items with revisions, conditional
/// transactions, watches, leases, and injected faults. One per test; keeps its data in memory.
class platform_store {
  public:
    explicit platform_store(event_loop& loop);

    [[nodiscard]] bool listen(const endpoint& where) { return m_server.listen(where); }
    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }

    /// Opens another listener, for callers that the store can turn away while it serves the others. Returns
    /// its port; 0 if it can't listen.
    [[nodiscard]] std::uint16_t open_second_port();
    /// While set, refuses every call to the second port with 503.
    void set_second_port_busy(bool busy) { m_second_port_busy = busy; }

    /// Writes an item, like an operator or a VM. `lease` 0: no lease.
    void put(const std::string& key, const std::string& value, std::int64_t lease = 0);
    void remove(const std::string& key);
    [[nodiscard]] bool contains(const std::string& key) const { return m_items.contains(key); }
    [[nodiscard]] std::size_t count(const std::string& prefix) const;
    /// Revision of an item; 0 if there is no such item.
    [[nodiscard]] std::int64_t revision_of(const std::string& key) const;
    /// Whether the item exists with this value.
    [[nodiscard]] bool has_value(const std::string& key, const std::string& value) const;

    /// Number of calls received so far for `path`, answered or not.
    [[nodiscard]] std::size_t call_count(const std::string& path) const;

    /// While set, neither answers nor executes calls.
    void set_silent(bool silent);
    /// While set, refuses every call with 503.
    void set_busy(bool busy) { m_busy = busy; }
    /// Executes the next `transactions` transactions without answering them.
    void lose_answers(int transactions) { m_lost_answers = transactions; }
    /// Executes the next `transactions` transactions seconds later, if their conditions hold then, without
    /// answering them.
    void delay_writes(int transactions) { m_late_writes = transactions; }
    /// Number of transactions refused because a condition did not hold.
    [[nodiscard]] std::size_t conflicts() const noexcept { return m_conflicts; }
    /// Number of delayed transactions that are still pending.
    [[nodiscard]] std::size_t pending_late_writes() const noexcept { return m_late_transactions.size(); }
    /// Holds the answers of watches under `prefix`; empty: answers all watches.
    void hold_watches(std::string prefix) { m_held_watches = std::move(prefix); }
    /// Holds the answers of watches that contain an event under `prefix`, like a large answer over a slow
    /// link; empty: answers all watches.
    void hold_events(std::string prefix) { m_held_events = std::move(prefix); }
    /// Neither answers nor executes transactions that change a key under `prefix`. An empty prefix executes
    /// the held transactions in the order of their arrival and ends the fault.
    void hold_writes(const std::string& prefix);
    /// Number of transactions that are held.
    [[nodiscard]] std::size_t held_writes() const noexcept { return m_held_writes.size(); }
    /// Sets a handler that is called after each change, before watches are answered.
    void on_change(std::function<void(const std::string& key)> handler) { m_on_change = std::move(handler); }
    /// Discards the history: watches from older revisions are refused with 410.
    void compact() { m_compacted_revision = m_revision; }
    /// Expires all leases immediately.
    void expire_leases();

  private:
    struct item {
        std::string value; ///< Base64 text, as received.
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
    std::unique_ptr<http_server> m_second_server;
    bool m_second_port_busy = false;
    std::unique_ptr<timer> m_timer;
    std::map<std::string, item, std::less<>> m_items;
    std::vector<event> m_events;
    std::list<pending_watch> m_watches;
    std::vector<request_handle> m_unanswered;
    std::map<std::string, std::size_t> m_calls;                          ///< Number of calls by path.
    std::map<std::int64_t, std::pair<timestamp, milliseconds>> m_leases; ///< Expiry time and TTL, by lease.
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
        m_late_transactions; ///< Delayed transactions and their due times.
};

} // namespace siskinpaddle::fakes
