#pragma once

#include "net/byte_counts.hpp"
#include "net/event_loop.hpp"
#include "net/http_types.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

struct evhttp;
struct evhttp_request;
struct evhttp_connection;
struct evhttp_bound_socket;

namespace siskinpaddle {

/// One request that a server has received. Call reply() exactly once; the destruction of an unanswered
/// request replies with status 500.
class server_request {
  public:
    /// `connection`: its number, by which the server counts what it holds.
    server_request(class http_server& server, evhttp_request* handle, std::uint64_t connection);
    ~server_request();
    server_request(const server_request&) = delete;
    server_request& operator=(const server_request&) = delete;

    [[nodiscard]] const std::string& method() const noexcept { return m_method; }
    /// Path and query as received.
    [[nodiscard]] const std::string& target() const noexcept { return m_target; }
    [[nodiscard]] const http_headers& headers() const noexcept { return m_headers; }
    [[nodiscard]] const std::string& body() const noexcept { return m_body; }
    [[nodiscard]] const std::string& peer() const noexcept { return m_peer; }

    /// Precondition: reply() hasn't been called before.
    void reply(int code, const http_headers& headers, std::string_view body);

  private:
    http_server& m_server;
    std::weak_ptr<void> m_server_token;
    std::uint64_t m_connection;
    evhttp_request* m_handle;
    std::string m_method;
    std::string m_target;
    std::string m_peer;
    http_headers m_headers;
    std::string m_body;
};

/// Limits of a listener, sizes in bytes; each guards against one kind of hostile or broken client.
struct http_server_limits {
    std::size_t max_body = 1U << 20U;
    std::size_t max_headers = 32U << 10U;
    /// Bytes of a connection that are read ahead of the request that is being answered; at least
    /// `max_headers`. A client that sends on and reads no answers fills its own buffers beyond that.
    std::size_t max_read_ahead = 64U << 10U;
    /// Bytes that all connections may hold together: requests that are being received or answered, bytes that
    /// were read ahead, and answers that are not read. Beyond it the connection that holds the most is
    /// closed.
    std::size_t max_held = 64U << 20U;
    /// Beyond it the connection that has been idle for the longest time is closed.
    std::size_t max_connections = 4096;
    milliseconds idle_timeout = 60s;    ///< Closes half-open and idle connections.
    milliseconds receive_timeout = 10s; ///< Closes a connection that takes longer to send one request.
};

/// Connections that a listener has closed since its start because of its limits.
struct closed_connections {
    std::uint64_t over_count = 0; ///< Over max_connections.
    std::uint64_t over_held = 0;  ///< Over max_held.

    bool operator==(const closed_connections&) const = default;
};

/// Listens for HTTP requests and passes each to a handler.
class http_server {
  public:
    using handler = std::function<void(std::shared_ptr<server_request>)>;

    http_server(event_loop& loop, http_server_limits limits, handler on_request);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Binds the address and accepts connections. Returns false when the address can't be bound.
    [[nodiscard]] bool listen(const endpoint& local_endpoint);

    /// Returns the bound port, also of a listener on port 0.
    [[nodiscard]] std::uint16_t port() const;

    /// Stops accepting connections and asks each client, with its next answer, to close its connection.
    void drain();

    /// While `enabled`, continues to accept connections but asks each client, with its next answer, to close
    /// its connection. A process that will stop soon, or that can't serve, sheds its connections in this way
    /// while clients still send it new ones.
    void set_connection_shedding(bool enabled) { m_shedding = enabled; }

    [[nodiscard]] std::size_t requests_in_progress() const noexcept { return m_requests_in_progress; }
    [[nodiscard]] std::size_t connection_count() const noexcept;
    /// Bytes that the connections hold, see http_server_limits::max_held.
    [[nodiscard]] std::size_t held_bytes() const noexcept;
    [[nodiscard]] const closed_connections& closed_by_limits() const noexcept { return m_closed; }
    /// Bodies and header fields of all requests and answers.
    [[nodiscard]] const byte_counts& traffic() const noexcept { return m_traffic; }

  private:
    friend class server_request;
    class connection_tracker;

    event_loop& m_loop;
    http_server_limits m_limits;
    handler m_handler;
    evhttp* m_http;
    evhttp_bound_socket* m_socket = nullptr;
    std::unique_ptr<connection_tracker> m_connection_tracker;
    std::size_t m_requests_in_progress = 0;
    byte_counts m_traffic;
    closed_connections m_closed;
    bool m_draining = false;
    bool m_shedding = false;
    lifetime m_lifetime;
};

} // namespace siskinpaddle
