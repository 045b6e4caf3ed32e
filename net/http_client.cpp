#include "net/http_client.hpp"

#include "net/read_available.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

namespace siskinpaddle {

namespace {

constexpr std::array<std::pair<std::string_view, evhttp_cmd_type>, 9> methods{
    {{"GET", EVHTTP_REQ_GET},
     {"POST", EVHTTP_REQ_POST},
     {"HEAD", EVHTTP_REQ_HEAD},
     {"PUT", EVHTTP_REQ_PUT},
     {"DELETE", EVHTTP_REQ_DELETE},
     {"OPTIONS", EVHTTP_REQ_OPTIONS},
     {"TRACE", EVHTTP_REQ_TRACE},
     {"CONNECT", EVHTTP_REQ_CONNECT},
     {"PATCH", EVHTTP_REQ_PATCH}}};

evhttp_cmd_type command_for(std::string_view method) {
    for (const auto& [name, command] : methods) {
        if (name == method) {
            return command;
        }
    }
    return EVHTTP_REQ_GET;
}

/// Bytes that one request may write in one iteration of the event loop. With libevent's 16 KB, a transaction
/// of 170 KB can't be sent within its timeout of 1.5 s by a busy node, whose iterations take 200 ms, and a
/// retry of it can't either.
constexpr std::size_t max_single_write = 256UL * 1024;

/// Whether the answer itself marks its end. An answer that is delimited by the close of the connection looks
/// the same when it is truncated, and evhttp reports both as complete, so such an answer isn't treated as
/// complete.
bool has_explicit_end(const http_answer& answer, evhttp_cmd_type command) {
    const bool has_no_body =
        command == EVHTTP_REQ_HEAD || answer.code == HTTP_NOCONTENT || answer.code == HTTP_NOTMODIFIED;
    return has_no_body || answer.headers.has("Content-Length") ||
           equals_ignoring_case(answer.headers.get("Transfer-Encoding"), "chunked");
}

} // namespace

struct http_client::connection {
    endpoint to;
    exchange* active_exchange = nullptr; ///< The exchange in progress on this connection, if any.
    evhttp_connection* handle = nullptr;
    bool has_written = false; ///< Bytes of the current request were passed to the socket.
    bool resets_on_close = false;
    bool is_limited = false; ///< Read within the client's limit.
    int socket_error = 0;    ///< The error with which connecting failed, if any.
    timestamp idle_since{0};
    http_client* owner = nullptr;

    connection() = default;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() {
        if (handle != nullptr) {
            set_limited(false); // libevent frees the stream later, maybe after the client.
            bufferevent* stream = evhttp_connection_get_bufferevent(handle);
            evbuffer_remove_cb(bufferevent_get_output(stream), on_output, this);
            evbuffer_remove_cb(bufferevent_get_input(stream), on_input, this);
            evhttp_connection_free(handle);
        }
    }

    /// evhttp adds a request to the output buffer only after the connection is established, so if nothing was
    /// added, no byte of the request can have reached the server.
    static void on_output(evbuffer*, const evbuffer_cb_info* info, void* self) {
        auto* item = static_cast<connection*>(self);
        if (!item->resets_on_close && info->n_added > 0) {
            item->reset_on_close();
        }
        item->has_written = item->has_written || info->n_added > 0;
        item->record_output(info->n_added);
    }

    void record_output(std::size_t bytes);

    static void on_input(evbuffer* input, const evbuffer_cb_info* info, void* self);

    void set_limited(bool limited) {
        if (limited == is_limited) {
            return;
        }
        is_limited = limited;
        bufferevent* stream = evhttp_connection_get_bufferevent(handle);
        if (limited) {
            owner->m_read_limit->add(stream);
        } else {
            owner->m_read_limit->remove(stream);
        }
    }

