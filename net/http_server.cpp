#include "net/http_server.hpp"

#include "net/read_available.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <map>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>

namespace siskinpaddle {

namespace {

constexpr int all_methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                            EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_TRACE | EVHTTP_REQ_PATCH;

const char* name_of_command(evhttp_cmd_type command) {
    switch (command) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_TRACE:
        return "TRACE";
    case EVHTTP_REQ_CONNECT:
        return "CONNECT";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    }
    return "?";
}

} // namespace

/// Counts the listener's connections and closes those that send a request too slowly. evhttp's own timeout
/// restarts with each byte, so a client that sends single bytes at intervals could hold a connection open
/// indefinitely.
///
/// evhttp doesn't report when it frees a connection that never sent a complete request. A record therefore
/// stores the socket's descriptor and inode and doesn't dereference its pointers later: a descriptor that was
/// reused has another inode.
class http_server::connection_tracker {
  public:
    explicit connection_tracker(http_server& server)
        : m_server(server), m_check_timer(server.m_loop.base(), [this] { close_slow_connections(); }) {
        m_check_timer.start(1s);
    }

    static bufferevent* make_connection(event_base* base, void* self) {
        auto* item = static_cast<connection_tracker*>(self);
        bufferevent* socket = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
        evbuffer* input = bufferevent_get_input(socket);
        evbuffer_add_cb(input, on_input, self);
        item->m_connections[input] = {socket, -1, 0, timestamp{0}, event_loop::now()};
        item->update_accepting();
        return socket;
    }

    /// Records that a complete request has arrived. The receive timeout then doesn't apply until the next
    /// request begins.
    void mark_request_received(evhttp_connection* connection) {
        evbuffer* input = bufferevent_get_input(evhttp_connection_get_bufferevent(connection));
        m_connections[input].receiving_since = timestamp{0};
    }

    [[nodiscard]] std::size_t count() const noexcept { return m_connections.size(); }

  private:
    struct connection_record {
        bufferevent* socket = nullptr; ///< Valid only inside a callback of the record's buffer.
        int descriptor = -1;
        ino_t inode = 0;
        timestamp receiving_since{0};
        timestamp accepted_at{0};
    };

    static void on_input(evbuffer* buffer, const evbuffer_cb_info* info, void* self) {
        const auto found = static_cast<connection_tracker*>(self)->m_connections.find(buffer);
        if (found == static_cast<connection_tracker*>(self)->m_connections.end() || info->n_added == 0) {
            return;
        }
        connection_record& item = found->second;
        if (item.descriptor < 0) {
            item.descriptor = bufferevent_getfd(item.socket);
            item.inode = inode_of(item.descriptor);
        }
        if (item.receiving_since == timestamp{0}) {
            item.receiving_since = event_loop::now();
        }
        read_available(buffer, item.descriptor, info->n_added);
    }

    static ino_t inode_of(int descriptor) {
        struct stat status {};
        return fstat(descriptor, &status) == 0 ? status.st_ino : 0;
    }

    void close_slow_connections() {
        const timestamp now = event_loop::now();
        std::erase_if(m_connections, [&](const auto& pair) {
            const connection_record& item = pair.second;
            const bool ended = item.descriptor >= 0 && inode_of(item.descriptor) != item.inode;
            const bool has_never_sent =
                item.descriptor < 0 && now - item.accepted_at > 2 * m_server.m_limits.idle_timeout;
            return ended || has_never_sent;
        });
        for (auto& [buffer, item] : m_connections) {
            if (item.receiving_since != timestamp{0} &&
                now - item.receiving_since > m_server.m_limits.receive_timeout) {
                item.receiving_since = timestamp{0};
                shutdown(item.descriptor, SHUT_RDWR); // evhttp frees the connection on end of file.
            }
        }
        update_accepting();
        m_check_timer.start(1s);
    }

    void update_accepting() {
        if (m_server.m_socket == nullptr || m_server.m_draining) {
            return;
        }
        evconnlistener* listener = evhttp_bound_socket_get_listener(m_server.m_socket);
        if (m_connections.size() >= m_server.m_limits.max_connections) {
            evconnlistener_disable(listener);
        } else {
            evconnlistener_enable(listener);
        }
    }

