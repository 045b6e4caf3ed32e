#include "node/node.hpp"

namespace siskinpaddle::node {

namespace {

/// Names of what the link's traffic is counted by, in the order of link_traffic.
constexpr std::array<std::string_view, 5> link_ends{"vms", "store", "peers", "served", "clients"};

/// Interval between the log's lines about connections that were closed because of limits.
constexpr milliseconds limits_log_interval = 1s;

} // namespace

void node::set_account_metrics(const pool_task& task) {
    const auto set = [&](const std::string& name, const std::string& account, const jobs::resources& amount) {
        const std::string label = "{account=\"" + account + "\",pool=\"" + task.pool() + "\"}";
        m_counters.set("account_" + name + "_millicores" + label,
                       static_cast<std::uint64_t>(amount.cpu_millicores));
        m_counters.set("account_" + name + "_memory_mb" + label,
                       static_cast<std::uint64_t>(amount.memory_mb));
    };
    const jobs::account_ledger& ledger = task.scheduler().accounts();
    for (const auto& [account, ceiling] : task.allowances().ceilings()) {
        const auto demand = ledger.demand_of(account);
        set("used", account, demand.used);
        set("blocked", account, demand.blocked);
        set("allowance", account, ceiling);
    }
    for (const jobs::client_account& account : m_configuration.current().accounts.all()) {
        if (account.has_limit()) {
            set("limit", account.name, account.limit);
        }
    }
}

/// Sets how often this node has called one kind of server for what, and the bytes of these calls.
void node::set_call_metrics(const std::string& server, const std::map<std::string, call_counts>& calls) {
    for (const auto& [purpose, counts] : calls) {
        const std::string label =
            std::string("{to=\"").append(server).append("\",purpose=\"").append(purpose).append("\"}");
        m_counters.set("calls" + label, counts.calls);
        m_counters.set("call_sent_bytes" + label, counts.bytes.sent);
        m_counters.set("call_received_bytes" + label, counts.bytes.received);
    }
}

node::listener_table node::listeners() const {
    return {{{"clients", &m_ingress.server()},
             {"readiness", &m_readiness},
             {"peers", &m_peer_server.server()},
             {"metrics", &m_metrics_server}}};
}

void node::set_connection_metrics() {
    for (const auto& [name, server] : listeners()) {
        const std::string label = "listener=\"" + std::string(name) + "\"";
        m_counters.set("connections{" + label + "}", server->connection_count());
        m_counters.set("connection_held_bytes{" + label + "}", server->held_bytes());
        const closed_connections& closed = server->closed_by_limits();
        m_counters.set("connections_closed{" + label + ",limit=\"connections\"}", closed.over_count);
        m_counters.set("connections_closed{" + label + ",limit=\"held\"}", closed.over_held);
    }
}

/// Logs, once a second at most, how many connections the listeners closed because of their limits.
void node::log_closed_connections(timestamp now) {
    if (now - m_limits_logged_at < limits_log_interval) {
        return;
    }
    m_limits_logged_at = now;
    const listener_table table = listeners();
    for (std::size_t i = 0; i < table.size(); ++i) {
        const auto& [name, server] = table.at(i);
        const closed_connections logged = std::exchange(m_logged_closures.at(i), server->closed_by_limits());
        const closed_connections& closed = m_logged_closures.at(i);
        if (closed != logged) {
            log_event(event_id::connections_closed, {{"listener", name},
                                                     {"over_count", closed.over_count - logged.over_count},
                                                     {"over_held", closed.over_held - logged.over_held},
                                                     {"open", server->connection_count()},
                                                     {"held_kb", server->held_bytes() >> 10U}});
        }
    }
}

/// Answers a request on the metrics address: a question of an operator, else the metrics.
void node::answer_operator(server_request& request) {
    const auto answer = m_operator_view.answer(path_of_target(request.target()));
    if (!answer) {
        request.reply(200, {}, metrics_text());
        return;
    }
    http_headers headers;
    headers.add("Content-Type", "application/json");
    request.reply(200, headers, boost::json::serialize(*answer));
}

std::string node::metrics_text() {
    set_call_metrics("store", m_store.calls_by_purpose());
    set_call_metrics("vms", m_vms.calls_by_purpose());
    set_call_metrics("machines", m_machines.calls_by_purpose());
    set_call_metrics("peers", m_peers.calls_by_purpose());
    const milliseconds silence = m_store.unresponsive_for(event_loop::now());
    m_counters.set("store_unanswered_ms", static_cast<std::uint64_t>(silence.count()));
    m_counters.set("configuration_version", static_cast<std::uint64_t>(m_configuration.current().version));
    m_counters.set("configuration_age_ms",
                   static_cast<std::uint64_t>(m_configuration.age(event_loop::now()).count()));
    m_counters.set("loop_lag_ms",
                   static_cast<std::uint64_t>(std::exchange(m_longest_lag, milliseconds(0)).count()));
    const link_traffic link = traffic();
    for (std::size_t end = 0; end < link.size(); ++end) {
        const std::string label = "{end=\"" + std::string(link_ends.at(end)) + "\"}";
        m_counters.set("link_sent_bytes" + label, link.at(end).sent);
        m_counters.set("link_received_bytes" + label, link.at(end).received);
    }
    set_connection_metrics();
    for (const auto& [duty, task] : m_pools) {
        const std::string label = "{pool=\"" + task->pool() + "\"}";
        m_counters.set("pool_jobs" + label, task->scheduler().job_count());
        m_counters.set("pool_inbox_jobs" + label, task->inbox_jobs());
        m_counters.set("pool_inbox_age_ms" + label, static_cast<std::uint64_t>(task->inbox_age().count()));
        set_account_metrics(*task);
    }
    return m_counters.to_text();
}

} // namespace siskinpaddle::node
