#pragma once

#include "net/net.hpp"

#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace siskinpaddle::tests {

/// What each connection of a crowd sends.
struct crowd_script {
    std::string opening;         ///< Sent once.
    std::string block;           ///< Sent again and again after that; empty: nothing more.
    std::size_t total_bytes = 0; ///< Sent at most.
};

/// Connections to one address that send by a script and never read. Not thread-safe.
class client_crowd {
  public:
    client_crowd(const endpoint& where, std::size_t connections, crowd_script script)
        : m_script(std::move(script)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(where.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        for (std::size_t i = 0; i < connections; ++i) {
            const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            const int result = connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
            const bool is_usable = result == 0 || errno == EINPROGRESS;
            m_connections.push_back({socket, 0, !is_usable});
        }
    }
    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;
    ~client_crowd() {
        for (const connection& item : m_connections) {
            close(item.socket);
        }
    }

    /// Sends what the connections take. Returns the number of bytes that were sent.
    std::size_t send_more() {
        std::size_t sent = 0;
        for (connection& item : m_connections) {
            sent += send_on(item);
        }
        m_sent_bytes += sent;
        return sent;
    }

    [[nodiscard]] std::size_t sent_bytes() const noexcept { return m_sent_bytes; }

  private:
    struct connection {
        int socket = -1;
        std::size_t sent = 0;
        bool has_ended = false;
    };

    /// Sends at most this much on a connection at a time, so that all send side by side.
    static constexpr std::size_t max_turn_bytes = 256U << 10U;

    std::size_t send_on(connection& item) const {
        const std::size_t limit = m_script.block.empty() ? m_script.opening.size() : m_script.total_bytes;
        const std::size_t before = item.sent;
        while (!item.has_ended && item.sent < limit && item.sent - before < max_turn_bytes) {
            const bool opens = item.sent < m_script.opening.size();
            const std::string& text = opens ? m_script.opening : m_script.block;
            const std::size_t offset =
                opens ? item.sent : (item.sent - m_script.opening.size()) % m_script.block.size();
            const ssize_t result = ::send(item.socket, text.data() + offset,
                                          std::min(text.size() - offset, limit - item.sent), MSG_NOSIGNAL);
            if (result < 0) {
                item.has_ended = errno != EAGAIN && errno != ENOTCONN && errno != EINPROGRESS;
                break;
            }
            item.sent += static_cast<std::size_t>(result);
        }
        return item.sent - before;
    }

    crowd_script m_script;
    std::vector<connection> m_connections;
    std::size_t m_sent_bytes = 0;
};

} // namespace siskinpaddle::tests