    /// Sets the socket to discard unsent data when the connection closes for any reason, including the end of
    /// the process. After an orderly close the kernel would deliver requests held up by a network partition
    /// once the partition heals, long after the caller has stopped waiting for them and acted otherwise: an
    /// order about a machine would be carried out after an order of the machine's next owner.
    void reset_on_close() {
        const linger drop_unsent{1, 0};
        const int socket = bufferevent_getfd(evhttp_connection_get_bufferevent(handle));
        if (setsockopt(socket, SOL_SOCKET, SO_LINGER, &drop_unsent, sizeof(drop_unsent)) == 0) {
            resets_on_close = true;
        }
    }
};

class http_client::exchange {
  public:
    exchange(http_client& owner, std::uint64_t call_id, http_call call, callback done)
        : m_owner(owner), m_call_id(call_id), m_call(std::move(call)), m_done(std::move(done)),
          m_command(command_for(m_call.method)), m_counts(owner.m_calls_by_purpose[m_call.purpose]),
          m_deadline(owner.m_loop.base(), [this] { on_deadline(); }) {
        ++m_counts.calls;
    }

    void start() {
        m_connection = m_owner.acquire_connection(m_call.to, m_call.fresh_connection);
        m_connection->has_written = false;
        m_connection->active_exchange = this;
        if (m_call.is_limited && m_owner.m_read_limit != nullptr) {
            m_connection->set_limited(true);
        }
        m_request = evhttp_request_new(on_complete, this);
        evhttp_request_set_error_cb(m_request, on_error);
        evkeyvalq* fields = evhttp_request_get_output_headers(m_request);
        for (const auto& [name, value] : m_call.headers.fields()) {
            evhttp_add_header(fields, name.c_str(), value.c_str());
        }
        if (!m_call.headers.has("Host")) {
            evhttp_add_header(fields, "Host", m_call.to.to_string().c_str());
        }
        evbuffer_add(evhttp_request_get_output_buffer(m_request), m_call.body.data(), m_call.body.size());
        m_deadline.start(m_call.timeout);
        if (evhttp_make_request(m_connection->handle, m_request, m_command, m_call.target.c_str()) != 0) {
            m_request = nullptr;
            complete({}, false);
        }
    }

    callback release_callback() { return std::move(m_done); }
    std::unique_ptr<connection> release_connection() {
        m_connection->active_exchange = nullptr;
        m_connection->set_limited(false);
        return std::move(m_connection);
    }

    [[nodiscard]] std::size_t received_bytes() const noexcept { return m_received_bytes; }
    [[nodiscard]] const endpoint& server() const noexcept { return m_call.to; }
    [[nodiscard]] timestamp started_at() const noexcept { return m_started_at; }

    void record_output(std::size_t bytes) { m_counts.bytes.sent += bytes; }
    void record_input(std::size_t bytes) {
        if (m_received_bytes == 0) {
            m_first_byte_at = event_loop::now();
        }
        m_received_bytes += bytes;
        m_owner.m_bytes_received += bytes;
        m_counts.bytes.received += bytes;
        m_owner.m_limited_bytes_received += m_connection->is_limited ? bytes : 0;
        extend_deadline();
        if (m_call.on_progress) {
            m_call.on_progress(m_received_bytes);
        }
    }

  private:
    /// Extends the deadline when a part of the answer arrives. Over a slow link, a large answer takes longer
    /// than the timeout that detects an unresponsive peer; aborted half read and requested again, the answer
    /// would never arrive.
    void extend_deadline() {
        if (m_completed || m_call.max_duration <= m_call.timeout) {
            return;
        }
        const milliseconds remaining = m_started_at + m_call.max_duration - event_loop::now();
        m_deadline.start(std::clamp(remaining, 0ms, m_call.timeout));
    }

    static void on_error(evhttp_request_error error, void* self) {
        auto* item = static_cast<exchange*>(self);
        item->m_error = error;
        item->m_failed = true;
    }

