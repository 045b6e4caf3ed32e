#pragma once

#include "net/net.hpp"

#include <unistd.h>

namespace siskinpaddle::tests {

/// Returns a loopback port on which no process listens, or 0 when the range is used up. The port is from a
/// range of this test process below the ports that the system assigns to outgoing connections (from 32768);
/// such a connection could otherwise occupy the port between this call and its use.
inline std::uint16_t free_port() {
    constexpr int range_start = 10'000;
    constexpr int range_size = 500; // More than any test file uses.
    constexpr int range_count = 40; // More than the tests that run in parallel; the last range ends at 30000.
    static const int first_port = range_start + getpid() % range_count * range_size;
    static int next_offset = 0;
    for (int tries = 0; tries < range_size; ++tries) {
        const auto port = static_cast<std::uint16_t>(first_port + next_offset++ % range_size);
        event_loop probe_loop;
        http_server probe(probe_loop, {}, [](const std::shared_ptr<server_request>&) {});
        if (probe.listen({"127.0.0.1", port})) {
            return port;
        }
    }
    return 0;
}

} // namespace siskinpaddle::tests
