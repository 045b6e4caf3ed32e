#include "net/read_on.hpp"

#include <event2/buffer.h>

namespace siskinpaddle {

namespace {

/// What libevent reads of a connection at once, whatever lies there (EVBUFFER_MAX_READ).
constexpr std::size_t read_at_once = 4096;
/// Reads of one connection in one turn of the loop.
constexpr int most_reads = 64;

} // namespace

void read_on(evbuffer* input, evutil_socket_t socket, std::size_t added) {
    thread_local bool reading = false; // Each read here calls back once more.
    if (reading || added < read_at_once) {
        return;
    }
    reading = true;
    for (int reads = 1; reads < most_reads; ++reads) {
        if (evbuffer_read(input, socket, -1) < static_cast<int>(read_at_once)) {
            break;
        }
    }
    reading = false;
}

} // namespace siskinpaddle
