#pragma once

#include <cstdint>

namespace siskinpaddle {

/// Bytes that a client or a server has sent and received since it was created.
struct byte_counts {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// Calls of one purpose that a client has sent since it was created, with the bytes of requests and answers.
struct call_counts {
    std::uint64_t calls = 0;
    byte_counts bytes;
};

} // namespace siskinpaddle
