#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace siskinpaddle {

/// Writes lines to a file descriptor without ever waiting for its reader: lines that can't be written are
/// buffered up to a limit; beyond it, lines are dropped and counted. A log reader that stalls would otherwise
/// block the process at its next line, while the process holds leases that others depend on. Not thread-safe.
class line_writer {
  public:
    explicit line_writer(int descriptor) : m_descriptor(descriptor) {}

    /// Adds one line, passed without its line end. Buffered lines are written together: once they fill
    /// PIPE_BUF bytes, with the first line that comes `coalesce_delay` or more after the last write, or by
    /// flush().
    void write(std::string_view line);
    /// Writes as much as the reader accepts now. Returns true when the buffer is empty.
    bool flush();

    /// Returns the number of lines dropped since the last call.
    [[nodiscard]] std::uint64_t reset_dropped_count();

    /// Lines that come within this time are written with one call.
    static constexpr std::chrono::milliseconds coalesce_delay{20};
    /// Limit of the buffer for a slow reader: some seconds of a busy node's log, and small compared with the
    /// memory of the smallest machine.
    static constexpr std::size_t max_buffered_bytes = 256U << 10U;

  private:
    int m_descriptor;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::chrono::steady_clock::time_point m_last_flush_at;
};

} // namespace siskinpaddle
