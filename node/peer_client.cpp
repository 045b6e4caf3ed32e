#include "node/peer_client.hpp"

#include "telemetry/telemetry.hpp"

namespace siskinpaddle::node {

namespace {

/// Connections stay open between the calls of a busy node: a handshake costs more than an idle descriptor.
constexpr milliseconds max_connection_idle = 20s;
constexpr const char* content_type = "application/octet-stream";

} // namespace

peer_client::peer_client(event_loop& loop)
    : m_client(loop, {.max_idle_per_endpoint = 16, .max_idle_time = max_connection_idle}) {}

void peer_client::call(const endpoint& to, const peer_request& request, milliseconds timeout, callback done) {
    http_call call;
    call.purpose = name_of(static_cast<peer_request_kind>(request.kind));
    call.to = to;
    call.method = "POST";
    call.target = "/peer";
    call.headers.add("Content-Type", content_type);
    call.body = encode_archive(request);
    call.timeout = timeout;
    m_client.send(std::move(call), [done = std::move(done)](const http_answer& answer) {
        if (answer.status != exchange_status::answered || answer.code != 200) {
            const bool unsent = answer.status == exchange_status::connect_failed;
            done(make_answer(unsent ? peer_outcome::unreachable : peer_outcome::unanswered));
            return;
        }
        const auto decoded = decode_archive<peer_answer>(answer.body);
        done(decoded ? decoded.value() : make_answer(peer_outcome::unanswered));
    });
}

peer_server::peer_server(event_loop& loop, const http_server_limits& limits, handler on_request)
    : m_handler(std::move(on_request)),
      m_server(loop, limits,
               [this](const std::shared_ptr<server_request>& request) { handle_request(request); }) {}

void peer_server::handle_request(const std::shared_ptr<server_request>& request) {
    const auto decoded = decode_archive<peer_request>(request->body());
    if (!decoded) {
        log_event(event_id::peer_message_refused, {{"peer", request->peer()}});
        request->reply(400, {}, "");
        return;
    }
    m_handler(decoded.value(), [request](const peer_answer& answer) {
        http_headers headers;
        headers.add("Content-Type", content_type);
        request->reply(200, headers, encode_archive(answer));
    });
}

} // namespace siskinpaddle::node
