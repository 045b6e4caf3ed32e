#include "peer/peer_task.hpp"

namespace siskinpaddle {

namespace {

constexpr milliseconds pull_timeout = 2s;
constexpr milliseconds probe_timeout = 1s;

/// Verifies and decodes a message. Returns nothing when the seal is wrong or the body is damaged.
template <typename Message>
std::optional<Message> unseal_message(std::string_view key, message_kind kind, std::string_view sealed) {
    const auto body = unseal(key, kind, sealed);
    if (!body) {
        return std::nullopt;
    }
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<Message>> {
            BOOST_LEAF_AUTO(message, decode_archive<Message>(*body));
            return std::optional<Message>(std::move(message));
        },
        [] { return std::optional<Message>(); });
}

} // namespace

peer_task::peer_task(event_loop& loop, std::string key, handlers on_message)
    : m_key(std::move(key)), m_handlers(std::move(on_message)),
      m_udp(loop, [this](std::string_view datagram, const endpoint&) { handle_heartbeat(datagram); }),
      m_server(loop, [this](std::string_view frame) { return handle_request(frame); }), m_client(loop) {}

bool peer_task::listen(const endpoint& where) {
    return m_server.listen(where) && m_udp.bind(where);
}

void peer_task::send(const heartbeat& message, const endpoint& to) {
    if (m_is_partitioned) {
        return;
    }
    ++m_usage.heartbeats_sent;
    m_udp.send(seal(m_key, message_kind::heartbeat, encode_archive(message)), to);
}

void peer_task::handle_heartbeat(std::string_view datagram) {
    if (m_is_partitioned) {
        return;
    }
    const auto message = unseal_message<heartbeat>(m_key, message_kind::heartbeat, datagram);
    if (!message) {
        ++m_usage.refused;
        return;
    }
    auto& [incarnation, sequence] = m_latest_heartbeats[message->id];
    if (message->incarnation < incarnation ||
        (message->incarnation == incarnation && message->sequence <= sequence)) {
        // UDP can deliver a heartbeat late or twice. Its applied revisions and requests in progress are
        // outdated by then.
        return;
    }
    incarnation = message->incarnation;
    sequence = message->sequence;
    ++m_usage.heartbeats_received;
    m_handlers.on_heartbeat(*message);
}

std::string peer_task::handle_request(std::string_view frame) {
    const auto request = unseal_message<value_request>(m_key, message_kind::value_request, frame);
    if (m_is_partitioned) {
        return {};
    }
    if (!request) {
        ++m_usage.refused;
        return {};
    }
    return seal(m_key, message_kind::value_reply, encode_archive(m_handlers.on_request(*request)));
}

void peer_task::pull(const value_request& request, const endpoint& from,
                     std::function<void(std::optional<value_reply>)> done) {
    ++m_usage.pulls;
    m_client.send(from, seal(m_key, message_kind::value_request, encode_archive(request)), pull_timeout,
                  [this, done = std::move(done)](stream_status status, std::string_view frame) {
                      if (status != stream_status::answered) {
                          done(std::nullopt);
                          return;
                      }
                      auto reply = unseal_message<value_reply>(m_key, message_kind::value_reply, frame);
                      m_usage.refused += reply ? 0 : 1;
                      done(std::move(reply));
                  });
}

void peer_task::probe(const endpoint& peer, std::function<void(bool)> done) {
    m_client.send(peer, {}, probe_timeout, [done = std::move(done)](stream_status status, std::string_view) {
        done(status == stream_status::refused);
    });
}

} // namespace siskinpaddle
