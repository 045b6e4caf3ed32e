#pragma once

#include "net/net.hpp"

#include <algorithm>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <vector>

namespace siskinpaddle::tests {

/// A target that answers the first request on each connection with fixed bytes, then closes the connection or
/// sends nothing more. Counts the requests that it reads, so that a test knows what left the client.
class raw_server {
  public:
    raw_server(event_loop& loop, std::string answer, bool close_after)
        : m_loop(loop), m_answer(std::move(answer)), m_close_after(close_after) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_listener = evconnlistener_new_bind(
            loop.base(),
            [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
                static_cast<raw_server*>(self)->accept(socket);
            },
            this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, reinterpret_cast<sockaddr*>(&address),
            sizeof(address));
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    ~raw_server() {
        for (bufferevent* item : m_connections) {
            bufferevent_free(item);
        }
        evconnlistener_free(m_listener);
    }

    [[nodiscard]] endpoint local_endpoint() const {
        sockaddr_in bound{};
        socklen_t size = sizeof(bound);
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr*>(&bound), &size);
        return {"127.0.0.1", ntohs(bound.sin_port)};
    }

    /// Sends `bytes` on all open connections.
    void send_to_all(const std::string& bytes) {
        for (bufferevent* item : m_connections) {
            bufferevent_write(item, bytes.data(), bytes.size());
        }
    }

    /// Requests on the open connections get no answer from now on; new connections work.
    void silence_connections() { m_silent_connections = m_connections; }

    int requests = 0; ///< Request heads that arrived.
    int resets = 0;   ///< Connections that the client reset.
    int closes = 0;   ///< Connections that the client closed in order, which delivers all sent data.
    /// After this many answers, closes each connection at its next request without an answer; -1: no limit.
    int remaining_answers = -1;

  private:
    void accept(int socket) {
        bufferevent* item = bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
        m_connections.push_back(item);
        bufferevent_setcb(
            item, [](bufferevent* ready, void* self) { static_cast<raw_server*>(self)->read(ready); },
            [](bufferevent* flushed, void* self) {
                auto* server = static_cast<raw_server*>(self);
                if (server->m_close_after && server->requests > 0) {
                    server->close_connection(flushed);
                }
            },
            [](bufferevent* ended, short events, void* self) {
                auto* server = static_cast<raw_server*>(self);
                const bool reset = (events & BEV_EVENT_ERROR) != 0 || has_error(bufferevent_getfd(ended));
                reset ? ++server->resets : ++server->closes;
                server->close_connection(ended);
            },
            this);
        bufferevent_enable(item, EV_READ | EV_WRITE);
    }

    void read(bufferevent* item) {
        evbuffer* input = bufferevent_get_input(item);
        std::string text(evbuffer_get_length(input), '\0');
        evbuffer_copyout(input, text.data(), text.size());
        if (text.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        evbuffer_drain(input, text.size());
        ++requests;
        if (std::ranges::find(m_silent_connections, item) != m_silent_connections.end()) {
            return;
        }
        if (remaining_answers == 0) {
            close_connection(item);
            return;
        }
        remaining_answers -= remaining_answers > 0 ? 1 : 0;
        if (m_answer.empty() && m_close_after) {
            close_connection(item);
            return;
        }
        bufferevent_write(item, m_answer.data(), m_answer.size());
    }

    /// A reset that follows an orderly close is reported as an orderly close; only the socket's error shows
    /// it.
    static bool has_error(int socket) {
        int error = 0;
        socklen_t size = sizeof(error);
        return getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error != 0;
    }

    void close_connection(bufferevent* item) {
        std::erase(m_connections, item);
        std::erase(m_silent_connections, item);
        bufferevent_free(item);
    }

    event_loop& m_loop;
    std::string m_answer;
    bool m_close_after;
    evconnlistener* m_listener = nullptr;
    std::vector<bufferevent*> m_connections;
    std::vector<bufferevent*> m_silent_connections;
};

} // namespace siskinpaddle::tests
