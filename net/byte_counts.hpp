#pragma once

#include <cstdint>

namespace siskinpaddle {

/// Bytes that a client or a server has sent and received since it was created.
struct byte_counts {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

} // namespace siskinpaddle
