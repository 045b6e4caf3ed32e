#pragma once

#include "net/net.hpp"
#include "node/peer_protocol.hpp"

#include <functional>

namespace siskinpaddle::node {

/// Calls other nodes over HTTP with cereal bodies. The outcome is `unreachable` if no connection can be made,
/// and `unknown` if a call ends without a valid answer.
class peer_client {
  public:
    using callback = std::function<void(const peer_answer&)>;

    explicit peer_client(event_loop& loop);

    void call(const endpoint& to, const peer_request& request, milliseconds timeout, callback done);
    [[nodiscard]] byte_counts traffic() const noexcept { return m_client.traffic(); }
    /// Calls so far by the kind of request.
    [[nodiscard]] const std::map<std::string, call_counts>& calls_by_purpose() const noexcept {
        return m_client.calls_by_purpose();
    }

  private:
    http_client m_client;
};

/// Answers other nodes' calls.
class peer_server {
  public:
    using reply = std::function<void(const peer_answer&)>;
    using handler = std::function<void(const peer_request&, reply)>;

    peer_server(event_loop& loop, const http_server_limits& limits, handler on_request);

    [[nodiscard]] bool listen(const endpoint& where) { return m_server.listen(where); }
    [[nodiscard]] const http_server& server() const noexcept { return m_server; }
    [[nodiscard]] const byte_counts& traffic() const noexcept { return m_server.traffic(); }

  private:
    void handle_request(const std::shared_ptr<server_request>& request);

    handler m_handler;
    http_server m_server;
};

} // namespace siskinpaddle::node
