#pragma once

#include <cstddef>

struct bufferevent;
struct bufferevent_rate_limit_group;
struct ev_token_bucket_cfg;

namespace siskinpaddle {

class event_loop;

/// Limits the rate at which a group of connections is read; they share it about equally. Bytes that are not
/// read yet fill the connection's receive window, and the peer then sends no more: the link carries the rate,
/// and a window's worth at the start of each answer. Not thread-safe.
class read_limit {
  public:
    read_limit(event_loop& loop, std::size_t bytes_per_s);
    /// Precondition: every connection has been removed.
    ~read_limit();
    read_limit(const read_limit&) = delete;
    read_limit& operator=(const read_limit&) = delete;

    void set_rate(std::size_t bytes_per_s);
    /// Precondition: the connection is in no group.
    void add(bufferevent* connection);
    void remove(bufferevent* connection);
    /// Number of bytes that the group may read at present.
    [[nodiscard]] std::size_t available() const;
    /// Counts bytes that were read from a connection of the group past its bufferevent.
    void record_read(std::size_t bytes);

  private:
    ev_token_bucket_cfg* m_rate;
    bufferevent_rate_limit_group* m_group;
};

} // namespace siskinpaddle
