#pragma once

#include "net/event_loop.hpp"
#include "net/http_types.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;
struct evconnlistener;

namespace siskinpaddle {

/// Maximum size of a frame in bytes.
inline constexpr std::size_t max_frame_bytes = 4U << 20U;

/// Result of a frame exchange.
enum class stream_status : std::uint8_t { answered, refused, failed };

/// Answers one frame with one frame, then closes the connection; each frame is preceded by its length in four
/// bytes. An empty answer only closes the connection. The number of connections, the size of frames and the
/// pauses in a session are limited.
class frame_server {
  public:
    using handler = std::function<std::string(std::string_view frame)>;

    frame_server(event_loop& loop, handler on_frame);
    ~frame_server();
    frame_server(const frame_server&) = delete;
    frame_server& operator=(const frame_server&) = delete;

    /// Returns false when the address can't be bound.
    [[nodiscard]] bool listen(const endpoint& local_endpoint);

    [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return m_bytes_sent; }

  private:
    struct session;

    void accept(int socket);
    void on_readable(session& item);
    void close(bufferevent* handle);

    event_loop& m_loop;
    handler m_handler;
    evconnlistener* m_listener = nullptr;
    std::map<bufferevent*, std::unique_ptr<session>> m_sessions;
    std::uint64_t m_bytes_sent = 0;
};

/// Sends one frame to a frame_server and receives its answer. `refused` means that the port refused the
/// connection: no process listens there.
class frame_client {
  public:
    using callback = std::function<void(stream_status status, std::string_view frame)>;

    explicit frame_client(event_loop& loop);
    ~frame_client();
    frame_client(const frame_client&) = delete;
    frame_client& operator=(const frame_client&) = delete;

    /// Calls `done` once from the loop. Destroy the client only when the loop has stopped. With an empty
    /// `frame`, the client only connects, and reports `answered` when connected.
    void send(const endpoint& to, std::string frame, milliseconds timeout, callback done);

  private:
    struct exchange;

    void finish(exchange* item, stream_status status, std::string_view frame);

    event_loop& m_loop;
    std::map<exchange*, std::unique_ptr<exchange>> m_exchanges;
    lifetime m_lifetime;
};

} // namespace siskinpaddle
