#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace siskinpaddle {

/// Writes lines to a file descriptor without ever waiting for its reader: what can't be written is kept up to
/// a bound, beyond it lines are dropped and counted. Answers a log reader that stalls, which would otherwise
/// stop the process with its next line while it holds leases that others live by. Not thread-safe.
class line_writer {
  public:
    explicit line_writer(int descriptor) : m_descriptor(descriptor) {}

    /// Takes one line without its end. Lines are written together, at most this much later, or with flush().
    void write(std::string_view line);
    /// Writes what the reader takes now. Returns true when nothing is left.
    bool flush();

    /// Lines dropped since the last call.
    [[nodiscard]] std::uint64_t reset_dropped_count();

    /// Lines that come within this are written with one call.
    static constexpr std::chrono::milliseconds coalesce_delay{20};
    /// Kept for a slow reader: some seconds of a busy node, small against the memory of the smallest machine.
    static constexpr std::size_t max_buffered_bytes = 256U << 10U;

  private:
    int m_descriptor;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::chrono::steady_clock::time_point m_last_flush_at;
};

} // namespace siskinpaddle