    http_server& m_server;
    timer m_check_timer;
    std::map<evbuffer*, connection_record> m_connections;
};

server_request::server_request(http_server& server, evhttp_request* handle)
    : m_server(server), m_server_token(server.m_lifetime.weak_token()), m_handle(handle),
      m_method(name_of_command(evhttp_request_get_command(handle))),
      m_target(evhttp_request_get_uri(handle)) {
    for (const evkeyval* field = evhttp_request_get_input_headers(handle)->tqh_first; field != nullptr;
         field = field->next.tqe_next) {
        m_headers.add(field->key, field->value);
        server.m_traffic.received +=
            std::string_view(field->key).size() + std::string_view(field->value).size();
    }
    evbuffer* body = evhttp_request_get_input_buffer(handle);
    m_body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, m_body.data(), m_body.size());
    server.m_traffic.received += m_target.size() + m_body.size();
    char* address = nullptr;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(handle), &address, &port);
    m_peer = address == nullptr ? "?" : address;
    ++server.m_requests_in_progress;
}

server_request::~server_request() {
    if (m_handle != nullptr && !m_server_token.expired()) {
        reply(HTTP_INTERNAL, {}, "");
    }
}

void server_request::reply(int code, const http_headers& headers, std::string_view body) {
    if (m_server_token.expired()) {
        return; // The server has closed the connection in its destructor.
    }
    evkeyvalq* fields = evhttp_request_get_output_headers(m_handle);
    for (const auto& [name, value] : headers.fields()) {
        evhttp_add_header(fields, name.c_str(), value.c_str());
        m_server.m_traffic.sent += name.size() + value.size();
    }
    m_server.m_traffic.sent += body.size();
    if (m_server.m_draining || m_server.m_shedding) {
        evhttp_remove_header(fields, "Connection");
        evhttp_add_header(fields, "Connection", "close");
    }
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(m_handle, code, nullptr, buffer);
    evbuffer_free(buffer);
    m_handle = nullptr;
    --m_server.m_requests_in_progress;
}

http_server::http_server(event_loop& loop, http_server_limits limits, handler on_request)
    : m_loop(loop), m_limits(limits), m_handler(std::move(on_request)), m_http(evhttp_new(loop.base())),
      m_connection_tracker(std::make_unique<connection_tracker>(*this)) {
    evhttp_set_max_body_size(m_http, static_cast<ev_ssize_t>(limits.max_body));
    evhttp_set_max_headers_size(m_http, static_cast<ev_ssize_t>(limits.max_headers));
    evhttp_set_timeout(m_http, static_cast<int>(limits.idle_timeout.count() / 1000));
    evhttp_set_allowed_methods(m_http, all_methods);
    evhttp_set_default_content_type(m_http, nullptr);
    evhttp_set_bevcb(m_http, &connection_tracker::make_connection, m_connection_tracker.get());
    evhttp_set_gencb(
        m_http,
        [](evhttp_request* request, void* self) {
            auto* server = static_cast<http_server*>(self);
            server->m_connection_tracker->mark_request_received(evhttp_request_get_connection(request));
            server->m_handler(std::make_shared<server_request>(*server, request));
        },
        this);
}

http_server::~http_server() {
    evhttp_free(m_http);
}

bool http_server::listen(const endpoint& local_endpoint) {
    m_socket = evhttp_bind_socket_with_handle(m_http, local_endpoint.address.c_str(), local_endpoint.port);
    return m_socket != nullptr;
}

std::uint16_t http_server::port() const {
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(evhttp_bound_socket_get_fd(m_socket), reinterpret_cast<sockaddr*>(&bound), &size);
    return ntohs(bound.sin_port);
}

void http_server::drain() {
    m_draining = true;
    if (m_socket != nullptr) {
        evhttp_del_accept_socket(m_http, m_socket);
        m_socket = nullptr;
    }
}

std::size_t http_server::connection_count() const noexcept {
    return m_connection_tracker->count();
}

} // namespace siskinpaddle
