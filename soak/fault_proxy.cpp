#include "soak/fault_proxy.hpp"

#include <arpa/inet.h>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace siskinpaddle::soak {

namespace {

sockaddr_in address_of(const endpoint& where) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(where.port);
    inet_pton(AF_INET, where.address.c_str(), &result.sin_addr);
    return result;
}

/// Makes the socket's close a reset.
void reset_on_close(int socket) {
    const linger hard{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
}

} // namespace

/// One connection through the proxy: two sides, each with what waits for its delay.
class fault_proxy::link {
  public:
    link(fault_proxy& owner, int socket)
        : m_owner(owner),
          m_client(bufferevent_socket_new(owner.m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE)),
          m_server(bufferevent_socket_new(owner.m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)),
          m_timer(owner.m_loop.make_timer([this] { release(); })) {
        for (bufferevent* side : {m_client, m_server}) {
            bufferevent_setcb(side, on_read, nullptr, on_event, this);
            bufferevent_enable(side, EV_READ | EV_WRITE);
        }
        const sockaddr_in address = address_of(owner.m_server);
        bufferevent_socket_connect(m_server, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    }
    link(const link&) = delete;
    link& operator=(const link&) = delete;
    ~link() {
        bufferevent_free(m_client);
        bufferevent_free(m_server);
    }

    void reset() {
        reset_on_close(bufferevent_getfd(m_client));
        reset_on_close(bufferevent_getfd(m_server));
    }

  private:
    struct held_bytes {
        timestamp until{0};
        bufferevent* to = nullptr;
        std::string bytes;
    };

    static void on_read(bufferevent* from, void* self) { static_cast<link*>(self)->take(from); }

    static void on_event(bufferevent*, short what, void* self) {
        auto* item = static_cast<link*>(self);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            item->m_owner.drop(item);
        }
    }

    [[nodiscard]] bool loses(bool outwards) const {
        switch (m_owner.m_mode) {
        case link_mode::cut_out:
            return outwards;
        case link_mode::cut_back:
            return !outwards;
        case link_mode::silent:
            return true;
        default:
            return false;
        }
    }

    void take(bufferevent* from) {
        evbuffer* input = bufferevent_get_input(from);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        const bool outwards = from == m_client;
        bool& lost = outwards ? m_lost_out : m_lost_back;
        lost = lost || loses(outwards);
        if (lost) {
            return;
        }
        bufferevent* to = outwards ? m_server : m_client;
        const milliseconds delay = m_owner.m_mode == link_mode::delay ? m_owner.m_delay : milliseconds(0);
        if (delay.count() == 0 && m_held.empty()) {
            bufferevent_write(to, bytes.data(), bytes.size());
            return;
        }
        m_held.push_back({event_loop::now() + delay, to, std::move(bytes)});
        m_timer->start(delay);
    }

    void release() {
        const timestamp now = event_loop::now();
        while (!m_held.empty() && m_held.front().until <= now) {
            const held_bytes& item = m_held.front();
            bufferevent_write(item.to, item.bytes.data(), item.bytes.size());
            m_held.pop_front();
        }
        if (!m_held.empty()) {
            m_timer->start(std::max(milliseconds(1), m_held.front().until - now));
        }
    }

    fault_proxy& m_owner;
    bufferevent* m_client;
    bufferevent* m_server;
    std::deque<held_bytes> m_held;
    std::unique_ptr<timer> m_timer;
    bool m_lost_out = false;
    bool m_lost_back = false;
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
    m_links.push_back(std::make_unique<link>(*this, socket));
}

void fault_proxy::drop(const link* ended) {
    // Not from inside the link's own callback.
    m_loop.post([this, ended, alive = m_lifetime.weak_token()] {
        if (!alive.expired()) {
            m_links.remove_if([&](const auto& item) { return item.get() == ended; });
        }
    });
}

void fault_proxy::set_mode(link_mode mode, milliseconds delay) {
    m_mode = mode;
    m_delay = delay;
    if (mode == link_mode::reset) {
        for (const auto& item : m_links) {
            item->reset();
        }
        m_links.clear();
    }
}

} // namespace siskinpaddle::soak
