#include "net/http_server.hpp"

#include "net/read_available.hpp"

#include <algorithm>
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
#include <optional>
#include <sys/socket.h>
#include <sys/stat.h>
#include <utility>

namespace siskinpaddle {

namespace {

constexpr int all_methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                            EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_TRACE | EVHTTP_REQ_PATCH;

/// A sixteenth of the connections is closed at a time, so that several can be accepted after that.
constexpr std::size_t room_divisor = 16;
/// Time after which connections that were closed to make room have been freed.
constexpr milliseconds accept_pause = 10ms;

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

/// Applies the listener's limits: counts its connections and what they hold, and closes those that exceed a
/// limit or send a request too slowly. evhttp's own timeout restarts with each byte, so a client that sends
/// single bytes at intervals could hold a connection open indefinitely. And evhttp reads on while an answer
/// is waiting for its client to read it.
///
/// evhttp doesn't report when it frees a connection that never sent a complete request. A record therefore
/// stores the socket's descriptor and inode, and its pointers are used only while these match: a descriptor
/// that was reused has another inode.
class http_server::connection_tracker {
  public:
    explicit connection_tracker(http_server& server)
        : m_server(server), m_check_timer(server.m_loop.base(), [this] { check_connections(); }),
          m_accept_timer(server.m_loop.base(), [this] { resume_accepting(); }) {
        m_check_timer.start(1s);
    }

    static bufferevent* make_connection(event_base* base, void* self) {
        return static_cast<connection_tracker*>(self)->add_connection(base);
    }

    /// Records that a complete request with a body of this size has arrived. The receive timeout then doesn't
    /// apply until the next request begins. Returns the connection's number.
    std::uint64_t mark_request_received(evhttp_connection* connection, std::size_t body_bytes) {
        evbuffer* input = bufferevent_get_input(evhttp_connection_get_bufferevent(connection));
        const auto found = m_connections.find(input);
        if (found == m_connections.end()) {
            return 0;
        }
        connection_record& item = found->second;
        item.receiving_since = timestamp{0};
        item.is_answering = true;
        set_input_limit(item, m_server.m_limits.max_read_ahead);
        set_part(item, &connection_record::in_progress, body_bytes);
        set_part(item, &connection_record::received, evbuffer_get_length(input));
        return item.number;
    }

    /// Records that the connection's request was answered.
    void mark_answered(std::uint64_t number) {
        const auto found = m_by_number.find(number);
        if (found != m_by_number.end()) {
            found->second->is_answering = false;
            set_part(*found->second, &connection_record::in_progress, 0);
        }
    }

    [[nodiscard]] std::size_t count() const noexcept { return m_connections.size(); }

    [[nodiscard]] std::size_t held_bytes() const noexcept { return m_held; }

  private:
    struct connection_record {
        connection_tracker* tracker = nullptr;
        bufferevent* socket = nullptr; ///< Valid while is_open().
        std::uint64_t number = 0;
        int descriptor = -1;
        ino_t inode = 0;
        timestamp receiving_since{0};
        timestamp active_at{0};
        std::size_t received = 0;    ///< Bytes that no complete request has taken yet.
        std::size_t in_progress = 0; ///< Bytes of the body of the request that is being answered.
        std::size_t unsent = 0;      ///< Bytes of the answer that the client has not taken yet.
        std::size_t input_limit = 0; ///< Most bytes that are read into the input buffer.
        bool is_answering = false;
        bool is_closing = false; ///< evhttp frees it in a later iteration of the loop.

        [[nodiscard]] std::size_t held() const noexcept { return received + in_progress + unsent; }
        [[nodiscard]] bool is_open() const { return descriptor >= 0 && inode_of(descriptor) == inode; }
    };
    using connection_map = std::map<evbuffer*, connection_record>; ///< By input buffer.

