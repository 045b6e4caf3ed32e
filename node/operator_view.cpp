#include "node/operator_view.hpp"

#include "node/keys.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

constexpr std::string_view pools_target = "/pools";
constexpr std::string_view waiting_suffix = "/waiting";
constexpr std::string_view jobs_prefix = "/jobs/";
constexpr std::string_view accounts_target = "/accounts";

boost::json::value text_or_null(const std::string& text) {
    return text.empty() ? boost::json::value(nullptr) : boost::json::value(text);
}

boost::json::object to_json(const jobs::waiting_job& row) {
    return {{"job", row.job},
            {"account", text_or_null(row.account)},
            {"queue", row.queue},
            {"group", row.rank.group},
            {"priority", row.rank.priority},
            {"waiting_ms", row.waiting.count()},
            {"until_objective_ms", row.until_objective.count()},
            {"waiting_tasks", row.waiting_tasks},
            {"running_tasks", row.running_tasks},
            {"reason", name_of(row.reason)}};
}

boost::json::object to_json(const jobs::run_report& item) {
    return {{"index", item.index},          {"attempt", item.attempt},    {"vm", item.vm},
            {"phase", name_of(item.phase)}, {"age_ms", item.age.count()}, {"percent", item.percent}};
}

boost::json::object to_json(const jobs::step_report& step) {
    boost::json::array runs;
    for (const jobs::run_report& item : step.runs) {
        if (runs.size() < operator_view::max_rows) {
            runs.push_back(to_json(item));
        }
    }
    return {{"occurrence", step.occurrence},
            {"step", step.step},
            {"tasks", step.tasks},
            {"done", step.done},
            {"waiting", step.waiting},
            {"reason", step.reason ? boost::json::value(name_of(*step.reason)) : boost::json::value(nullptr)},
            {"runs", std::move(runs)}};
}

boost::json::value limit_or_null(std::int64_t amount) {
    return amount >= jobs::unlimited_amount ? boost::json::value(nullptr) : boost::json::value(amount);
}

} // namespace

std::optional<boost::json::object> operator_view::answer(std::string_view target) const {
    if (target == pools_target) {
        return describe_pools();
    }
    if (target == accounts_target) {
        return describe_accounts();
    }
    if (target.starts_with(jobs_prefix) && target.size() > jobs_prefix.size()) {
        return describe_job(std::string(target.substr(jobs_prefix.size())));
    }
    const std::size_t fixed = pools_target.size() + 1 + waiting_suffix.size();
    if (target.starts_with(std::string(pools_target) + "/") && target.ends_with(waiting_suffix) &&
        target.size() > fixed) {
        return describe_waiting(std::string(target.substr(pools_target.size() + 1, target.size() - fixed)));
    }
    return std::nullopt;
}

const pool_task* operator_view::find_owned(const std::string& pool) const {
    const auto found = m_pools.find(pool_duty(pool));
    return found == m_pools.end() || !m_membership.owns(found->first) ? nullptr : found->second.get();
}

/// Names the node to ask instead.
boost::json::object operator_view::refer_to_owner(const std::string& pool) const {
    const auto owner = m_membership.owner_of(pool_duty(pool));
    return {{"pool", pool},
            {"owner", owner ? boost::json::value(owner->id) : boost::json::value(nullptr)},
            {"address", owner ? boost::json::value(owner->address) : boost::json::value(nullptr)},
            {"owned_here", false}};
}

boost::json::object operator_view::describe_pools() const {
    const timestamp now = event_loop::now();
    boost::json::array rows;
    for (const std::string& pool : m_records.pools_to_own(m_configuration.current())) {
        boost::json::object row = refer_to_owner(pool);
        if (const pool_task* task = find_owned(pool)) {
            const jobs::pool_load load = task->scheduler().load();
            row["owned_here"] = true;
            row["confirmed_ms"] = (m_membership.confirmed_until(pool_duty(pool)) - now).count();
            row["vms"] = load.usable_vms;
            row["usable_cores"] = load.usable_millicores / 1000;
            row["used_cores"] = load.used_millicores / 1000;
            row["waiting_ms"] = load.queue_wait().count();
            row["jobs"] = task->scheduler().job_count();
        }
        rows.push_back(std::move(row));
    }
    return {{"pools", std::move(rows)}};
}

boost::json::object operator_view::describe_waiting(const std::string& pool) const {
    boost::json::object answer = refer_to_owner(pool);
    const pool_task* task = find_owned(pool);
    if (task == nullptr) {
        return answer;
    }
    boost::json::array rows;
    for (const jobs::waiting_job& row : task->scheduler().waiting_jobs(max_rows, event_loop::now())) {
        rows.push_back(to_json(row));
    }
    answer["owned_here"] = true;
    answer["waiting"] = std::move(rows);
    return answer;
}

boost::json::object operator_view::describe_job(const std::string& id) const {
    for (const auto& [duty, task] : m_pools) {
        const auto report = task->scheduler().describe_job(id, max_rows, event_loop::now());
        if (!report || !m_membership.owns(duty)) {
            continue;
        }
        boost::json::array steps;
        for (const jobs::step_report& step : report->steps) {
            steps.push_back(to_json(step));
        }
        return {{"job", id},
                {"pool", task->pool()},
                {"account", text_or_null(report->account)},
                {"queue", report->queue},
                {"phase", name_of(report->phase)},
                {"age_ms", report->age.count()},
                {"until_objective_ms", report->until_objective.count()},
                {"steps", std::move(steps)}};
    }
    return {{"job", id}, {"phase", nullptr}, {"pools", describe_pools().at("pools")}};
}

boost::json::object operator_view::describe_accounts() const {
    boost::json::array rows;
    for (const auto& [duty, task] : m_pools) {
        if (!m_membership.owns(duty)) {
            continue;
        }
        for (const jobs::account_report& report : task->scheduler().describe_accounts()) {
            if (rows.size() >= max_rows) {
                break;
            }
            const jobs::client_account* account = m_configuration.current().accounts.find(report.account);
            rows.push_back({{"account", report.account},
                            {"pool", task->pool()},
                            {"weight", account == nullptr ? 0 : account->weight},
                            {"jobs", report.jobs},
                            {"waiting_jobs", report.waiting_jobs},
                            {"used_millicores", report.used.cpu_millicores},
                            {"allowed_millicores", limit_or_null(report.ceiling.cpu_millicores)},
                            {"used_memory_mb", report.used.memory_mb},
                            {"allowed_memory_mb", limit_or_null(report.ceiling.memory_mb)},
                            {"limited", report.is_limited}});
        }
    }
    return {{"accounts", std::move(rows)}};
}

} // namespace siskinpaddle::node
