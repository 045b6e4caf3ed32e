#pragma once

#include "net/net.hpp"
#include "peer/messages.hpp"
#include "peer/seal.hpp"

#include <functional>
#include <map>
#include <string>

namespace siskinpaddle {

/// Counts of the exchange between peers.
struct peer_usage {
    std::uint64_t heartbeats_sent = 0;
    std::uint64_t heartbeats_received = 0;
    std::uint64_t refused = 0; ///< Messages with a wrong seal, version or form.
    std::uint64_t pulls = 0;
};

/// Owns the sockets between entries: a UDP socket for heartbeats and a TCP listener for values, on one port
/// number. The TCP listener is bound as long as the process lives, which is what makes a refused connection a
/// proof that the process has ended. Refuses and counts whatever isn't sealed by the shared key.
class peer_task {
  public:
    struct handlers {
        std::function<void(const heartbeat&)> on_heartbeat;
        std::function<value_reply(const value_request&)> on_request;
    };

    peer_task(event_loop& loop, std::string key, handlers on_message);

    /// Returns false when the address can't be bound.
    [[nodiscard]] bool listen(const endpoint& where);

    void send(const heartbeat& message, const endpoint& to);

    /// Asks the peer for newer values. `done` gets nothing when no good answer came.
    void pull(const value_request& request, const endpoint& from,
              std::function<void(std::optional<value_reply>)> done);

    /// Finds out whether a process listens at the peer's port: calls back with true only when the port
    /// refused.
    void probe(const endpoint& peer, std::function<void(bool refused)> done);

    /// While set, nothing is sent to peers or taken from them, as in a partition.
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
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
        m_latest_heartbeats; ///< Incarnation and sequence by id.
    udp_socket m_udp;
    frame_server m_server;
    frame_client m_client;
};

} // namespace siskinpaddle
