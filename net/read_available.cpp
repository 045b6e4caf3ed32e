#include "net/read_available.hpp"

#include <algorithm>
#include <event2/buffer.h>

namespace siskinpaddle {

namespace {

/// Bytes that libevent reads from a connection at a time, even if more are available (EVBUFFER_MAX_READ).
constexpr std::size_t libevent_read_size = 4096;
/// Maximum number of reads from one connection in one iteration of the event loop.
constexpr int max_reads = 64;

} // namespace

std::size_t read_available(evbuffer* input, evutil_socket_t socket, std::size_t added_bytes,
                           std::size_t max_bytes) {
    thread_local bool reading = false; // Each read below calls the callback again.
    if (reading || added_bytes < libevent_read_size) {
        return 0;
    }
    reading = true;
    std::size_t total = 0;
    for (int reads = 1; reads < max_reads && total < max_bytes; ++reads) {
        const std::size_t wanted = std::min(libevent_read_size, max_bytes - total);
        const int read = evbuffer_read(input, socket, static_cast<int>(wanted));
        total += static_cast<std::size_t>(std::max(0, read));
        if (read < static_cast<int>(wanted)) {
            break;
        }
    }
    reading = false;
    return total;
}

} // namespace siskinpaddle
