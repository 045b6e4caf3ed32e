#include "node/node.hpp"

namespace siskinpaddle::node {

namespace {

constexpr milliseconds link_log_interval = 1s;
/// Share of the link in use from which its load is logged.
constexpr double logged_link_share = 0.25;
constexpr double kilobytes_per_megabit = 125;

std::int64_t kilobytes(std::uint64_t bytes, double seconds) {
    return static_cast<std::int64_t>(static_cast<double>(bytes) / 1000 / seconds);
}

} // namespace

node::link_traffic node::traffic() const {
    return {m_vms.traffic(), m_store.traffic(), m_peers.traffic(), m_peer_server.traffic(),
            m_ingress.traffic()};
}

/// Lets the store's large answers in the background have what everything else leaves of the link.
void node::share_link(timestamp now) {
    std::uint64_t received = 0;
    for (const byte_counts& end : traffic()) {
        received += end.received;
    }
    received -= m_store.background_bytes_received();
    const milliseconds elapsed = now - std::exchange(m_link_shared_at, now);
    const std::uint64_t bytes = received - std::exchange(m_other_bytes_received, received);
    if (elapsed > 0ms) {
        m_store.set_other_receive_rate(bytes * 1000 / static_cast<std::uint64_t>(elapsed.count()));
    }
}

/// Logs what the node's link carried in the last second, by the other end, if that is much of what it can
/// carry: the link of a pool's owner bounds what the pool can start.
void node::log_link_load(timestamp now) {
    if (now - m_link_logged_at < link_log_interval) {
        return;
    }
    const link_traffic present = traffic();
    const link_traffic previous = std::exchange(m_link_traffic, present);
    const double seconds = static_cast<double>((now - std::exchange(m_link_logged_at, now)).count()) / 1000;
    const auto sent = [&](std::size_t end) {
        return kilobytes(present[end].sent - previous[end].sent, seconds);
    };
    const auto received = [&](std::size_t end) {
        return kilobytes(present[end].received - previous[end].received, seconds);
    };
    std::int64_t total_sent = 0;
    std::int64_t total_received = 0;
    for (std::size_t end = 0; end < present.size(); ++end) {
        total_sent += sent(end);
        total_received += received(end);
    }
    const std::string store_reads = describe_store_reads(seconds);
    const double link_kb = m_settings.link_mbps * kilobytes_per_megabit;
    if (static_cast<double>(std::max(total_sent, total_received)) < link_kb * logged_link_share) {
        return;
    }
    // In the order of traffic().
    log_event(event_id::link_load, {{"vms_out", sent(0)},
                                    {"vms_in", received(0)},
                                    {"store_out", sent(1)},
                                    {"store_in", received(1)},
                                    {"peers_out", sent(2)},
                                    {"peers_in", received(2)},
                                    {"served_out", sent(3)},
                                    {"served_in", received(3)},
                                    {"clients_out", sent(4)},
                                    {"clients_in", received(4)},
                                    {"link_kb", static_cast<std::int64_t>(link_kb)}});
    log_event(event_id::store_reads, {{"kb", store_reads}});
}

/// Kilobytes a second that the store has sent since the last call, by the purpose of its calls.
std::string node::describe_store_reads(double seconds) {
    std::string text;
    for (const auto& [purpose, counts] : m_store.calls_by_purpose()) {
        const std::uint64_t bytes = counts.bytes.received;
        const std::int64_t read = kilobytes(bytes - std::exchange(m_store_reads[purpose], bytes), seconds);
        if (read > 0) {
            text += (text.empty() ? "" : ",") + purpose + ":" + std::to_string(read);
        }
    }
    return text.empty() ? "-" : text;
}

} // namespace siskinpaddle::node
