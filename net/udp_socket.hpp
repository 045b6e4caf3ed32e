#pragma once

#include "net/event_loop.hpp"
#include "net/http_types.hpp"

#include <functional>
#include <string_view>

namespace siskinpaddle {

/// Sends and receives datagrams on a bound UDP socket.
class udp_socket {
  public:
    using handler = std::function<void(std::string_view datagram, const endpoint& from)>;

    udp_socket(event_loop& loop, handler on_datagram);
    ~udp_socket();
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;

    /// Returns false when the address can't be bound.
    [[nodiscard]] bool bind(const endpoint& local_endpoint);

    /// Sends the datagram, or drops it when it is too large or can't be sent. UDP doesn't guarantee delivery.
    void send(std::string_view datagram, const endpoint& to);

    [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return m_bytes_sent; }

    /// Size in bytes of the largest datagram that is sent or received.
    static constexpr std::size_t max_datagram_bytes = 60'000;

  private:
    void read();

    event_loop& m_loop;
    handler m_handler;
    int m_socket = -1;
    event* m_event = nullptr;
    std::uint64_t m_bytes_sent = 0;
};

} // namespace siskinpaddle
