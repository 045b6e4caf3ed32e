#pragma once

#include "net/net.hpp"

#include <unistd.h>

namespace siskinpaddle::tests {

/// A port of the loopback address that nobody listens on. It comes from a range of this test process that
/// lies below the ports the system gives to outgoing connections (from 32768), which could else take it
/// between this call and its use. Returns 0 when the range is used up.
inline std::uint16_t free_port() {
    constexpr int range_start = 10'000;
    constexpr int range_size = 500; // More than any test file takes.
    constexpr int range_count = 40; // More than run side by side; the last ends at 30000.
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
