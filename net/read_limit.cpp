#include "net/read_limit.hpp"

#include "net/event_loop.hpp"

#include <algorithm>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace siskinpaddle {

namespace {

/// The rate is kept over each such interval: short compared with the timeouts of calls.
constexpr timeval interval{0, 50'000};
constexpr std::size_t intervals_per_s = 20;
/// What was not read in previous intervals may be read later, up to this many intervals' worth: a busy loop
/// comes round only every 200 ms.
constexpr std::size_t max_saved_intervals = 4;
/// A connection reads at least this much at a time, however many share the rate: less would cost a system
/// call for a fraction of a packet.
constexpr std::size_t min_read_size = 4096;

ev_token_bucket_cfg* make_rate(std::size_t bytes_per_s) {
    const std::size_t bytes = std::max(min_read_size, bytes_per_s / intervals_per_s);
    return ev_token_bucket_cfg_new(bytes, bytes * max_saved_intervals, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX,
                                   &interval);
}

} // namespace

read_limit::read_limit(event_loop& loop, std::size_t bytes_per_s)
    : m_rate(make_rate(bytes_per_s)), m_group(bufferevent_rate_limit_group_new(loop.base(), m_rate)) {
    bufferevent_rate_limit_group_set_min_share(m_group, min_read_size);
}

read_limit::~read_limit() {
    bufferevent_rate_limit_group_free(m_group);
    ev_token_bucket_cfg_free(m_rate);
}

void read_limit::set_rate(std::size_t bytes_per_s) {
    ev_token_bucket_cfg* previous = m_rate;
    m_rate = make_rate(bytes_per_s);
    bufferevent_rate_limit_group_set_cfg(m_group, m_rate);
    ev_token_bucket_cfg_free(previous);
}

void read_limit::add(bufferevent* connection) {
    bufferevent_add_to_rate_limit_group(connection, m_group);
}

// Not static: only a connection of this group may be removed.
void read_limit::remove(bufferevent* connection) { // NOLINT(readability-convert-member-functions-to-static)
    bufferevent_remove_from_rate_limit_group(connection);
}

std::size_t read_limit::available() const {
    return static_cast<std::size_t>(
        std::max<ev_ssize_t>(0, bufferevent_rate_limit_group_get_read_limit(m_group)));
}

void read_limit::record_read(std::size_t bytes) {
    bufferevent_rate_limit_group_decrement_read(m_group, static_cast<ev_ssize_t>(bytes));
}

} // namespace siskinpaddle
