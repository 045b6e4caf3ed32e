#include "node/pool_task.hpp"

namespace siskinpaddle::node {

/// The account of a job that the owner knows; nothing if it knows no such job.
std::optional<std::string> pool_task::account_of_job(const std::string& job) const {
    if (const jobs::job_state* state = m_scheduler.find_job(job)) {
        return state->account();
    }
    if (const auto ended = m_ended.find(job); ended != m_ended.end()) {
        return ended->second.account;
    }
    if (const auto waiting = m_inbox_jobs.find(job); waiting != m_inbox_jobs.end()) {
        return waiting->second.record.account;
    }
    if (const auto submitting = m_submitting.find(job); submitting != m_submitting.end()) {
        return submitting->second;
    }
    return std::nullopt;
}

bool pool_task::belongs_to_other_account(const std::string& job, const std::string& account) const {
    const std::optional<std::string> owner = account_of_job(job);
    return owner && !jobs::may_access_job(*owner, account);
}

findings pool_task::check_account_limit(const peer_request& request) const {
    const jobs::client_account* account = m_context.configuration.current().accounts.find(request.account);
    return account == nullptr ? findings{} : jobs::check_limit(request.spec, account->limit);
}

void pool_task::set_account_weights(const jobs::client_accounts& accounts) {
    std::map<std::string, double> weights;
    for (const jobs::client_account& account : accounts.all()) {
        weights.emplace(account.name, account.weight);
    }
    m_scheduler.shares().set_weights(std::move(weights));
}

/// Sets what the accounts may use. If the configuration may be outdated, accounts with a limit start nothing:
/// a limit that was lowered meanwhile would be exceeded by a node that can't hear of it.
void pool_task::apply_ceilings(timestamp now) {
    std::map<std::string, jobs::resources> ceilings = m_allowances.allowances().ceilings();
    const milliseconds age = m_context.configuration.age(now);
    const bool confirmed = age <= m_context.settings.configuration_time || ceilings.empty();
    if (confirmed != m_limits_confirmed) {
        m_limits_confirmed = confirmed;
        log_event(confirmed ? event_id::limits_confirmed : event_id::limits_unconfirmed,
                  {{"pool", m_pool}, {"configuration_age_ms", age.count()}});
    }
    if (!confirmed) {
        for (auto& [account, ceiling] : ceilings) {
            ceiling = {};
        }
    }
    m_scheduler.accounts().set_ceilings(std::move(ceilings));
    m_scheduler.accounts().set_limits(m_allowances.allowances().limits());
}

void pool_task::update_allowances(timestamp now) {
    m_allowances.update(m_scheduler.accounts().demand(), now);
    std::set<std::string> limited = m_allowances.allowances().limited_accounts();
    for (const std::string& account : limited) {
        if (!m_scheduler.accounts().is_limited(account)) {
            const jobs::account_demand demand = m_scheduler.accounts().demand_of(account);
            log_event(event_id::account_limited, {{"pool", m_pool},
                                                  {"account", account},
                                                  {"cpu_used", demand.used.cpu_millicores},
                                                  {"cpu_blocked", demand.blocked.cpu_millicores},
                                                  {"memory_mb_used", demand.used.memory_mb},
                                                  {"memory_mb_blocked", demand.blocked.memory_mb}});
        }
    }
    for (const std::string& account : m_scheduler.accounts().limited()) {
        if (!limited.contains(account)) {
            log_event(event_id::account_not_limited, {{"pool", m_pool}, {"account", account}});
        }
    }
    m_scheduler.accounts().set_limited(std::move(limited));
}

} // namespace siskinpaddle::node
