#pragma once

#include "net/net.hpp"
#include "peer/messages.hpp"
#include "peer/seal.hpp"

#include <functional>
#include <map>
#include <string>

namespace siskinpaddle {

/// Counters of the traffic between peers.
struct peer_usage {
    std::uint64_t heartbeats_sent = 0;
    std::uint64_t heartbeats_received = 0;
    std::uint64_t refused = 0; ///< Messages with a wrong seal or version, or that can't be decoded.
    std::uint64_t pulls = 0;
};

/// Owns the sockets between entries: a UDP socket for heartbeats and a TCP listener for values, on the same
/// port number. The TCP listener stays bound as long as the process exists, so a refused connection proves
/// that the process has ended. Messages that aren't sealed with the shared key are refused and counted.
class peer_task {
  public:
    struct handlers {
        std::function<void(const heartbeat&)> on_heartbeat;
        std::function<value_reply(const value_request&)> on_request;
    };

    peer_task(event_loop& loop, std::string key, handlers on_message);

    /// Binds both sockets. Returns false when the address can't be bound.
    [[nodiscard]] bool listen(const endpoint& where);

    void send(const heartbeat& message, const endpoint& to);

    /// Requests newer values from the peer. Calls `done` with nothing when no valid reply arrived in time.
    void pull(const value_request& request, const endpoint& from,
              std::function<void(std::optional<value_reply>)> done);

    /// Checks whether a process listens at the peer's port. Calls `done` with true only when the connection
    /// was refused.
    void probe(const endpoint& peer, std::function<void(bool refused)> done);

    /// Simulates a network partition: while set, heartbeats are neither sent nor accepted and requests from
    /// peers get an empty reply. Pulls and probes by this entry are not affected.
    void set_partitioned(bool partitioned) { m_is_partitioned = partitioned; }

    [[nodiscard]] const peer_usage& usage() const noexcept { return m_usage; }
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept {
        return m_udp.bytes_sent() + m_server.bytes_sent();
    }

  private:
    void handle_heartbeat(std::string_view datagram);
    std::string handle_request(std::string_view frame);

    std::string m_key;
    bool m_is_partitioned = false;
    handlers m_handlers;
    peer_usage m_usage;
    /// Incarnation and sequence by entry id.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> m_latest_heartbeats;
    udp_socket m_udp;
    frame_server m_server;
    frame_client m_client;
};

} // namespace siskinpaddle
