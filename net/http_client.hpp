#pragma once

#include "net/byte_counts.hpp"
#include "net/event_loop.hpp"
#include "net/http_types.hpp"
#include "net/read_limit.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace siskinpaddle {

/// How an HTTP exchange ended.
enum class exchange_status : std::uint8_t {
    answered,       ///< A complete answer was received.
    connect_failed, ///< No byte of the request left this process.
    reset,          ///< The connection ended after bytes may have been sent, before a complete answer.
    timed_out,      ///< The timeout expired after bytes may have been sent.
    incomplete,     ///< An answer came whose end can't be distinguished from a broken connection.
    too_large       ///< The answer exceeds the client's size limit.
};

template <>
inline constexpr std::array enum_names<exchange_status>{
    std::pair{exchange_status::answered, std::string_view("answered")},
    std::pair{exchange_status::connect_failed, std::string_view("connect-failed")},
    std::pair{exchange_status::reset, std::string_view("reset")},
    std::pair{exchange_status::timed_out, std::string_view("timed-out")},
    std::pair{exchange_status::incomplete, std::string_view("incomplete")},
    std::pair{exchange_status::too_large, std::string_view("too-large")}};

struct http_call {
    /// What the call counts under in http_client::calls_by_purpose(); the number of different ones is to be
    /// small.
    std::string purpose;
    endpoint to;
    std::string method = "GET";
    std::string target = "/";
    http_headers headers;
    std::string body;
    milliseconds timeout{1000};
    /// Limit of the whole exchange while parts of the answer keep arriving; `timeout` then limits the pauses
    /// between the parts. Zero: the whole exchange has to end within `timeout`.
    milliseconds max_duration{0};
    /// Opens a new connection. The server may close a kept-alive connection just as the request is sent,
    /// which leaves it unknown whether the request was executed; a request that must not be executed twice
    /// can't be retried then.
    bool fresh_connection = false;
    /// The answer may be large and nothing waits for it: it is read within the client's limit.
    bool is_limited = false;
    /// Called when a part of the answer has arrived, with the number of bytes so far; may be empty.
    std::function<void(std::size_t)> on_progress;
};

struct http_answer {
    exchange_status status = exchange_status::connect_failed;
    bool refused = false; ///< With `connect_failed`: the port refused; no process listens there.
    int code = 0;
    http_headers headers;
    std::string body;
    milliseconds receive_time{0}; ///< From the first part of the answer to the last.
};

/// Limits of an HTTP client; sizes in bytes.
struct http_client_limits {
    std::size_t max_body = 1U << 20U;
    std::size_t max_headers = 32U << 10U;
    std::size_t max_idle_per_endpoint = 8;
    milliseconds max_idle_time = 2s;
    /// Rate at which the answers of limited calls are read together, in bytes per second; 0: no limit.
    std::size_t max_limited_read_rate = 0;
};

/// Sends HTTP requests, each on a connection that no other request uses meanwhile, and keeps some idle
/// connections for reuse. A call that times out closes the connections to its server that were idle before
/// the call. Never retries a request.
class http_client {
  public:
    http_client(event_loop& loop, http_client_limits limits = {});
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    using callback = std::function<void(http_answer)>;

    /// Starts the exchange. `done` is called exactly once from the loop, unless the exchange is cancelled or
    /// the client is destroyed first. Returns the call id for cancel().
    std::uint64_t send(http_call call, callback done);

    /// Ends an exchange without calling its callback. Ignores the id of an ended or unknown exchange.
    void cancel(std::uint64_t call_id);

    /// Number of bytes of the answer that have arrived so far; 0 for an ended or unknown exchange.
    [[nodiscard]] std::size_t received_bytes(std::uint64_t call_id) const;

    /// Changes the rate at which the answers of limited calls are read. No effect if the client has no limit.
    void set_limited_read_rate(std::size_t bytes_per_s) {
        if (m_read_limit != nullptr) {
            m_read_limit->set_rate(bytes_per_s);
        }
    }
    /// Part of traffic() that was received within the limit.
    [[nodiscard]] std::uint64_t limited_bytes_received() const noexcept { return m_limited_bytes_received; }

    [[nodiscard]] byte_counts traffic() const noexcept { return {m_bytes_sent, m_bytes_received}; }
    /// traffic() divided by the purposes of the calls, unfinished ones included.
    [[nodiscard]] const std::map<std::string, call_counts>& calls_by_purpose() const noexcept {
        return m_calls_by_purpose;
    }
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return m_bytes_sent; }
    [[nodiscard]] std::uint64_t bytes_received() const noexcept { return m_bytes_received; }

  private:
    class exchange;
    struct connection;

    std::unique_ptr<connection> acquire_connection(const endpoint& to, bool fresh);
    void return_connection(std::unique_ptr<connection> item);
    void finish(std::uint64_t call_id, http_answer answer, bool reusable);
    void close_idle_connections();
    /// Closes the connections to `to` that have carried nothing since `time`. When connections go silent
    /// without a reset, as behind a link that lost its state, all of them do: each would cost a call its
    /// timeout.
    void close_connections_idle_since(const endpoint& to, timestamp time);

    event_loop& m_loop;
    http_client_limits m_limits;
    std::unique_ptr<read_limit> m_read_limit; ///< Null: no limit. Outlives the connections.
    std::uint64_t m_next_call_id = 1;
    std::map<std::uint64_t, std::unique_ptr<exchange>> m_exchanges;
    std::map<endpoint, std::vector<std::unique_ptr<connection>>> m_idle_connections;
    std::unique_ptr<timer> m_idle_timer;
    std::uint64_t m_bytes_sent = 0;
    std::uint64_t m_bytes_received = 0;
    std::uint64_t m_limited_bytes_received = 0;
    std::map<std::string, call_counts> m_calls_by_purpose;
    lifetime m_lifetime;
};

} // namespace siskinpaddle
