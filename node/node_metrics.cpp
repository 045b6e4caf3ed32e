#include "node/node.hpp"

namespace siskinpaddle::node {

namespace {

/// Names of what the link's traffic is counted by, in the order of link_traffic.
constexpr std::array<std::string_view, 5> link_ends{"vms", "store", "peers", "served", "clients"};

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
