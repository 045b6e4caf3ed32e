#pragma once

#include "net/net.hpp"

#include <list>
#include <memory>

struct evconnlistener;

namespace siskinpaddle::soak {

/// What a link does to the connections over it.
enum class link_mode : std::uint8_t {
    pass,
    delay,          ///< Bytes arrive later, in order.
    reset,          ///< Open connections are reset, new ones at once.
    drop_to_server, ///< Bytes towards the server are lost.
    drop_to_client, ///< Bytes of the server are lost.
    drop_all        ///< Bytes of both sides are lost.
};

/// A link on loopback between a client and a server. A connection that has lost bytes stays silent until it
/// is closed, also when the link is well again: its end could not make sense of what comes after. Not
/// thread-safe.
class fault_proxy {
  public:
    fault_proxy(event_loop& loop, endpoint server);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    /// Listens on a free port of the loopback address; 0 if that failed.
    [[nodiscard]] std::uint16_t listen();
    void set_mode(link_mode mode, milliseconds delay = milliseconds(0));
    /// Where connections go from now on.
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
    std::list<std::unique_ptr<proxied_connection>> m_connections;
    lifetime m_lifetime;
};

} // namespace siskinpaddle::soak