    bufferevent* add_connection(event_base* base) {
        bufferevent* socket = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setwatermark(socket, EV_READ, 0, m_server.m_limits.max_read_ahead);
        evbuffer* input = bufferevent_get_input(socket);
        forget(m_connections.find(input)); // The buffer of a connection that was freed.
        connection_record& item = m_connections[input];
        item.tracker = this;
        item.socket = socket;
        item.input_limit = m_server.m_limits.max_read_ahead;
        item.number = ++m_last_number;
        item.active_at = event_loop::now();
        m_by_number[item.number] = &item;
        evbuffer_add_cb(input, on_input, &item);
        evbuffer_add_cb(bufferevent_get_output(socket), on_output, &item);
        make_room();
        update_accepting();
        // evhttp sets the descriptor after this call, and nothing is read from it before the post.
        m_server.m_loop.post([this, number = item.number, alive = m_lifetime.weak_token()] {
            if (!alive.expired()) {
                record_descriptor(number);
            }
        });
        return socket;
    }

    void record_descriptor(std::uint64_t number) {
        if (const auto found = m_by_number.find(number); found != m_by_number.end()) {
            found->second->descriptor = bufferevent_getfd(found->second->socket);
            found->second->inode = inode_of(found->second->descriptor);
        }
    }

    /// Sets a part of what the connection holds. What a connection that is being closed holds is not counted.
    void set_part(connection_record& item, std::size_t connection_record::*part, std::size_t bytes) {
        if (!item.is_closing) {
            m_held = m_held - item.*part + bytes;
        }
        item.*part = bytes;
    }

    static void on_input(evbuffer* buffer, const evbuffer_cb_info* info, void* record) {
        connection_record& item = *static_cast<connection_record*>(record);
        if (info->n_added == 0) {
            return;
        }
        item.tracker->set_part(item, &connection_record::received, item.received + info->n_added);
        item.active_at = event_loop::now();
        if (item.receiving_since == timestamp{0}) {
            item.receiving_since = item.active_at;
        }
        if (item.is_closing) {
            return;
        }
        const std::size_t length = evbuffer_get_length(buffer);
        if (length < item.input_limit) {
            read_available(buffer, bufferevent_getfd(item.socket), info->n_added, item.input_limit - length);
        }
        item.tracker->admit_large_body(item);
        item.tracker->limit_held_bytes();
    }

    /// evhttp leaves a body in the input buffer until it is complete, so a connection that sends no answer
    /// and has filled the buffer is receiving a large body.
    void admit_large_body(connection_record& item) {
        const http_server_limits& limits = m_server.m_limits;
        const bool is_full = evbuffer_get_length(bufferevent_get_input(item.socket)) >= item.input_limit;
        if (is_full && !item.is_answering && item.unsent == 0) {
            set_input_limit(item, std::max(item.input_limit, limits.max_headers + limits.max_body));
        }
    }

    static void set_input_limit(connection_record& item, std::size_t bytes) {
        if (item.input_limit != bytes) {
            item.input_limit = bytes;
            bufferevent_setwatermark(item.socket, EV_READ, 0, bytes);
        }
    }

    static void on_output(evbuffer* buffer, const evbuffer_cb_info* info, void* record) {
        connection_record& item = *static_cast<connection_record*>(record);
        item.tracker->set_part(item, &connection_record::unsent, evbuffer_get_length(buffer));
        if (info->n_added > 0) {
            item.tracker->limit_held_bytes();
        }
    }

    static ino_t inode_of(int descriptor) {
        struct stat status {};
        return fstat(descriptor, &status) == 0 ? status.st_ino : 0;
    }

    connection_map::iterator forget(connection_map::iterator item) {
        if (item == m_connections.end()) {
            return item;
        }
        if (item->second.is_closing) {
            --m_closing_count;
        } else {
            m_held -= item->second.held();
        }
        m_by_number.erase(item->second.number);
        return m_connections.erase(item);
    }

    void forget_ended_connections() {
        for (auto item = m_connections.begin(); item != m_connections.end();) {
            const bool has_ended = item->second.descriptor >= 0 && !item->second.is_open();
            item = has_ended ? forget(item) : std::next(item);
        }
    }

    /// Lets evhttp free the connection in a later iteration of the loop. A connection whose input buffer is
    /// full is not read, so evhttp would not notice an end of the stream. Precondition: item.is_open().
    void close(connection_record& item) {
        m_held -= item.held();
        ++m_closing_count;
        item.is_closing = true;
        shutdown(item.descriptor, SHUT_RDWR);
        // libevent frees a bufferevent that has no callbacks any more, and must not be given another event.
        bufferevent_event_cb on_event = nullptr;
        bufferevent_getcb(item.socket, nullptr, nullptr, &on_event, nullptr);
        if (on_event != nullptr) {
            bufferevent_trigger_event(item.socket, BEV_EVENT_READING | BEV_EVENT_EOF,
                                      BEV_TRIG_DEFER_CALLBACKS);
        }
    }