    static void on_complete(evhttp_request* request, void* self) {
        auto* item = static_cast<exchange*>(self);
        const int socket_error = EVUTIL_SOCKET_ERROR();
        item->m_request = nullptr;
        if (item->m_completed) {
            return;
        }
        http_answer answer;
        if (request == nullptr || evhttp_request_get_response_code(request) == 0 || item->m_failed) {
            answer.status = item->failure_status();
            answer.refused = answer.status == exchange_status::connect_failed && socket_error == ECONNREFUSED;
            item->complete(std::move(answer), false);
            return;
        }
        item->read_answer(request, answer);
        answer.status = has_explicit_end(answer, item->m_command) ? exchange_status::answered
                                                                  : exchange_status::incomplete;
        const bool is_reusable = answer.status == exchange_status::answered &&
                                 !equals_ignoring_case(answer.headers.get("Connection"), "close");
        item->complete(std::move(answer), is_reusable);
    }

    void read_answer(evhttp_request* request, http_answer& answer) const {
        answer.code = evhttp_request_get_response_code(request);
        for (const evkeyval* field = evhttp_request_get_input_headers(request)->tqh_first; field != nullptr;
             field = field->next.tqe_next) {
            answer.headers.add(field->key, field->value);
        }
        evbuffer* body = evhttp_request_get_input_buffer(request);
        answer.body.resize(evbuffer_get_length(body));
        evbuffer_remove(body, answer.body.data(), answer.body.size());
        answer.receive_time = event_loop::now() - m_first_byte_at;
    }

    [[nodiscard]] exchange_status failure_status() const {
        if (!m_connection->has_written) {
            return exchange_status::connect_failed;
        }
        if (m_failed && m_error == EVREQ_HTTP_DATA_TOO_LONG) {
            return exchange_status::too_large;
        }
        if (m_failed && m_error == EVREQ_HTTP_TIMEOUT) {
            return exchange_status::timed_out;
        }
        return exchange_status::reset;
    }

    void on_deadline() {
        http_answer answer;
        answer.status =
            m_connection->has_written ? exchange_status::timed_out : exchange_status::connect_failed;
        complete(std::move(answer), false);
    }

    void complete(http_answer answer, bool reusable) {
        if (m_completed) {
            return;
        }
        m_completed = true;
        m_deadline.cancel();
        m_owner.finish(m_call_id, std::move(answer), reusable);
    }

    http_client& m_owner;
    std::uint64_t m_call_id;
    http_call m_call;
    callback m_done;
    evhttp_cmd_type m_command;
    call_counts& m_counts;
    timer m_deadline;
    std::unique_ptr<connection> m_connection;
    evhttp_request* m_request = nullptr;
    evhttp_request_error m_error = EVREQ_HTTP_EOF;
    bool m_failed = false;
    bool m_completed = false;
    timestamp m_started_at = event_loop::now();
    timestamp m_first_byte_at{0};
    std::size_t m_received_bytes = 0; ///< Of the answer, headers included.
};

void http_client::connection::record_output(std::size_t bytes) {
    owner->m_bytes_sent += bytes;
    if (active_exchange != nullptr) {
        active_exchange->record_output(bytes);
    }
}

void http_client::connection::on_input(evbuffer* input, const evbuffer_cb_info* info, void* self) {
    const auto* item = static_cast<connection*>(self);
    if (info->n_added > 0 && item->active_exchange != nullptr) {
        item->active_exchange->record_input(info->n_added);
    }
    const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(item->handle));
    if (!item->is_limited) {
        read_available(input, socket, info->n_added);
        return;
    }
    // libevent counts the bytes of its own read only once this callback has returned.
    read_limit& limit = *item->owner->m_read_limit;
    const std::size_t allowed = limit.available() - std::min(limit.available(), info->n_added);
    if (const std::size_t bytes = read_available(input, socket, info->n_added, allowed); bytes > 0) {
        limit.record_read(bytes);
    }
}

http_client::http_client(event_loop& loop, http_client_limits limits)
    : m_loop(loop), m_limits(limits),
      m_read_limit(limits.max_limited_read_rate == 0
                       ? nullptr
                       : std::make_unique<read_limit>(loop, limits.max_limited_read_rate)) {
    m_idle_timer = loop.make_timer([this] { close_idle_connections(); });
    m_idle_timer->start(m_limits.max_idle_time);
}

