#include "net/read_available.hpp"

#include <event2/buffer.h>

namespace siskinpaddle {

namespace {

/// Bytes that libevent reads from a connection at a time, even if more are available (EVBUFFER_MAX_READ).
constexpr std::size_t libevent_read_size = 4096;
/// Maximum number of reads from one connection in one iteration of the event loop.
constexpr int max_reads = 64;

} // namespace

void read_available(evbuffer* input, evutil_socket_t socket, std::size_t added_bytes) {
    thread_local bool reading = false; // Each read below calls the callback again.
    if (reading || added_bytes < libevent_read_size) {
        return;
    }
    reading = true;
    for (int reads = 1; reads < max_reads; ++reads) {
        if (evbuffer_read(input, socket, -1) < static_cast<int>(libevent_read_size)) {
            break;
        }
    }
    reading = false;
}

} // namespace siskinpaddle
