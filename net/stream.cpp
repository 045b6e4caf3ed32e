#include "net/stream.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

namespace siskinpaddle {

namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t max_sessions = 256;
constexpr timeval session_timeout{5, 0};

sockaddr_in to_sockaddr(const endpoint& where) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(where.port);
    inet_pton(AF_INET, where.address.c_str(), &address.sin_addr);
    return address;
}

void write_frame(bufferevent* handle, std::string_view frame) {
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(frame.size()));
    bufferevent_write(handle, &length, sizeof(length));
    bufferevent_write(handle, frame.data(), frame.size());
}

enum class frame_state : std::uint8_t { partial, complete, oversized };

frame_state read_frame(bufferevent* handle, std::string& frame) {
    evbuffer* input = bufferevent_get_input(handle);
    std::uint32_t length = 0;
    if (evbuffer_copyout(input, &length, sizeof(length)) < static_cast<ev_ssize_t>(sizeof(length))) {
        return frame_state::partial;
    }
    const std::size_t size = ntohl(length);
    if (size > max_frame_bytes) {
        return frame_state::oversized;
    }
    if (evbuffer_get_length(input) < size + length_bytes) {
        return frame_state::partial;
    }
    evbuffer_drain(input, length_bytes);
    frame.resize(size);
    evbuffer_remove(input, frame.data(), size);
    return frame_state::complete;
}

} // namespace

struct frame_server::session {
    frame_server& server;
    bufferevent* handle;
    bool answered = false;
};

frame_server::frame_server(event_loop& loop, handler on_frame)
    : m_loop(loop), m_handler(std::move(on_frame)) {}

frame_server::~frame_server() {
    if (m_listener != nullptr) {
        evconnlistener_free(m_listener);
    }
    for (const auto& [handle, item] : m_sessions) {
        bufferevent_free(handle);
    }
}

bool frame_server::listen(const endpoint& local_endpoint) {
    const sockaddr_in address = to_sockaddr(local_endpoint);
    m_listener = evconnlistener_new_bind(
        m_loop.base(),
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
            static_cast<frame_server*>(self)->accept(socket);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
        reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    return m_listener != nullptr;
}

void frame_server::accept(int socket) {
    if (m_sessions.size() >= max_sessions) {
        evutil_closesocket(socket);
        return;
    }
    bufferevent* handle = bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    auto item = std::make_unique<session>(session{*this, handle});
    bufferevent_set_timeouts(handle, &session_timeout, &session_timeout);
    bufferevent_setcb(
        handle,
        [](bufferevent*, void* self) {
            static_cast<session*>(self)->server.on_readable(*static_cast<session*>(self));
        },
        [](bufferevent* flushed, void* self) {
            if (static_cast<session*>(self)->answered) {
                static_cast<session*>(self)->server.close(flushed);
            }
        },
        [](bufferevent* ended, short, void* self) { static_cast<session*>(self)->server.close(ended); },
        item.get());
    m_sessions.emplace(handle, std::move(item));
    bufferevent_enable(handle, EV_READ | EV_WRITE);
}

void frame_server::on_readable(session& item) {
    std::string frame;
    switch (read_frame(item.handle, frame)) {
    case frame_state::partial:
        return;
    case frame_state::oversized:
        close(item.handle);
        return;
    case frame_state::complete:
        break;
    }
    const std::string answer = m_handler(frame);
    if (answer.empty()) {
        close(item.handle);
        return;
    }
    item.answered = true;
    m_bytes_sent += answer.size();
    write_frame(item.handle, answer);
}

void frame_server::close(bufferevent* handle) {
    m_sessions.erase(handle);
    bufferevent_free(handle);
}

struct frame_client::exchange {
    frame_client& client;
    bufferevent* handle = nullptr;
    std::string frame;
    callback done;
    std::unique_ptr<timer> deadline;
    bool ended = false;

    exchange(frame_client& owner, std::string bytes, callback on_done)
        : client(owner), frame(std::move(bytes)), done(std::move(on_done)) {}
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    ~exchange() {
        if (handle != nullptr) {
            bufferevent_free(handle);
        }
    }
};

frame_client::frame_client(event_loop& loop) : m_loop(loop) {}

frame_client::~frame_client() = default;

void frame_client::send(const endpoint& to, std::string frame, milliseconds timeout, callback done) {
    auto owned = std::make_unique<exchange>(*this, std::move(frame), std::move(done));
    exchange* item = owned.get();
    m_exchanges.emplace(item, std::move(owned));
    item->deadline = m_loop.make_timer([this, item] { finish(item, stream_status::failed, {}); });
    item->deadline->start(timeout);
    item->handle = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        item->handle,
        [](bufferevent* handle, void* self) {
            auto* ready = static_cast<exchange*>(self);
            std::string answer;
            switch (read_frame(handle, answer)) {
            case frame_state::partial:
                return;
            case frame_state::oversized:
                ready->client.finish(ready, stream_status::failed, {});
                return;
            case frame_state::complete:
                ready->client.finish(ready, stream_status::answered, answer);
                return;
            }
        },
        nullptr,
        [](bufferevent* handle, short events, void* self) {
            auto* ready = static_cast<exchange*>(self);
            if ((events & BEV_EVENT_CONNECTED) == 0) {
                const bool refused = EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
                ready->client.finish(ready, refused ? stream_status::refused : stream_status::failed, {});
            } else if (ready->frame.empty()) {
                ready->client.finish(ready, stream_status::answered, {});
            } else {
                write_frame(handle, ready->frame);
            }
        },
        item);
    bufferevent_enable(item->handle, EV_READ | EV_WRITE);
    const sockaddr_in address = to_sockaddr(to);
    if (bufferevent_socket_connect(item->handle, reinterpret_cast<const sockaddr*>(&address),
                                   sizeof(address)) != 0) {
        finish(item, stream_status::failed, {});
    }
}

void frame_client::finish(exchange* item, stream_status status, std::string_view frame) {
    if (item->ended) {
        return;
    }
    item->ended = true;
    m_loop.post([this, alive = m_lifetime.weak_token(), item, status, answer = std::string(frame)] {
        if (alive.expired()) {
            return;
        }
        const auto found = m_exchanges.find(item);
        if (found == m_exchanges.end()) {
            return;
        }
        const auto owned = std::move(found->second);
        m_exchanges.erase(found);
        owned->done(status, answer);
    });
}

} // namespace siskinpaddle
