#include "fakes/fault_proxy.hpp"

#include <arpa/inet.h>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace siskinpaddle::fakes {

namespace {

sockaddr_in address_of(const endpoint& where) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(where.port);
    inet_pton(AF_INET, where.address.c_str(), &result.sin_addr);
    return result;
}

/// Makes closing the socket send a TCP reset.
void reset_on_close(int socket) {
    const linger hard{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
}

} // namespace

/// One connection through the proxy: a socket to either side, and the bytes whose delay has not passed yet.
class fault_proxy::proxied_connection {
  public:
    proxied_connection(fault_proxy& proxy, int socket)
        : m_proxy(proxy),
          m_client(bufferevent_socket_new(proxy.m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE)),
          m_server(bufferevent_socket_new(proxy.m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)),
          m_timer(proxy.m_loop.make_timer([this] { send_due(); })) {
        for (bufferevent* side : {m_client, m_server}) {
            bufferevent_setcb(side, on_read, nullptr, on_event, this);
            bufferevent_enable(side, EV_READ | EV_WRITE);
        }
        const sockaddr_in address = address_of(proxy.m_server);
        bufferevent_socket_connect(m_server, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    }
    proxied_connection(const proxied_connection&) = delete;
    proxied_connection& operator=(const proxied_connection&) = delete;
    ~proxied_connection() {
        bufferevent_free(m_client);
        bufferevent_free(m_server);
    }

    void silence() {
        m_has_dropped_to_server = true;
        m_has_dropped_to_client = true;
    }

    void reset() {
        reset_on_close(bufferevent_getfd(m_client));
        reset_on_close(bufferevent_getfd(m_server));
    }

  private:
    struct delayed_bytes {
        timestamp due{0};
        bufferevent* to = nullptr;
        std::string bytes;
    };

    static void on_read(bufferevent* from, void* self) {
        static_cast<proxied_connection*>(self)->forward(from);
    }

    static void on_event(bufferevent* from, short events, void* self) {
        auto* item = static_cast<proxied_connection*>(self);
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
            return;
        }
        if (from == item->m_server && !item->m_delayed.empty()) {
            item->m_has_server_ended = true; // What it had answered is still on its way.
            return;
        }
        item->m_proxy.remove_connection(item);
    }

    [[nodiscard]] bool is_dropping(bool to_server) const {
        switch (m_proxy.m_mode) {
        case link_mode::drop_to_server:
            return to_server;
        case link_mode::drop_to_client:
            return !to_server;
        case link_mode::drop_all:
            return true;
        default:
            return false;
        }
    }

    void forward(bufferevent* from) {
        evbuffer* input = bufferevent_get_input(from);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        const bool to_server = from == m_client;
        bool& has_dropped = to_server ? m_has_dropped_to_server : m_has_dropped_to_client;
        has_dropped = has_dropped || is_dropping(to_server);
        if (has_dropped) {
            return;
        }
        bufferevent* to = to_server ? m_server : m_client;
        const timestamp due = due_time(bytes.size());
        const timestamp now = event_loop::now();
        if (due <= now && m_delayed.empty()) {
            bufferevent_write(to, bytes.data(), bytes.size());
            return;
        }
        m_delayed.push_back({due, to, std::move(bytes)});
        m_timer->start(std::max(milliseconds(0), m_delayed.front().due - now));
    }

    [[nodiscard]] timestamp due_time(std::size_t bytes) const {
        const timestamp now = event_loop::now();
        if (m_proxy.m_bytes_per_s > 0) {
            const timestamp start = m_delayed.empty() ? now : std::max(now, m_delayed.back().due);
            return start + milliseconds(bytes * 1000 / m_proxy.m_bytes_per_s);
        }
        return now + (m_proxy.m_mode == link_mode::delay ? m_proxy.m_delay : milliseconds(0));
    }

    void send_due() {
        const timestamp now = event_loop::now();
        while (!m_delayed.empty() && m_delayed.front().due <= now) {
            const delayed_bytes& item = m_delayed.front();
            bufferevent_write(item.to, item.bytes.data(), item.bytes.size());
            m_delayed.pop_front();
        }
        if (!m_delayed.empty()) {
            m_timer->start(std::max(milliseconds(1), m_delayed.front().due - now));
        } else if (m_has_server_ended && evbuffer_get_length(bufferevent_get_output(m_client)) > 0) {
            m_timer->start(1ms); // Freeing the connection would discard what is not written yet.
        } else if (m_has_server_ended) {
            m_proxy.remove_connection(this);
        }
    }

    fault_proxy& m_proxy;
    bufferevent* m_client;
    bufferevent* m_server;
    std::deque<delayed_bytes> m_delayed;
    std::unique_ptr<timer> m_timer;
    bool m_has_dropped_to_server = false;
    bool m_has_dropped_to_client = false;
    bool m_has_server_ended = false; ///< Delayed bytes are still forwarded.
};

fault_proxy::fault_proxy(event_loop& loop, endpoint server) : m_loop(loop), m_server(std::move(server)) {}

fault_proxy::~fault_proxy() {
    if (m_listener != nullptr) {
        evconnlistener_free(m_listener);
    }
}

std::uint16_t fault_proxy::listen() {
    sockaddr_in address = address_of({"127.0.0.1", 0});
    m_listener = evconnlistener_new_bind(
        m_loop.base(),
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
            static_cast<fault_proxy*>(self)->accept(socket);
        },
        this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (m_listener == nullptr) {
        return 0;
    }
    socklen_t size = sizeof(address);
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

void fault_proxy::accept(int socket) {
    if (m_mode == link_mode::reset) {
        reset_on_close(socket);
        close(socket);
        return;
    }
    evutil_make_socket_nonblocking(socket);
    m_connections.push_back(std::make_unique<proxied_connection>(*this, socket));
}

void fault_proxy::remove_connection(const proxied_connection* ended) {
    // The connection must not be destroyed from within its own callback.
    m_loop.post([this, ended, alive = m_lifetime.weak_token()] {
        if (!alive.expired()) {
            m_connections.remove_if([&](const auto& item) { return item.get() == ended; });
        }
    });
}

void fault_proxy::set_mode(link_mode mode, milliseconds delay) {
    m_mode = mode;
    m_delay = delay;
    if (mode == link_mode::reset) {
        for (const auto& item : m_connections) {
            item->reset();
        }
        m_connections.clear();
    }
}

void fault_proxy::silence_connections() {
    for (const auto& item : m_connections) {
        item->silence();
    }
}

} // namespace siskinpaddle::fakes
