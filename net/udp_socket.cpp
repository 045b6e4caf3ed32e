#include "net/udp_socket.hpp"

#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace siskinpaddle {

namespace {

sockaddr_in to_sockaddr(const endpoint& where) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(where.port);
    inet_pton(AF_INET, where.address.c_str(), &address.sin_addr);
    return address;
}

endpoint to_endpoint(const sockaddr_in& address) {
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(address.sin_port)};
}

} // namespace

udp_socket::udp_socket(event_loop& loop, handler on_datagram)
    : m_loop(loop), m_handler(std::move(on_datagram)) {}

udp_socket::~udp_socket() {
    if (m_event != nullptr) {
        event_free(m_event);
    }
    if (m_socket >= 0) {
        close(m_socket);
    }
}

bool udp_socket::bind(const endpoint& local_endpoint) {
    m_socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = to_sockaddr(local_endpoint);
    if (m_socket < 0 || ::bind(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        return false;
    }
    m_event = event_new(
        m_loop.base(), m_socket, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<udp_socket*>(self)->read(); }, this);
    return event_add(m_event, nullptr) == 0;
}

void udp_socket::send(std::string_view datagram, const endpoint& to) {
    if (datagram.size() > max_datagram_bytes) {
        return;
    }
    const sockaddr_in address = to_sockaddr(to);
    if (sendto(m_socket, datagram.data(), datagram.size(), 0, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) > 0) {
        m_bytes_sent += datagram.size();
    }
}

void udp_socket::read() {
    constexpr int max_datagrams = 64; // Lets the loop serve other sockets during a flood of datagrams.
    static thread_local std::vector<char> buffer(max_datagram_bytes + 1);
    for (int i = 0; i < max_datagrams; ++i) {
        sockaddr_in from{};
        socklen_t size = sizeof(from);
        const ssize_t length =
            recvfrom(m_socket, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
        if (length < 0) {
            return;
        }
        if (static_cast<std::size_t>(length) <= max_datagram_bytes) {
            m_handler({buffer.data(), static_cast<std::size_t>(length)}, to_endpoint(from));
        }
    }
}

} // namespace siskinpaddle
