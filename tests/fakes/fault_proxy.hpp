#pragma once

#include "net/net.hpp"

#include <list>
#include <memory>

struct evconnlistener;

namespace siskinpaddle::fakes {

/// What the proxy does to its connections.
enum class link_mode : std::uint8_t {
    pass,
    delay,          ///< Forwards bytes later, in order.
    reset,          ///< Resets open connections, and new ones when they are accepted.
    drop_to_server, ///< Discards bytes to the server.
    drop_to_client, ///< Discards bytes to the client.
    drop_all        ///< Discards bytes in both directions.
};

/// TCP proxy on loopback that injects link faults between clients and a server. A connection that has lost
/// bytes in one direction forwards nothing more in that direction, also after the mode is `pass` again: the
/// receiver could not parse a stream with a gap. Not thread-safe.
class fault_proxy {
  public:
    fault_proxy(event_loop& loop, endpoint server);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    /// Listens on a free port of the loopback address and returns the port; 0 on failure.
    [[nodiscard]] std::uint16_t listen();
    void set_mode(link_mode mode, milliseconds delay = milliseconds(0));
    /// The open connections forward nothing more and are not reset; new ones work.
    void silence_connections();
    /// Limits what each connection carries in each direction; 0: no limit.
    void set_rate(std::size_t bytes_per_s) { m_bytes_per_s = bytes_per_s; }
    /// Sets the server for new connections.
    void set_server(endpoint server) { m_server = std::move(server); }

  private:
    class proxied_connection;

    void accept(int socket);
    void remove_connection(const proxied_connection* ended);

    event_loop& m_loop;
    endpoint m_server;
    evconnlistener* m_listener = nullptr;
    link_mode m_mode = link_mode::pass;
    milliseconds m_delay{0};
    std::size_t m_bytes_per_s = 0;
    std::list<std::unique_ptr<proxied_connection>> m_connections;
    lifetime m_lifetime;
};

} // namespace siskinpaddle::fakes
