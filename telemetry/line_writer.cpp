#include "telemetry/line_writer.hpp"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace siskinpaddle {

namespace {

bool can_write(int descriptor) {
    pollfd item{descriptor, POLLOUT, 0};
    return poll(&item, 1, 0) == 1 && (item.revents & POLLOUT) != 0;
}

} // namespace

void line_writer::write(std::string_view line) {
    if (m_buffer.size() + line.size() + 1 > max_buffered_bytes) {
        ++m_dropped;
        flush();
        return;
    }
    m_buffer += line;
    m_buffer += '\n';
    if (m_buffer.size() >= PIPE_BUF || std::chrono::steady_clock::now() - m_last_flush_at >= coalesce_delay) {
        flush();
    }
}

bool line_writer::flush() {
    m_last_flush_at = std::chrono::steady_clock::now();
    std::size_t written = 0;
    // A pipe that poll() reports as writable accepts PIPE_BUF bytes without blocking; more isn't guaranteed.
    while (written < m_buffer.size() && can_write(m_descriptor)) {
        const std::size_t size = std::min<std::size_t>(PIPE_BUF, m_buffer.size() - written);
        const ssize_t count = ::write(m_descriptor, m_buffer.data() + written, size);
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    m_buffer.erase(0, written);
    return m_buffer.empty();
}

std::uint64_t line_writer::reset_dropped_count() {
    return std::exchange(m_dropped, 0);
}

} // namespace siskinpaddle