    /// Returns the open connection with the highest rank, and null if there is none. `rank` returns nothing
    /// for a connection that must not be closed.
    template <typename Rank>
    connection_record* find_highest(const Rank& rank) {
        connection_record* best = nullptr;
        for (auto& [buffer, item] : m_connections) {
            if (!item.is_closing && item.descriptor >= 0 && rank(item) &&
                (best == nullptr || *rank(item) > *rank(*best))) {
                best = &item;
            }
        }
        return best;
    }

    /// Closes those connections that have been idle for the longest time if there are as many as may be.
    /// Connections whose request is being answered are closed last.
    void make_room() {
        const std::size_t limit = m_server.m_limits.max_connections;
        if (open_count() < limit) {
            return;
        }
        forget_ended_connections();
        const std::size_t wanted = limit - std::min(limit, std::max<std::size_t>(1, limit / room_divisor));
        while (open_count() > wanted) {
            connection_record* idle = find_highest([](const connection_record& item) {
                return std::optional(std::pair(!item.is_answering, -item.active_at.count()));
            });
            if (idle == nullptr) {
                return;
            }
            close(*idle);
            ++m_server.m_closed.over_count;
        }
    }

    /// Accepts no connection while as many are open as may be; those that were closed to make room are freed
    /// in later iterations of the loop.
    void update_accepting() {
        if (m_server.m_socket == nullptr || m_server.m_draining) {
            return;
        }
        evconnlistener* listener = evhttp_bound_socket_get_listener(m_server.m_socket);
        if (m_connections.size() < m_server.m_limits.max_connections) {
            evconnlistener_enable(listener);
            return;
        }
        evconnlistener_disable(listener);
        m_accept_timer.start(accept_pause);
    }

    void resume_accepting() {
        forget_ended_connections();
        make_room();
        update_accepting();
    }

    [[nodiscard]] std::size_t open_count() const noexcept { return m_connections.size() - m_closing_count; }

    void limit_held_bytes() {
        const std::size_t limit = m_server.m_limits.max_held;
        if (m_held <= limit) {
            return;
        }
        forget_ended_connections();
        while (m_held > limit) {
            connection_record* largest = find_highest([](const connection_record& item) {
                return item.held() == 0 ? std::nullopt : std::optional(item.held());
            });
            if (largest == nullptr) {
                return;
            }
            close(*largest);
            ++m_server.m_closed.over_held;
        }
    }

    void check_connections() {
        forget_ended_connections();
        const timestamp now = event_loop::now();
        for (auto& [buffer, item] : m_connections) {
            if (!item.is_closing && item.receiving_since != timestamp{0} &&
                now - item.receiving_since > m_server.m_limits.receive_timeout) {
                close(item);
            }
        }
        m_check_timer.start(1s);
    }

    http_server& m_server;
    timer m_check_timer;
    timer m_accept_timer;
    connection_map m_connections;
    std::map<std::uint64_t, connection_record*> m_by_number;
    std::uint64_t m_last_number = 0;
    std::size_t m_held = 0;
    std::size_t m_closing_count = 0;
    lifetime m_lifetime;
};

server_request::server_request(http_server& server, evhttp_request* handle, std::uint64_t connection)
    : m_server(server), m_server_token(server.m_lifetime.weak_token()), m_connection(connection),
      m_handle(handle), m_method(name_of_command(evhttp_request_get_command(handle))),
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
    m_server.m_connection_tracker->mark_answered(m_connection);
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
            const std::uint64_t connection = server->m_connection_tracker->mark_request_received(
                evhttp_request_get_connection(request),
                evbuffer_get_length(evhttp_request_get_input_buffer(request)));
            server->m_handler(std::make_shared<server_request>(*server, request, connection));
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

std::size_t http_server::held_bytes() const noexcept {
    return m_connection_tracker->held_bytes();
}

} // namespace siskinpaddle