http_client::~http_client() = default;

std::uint64_t http_client::send(http_call call, callback done) {
    const std::uint64_t call_id = m_next_call_id++;
    auto item = std::make_unique<exchange>(*this, call_id, std::move(call), std::move(done));
    exchange* started = item.get();
    m_exchanges.emplace(call_id, std::move(item));
    started->start();
    return call_id;
}

void http_client::cancel(std::uint64_t call_id) {
    // Destroying the exchange frees its connection, which drops the request without a callback.
    m_exchanges.erase(call_id);
}

std::size_t http_client::received_bytes(std::uint64_t call_id) const {
    const auto found = m_exchanges.find(call_id);
    return found == m_exchanges.end() ? 0 : found->second->received_bytes();
}

std::unique_ptr<http_client::connection> http_client::acquire_connection(const endpoint& to, bool fresh) {
    std::vector<std::unique_ptr<connection>>& idle = m_idle_connections[to];
    if (!fresh && !idle.empty()) {
        auto item = std::move(idle.back());
        idle.pop_back();
        return item;
    }
    auto item = std::make_unique<connection>();
    item->to = to;
    item->owner = this;
    item->handle = evhttp_connection_base_new(m_loop.base(), nullptr, to.address.c_str(), to.port);
    evhttp_connection_set_max_body_size(item->handle, static_cast<ev_ssize_t>(m_limits.max_body));
    evhttp_connection_set_max_headers_size(item->handle, static_cast<ev_ssize_t>(m_limits.max_headers));
    evhttp_connection_set_retries(item->handle, 0);
    bufferevent* stream = evhttp_connection_get_bufferevent(item->handle);
    bufferevent_set_max_single_write(stream, max_single_write);
    evbuffer_add_cb(bufferevent_get_output(stream), connection::on_output, item.get());
    evbuffer_add_cb(bufferevent_get_input(stream), connection::on_input, item.get());
    return item;
}

void http_client::return_connection(std::unique_ptr<connection> item) {
    std::vector<std::unique_ptr<connection>>& idle = m_idle_connections[item->to];
    if (idle.size() < m_limits.max_idle_per_endpoint) {
        item->idle_since = event_loop::now();
        idle.push_back(std::move(item));
    }
}

void http_client::finish(std::uint64_t call_id, http_answer answer, bool reusable) {
    const auto found = m_exchanges.find(call_id);
    if (found == m_exchanges.end()) {
        return;
    }
    // evhttp is still executing a callback of the connection here, so the connection is freed or reused
    // later, from a posted callback.
    m_loop.post(
        [this, alive = m_lifetime.weak_token(), call_id, reusable, answer = std::move(answer)]() mutable {
            if (alive.expired()) {
                return;
            }
            const auto item = m_exchanges.find(call_id);
            if (item == m_exchanges.end()) {
                return;
            }
            const auto ended = std::move(item->second);
            m_exchanges.erase(item);
            auto used = ended->release_connection();
            if (reusable) {
                return_connection(std::move(used));
            }
            used.reset();
            if (answer.status == exchange_status::timed_out) {
                close_connections_idle_since(ended->server(), ended->started_at());
            }
            ended->release_callback()(std::move(answer));
        });
}

void http_client::close_connections_idle_since(const endpoint& to, timestamp time) {
    const auto idle = m_idle_connections.find(to);
    if (idle != m_idle_connections.end()) {
        std::erase_if(idle->second, [&](const auto& item) { return item->idle_since <= time; });
    }
}

void http_client::close_idle_connections() {
    const timestamp now = event_loop::now();
    for (auto& [to, idle] : m_idle_connections) {
        std::erase_if(idle,
                      [&](const auto& item) { return now - item->idle_since >= m_limits.max_idle_time; });
    }
    std::erase_if(m_idle_connections, [](const auto& pair) { return pair.second.empty(); });
    m_idle_timer->start(m_limits.max_idle_time);
}

} // namespace siskinpaddle
