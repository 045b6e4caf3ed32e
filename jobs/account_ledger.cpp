#include "jobs/account_ledger.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

namespace {

resources amount_or_unlimited(const std::map<std::string, resources>& amounts, const std::string& account) {
    const auto found = amounts.find(account);
    return found == amounts.end() ? unlimited_resources : found->second;
}

} // namespace

void account_ledger::add_run(const std::string& account, const resources& need, bool adopted) {
    if (!account.empty()) {
        usage& item = m_usage[account];
        (adopted ? item.adopted : item.own) += need;
    }
}

void account_ledger::remove_run(const std::string& account, const resources& need, bool adopted) {
    if (account.empty()) {
        return;
    }
    usage& item = m_usage[account];
    (adopted ? item.adopted : item.own) -= need;
    if (item.own == resources{} && item.adopted == resources{}) {
        m_usage.erase(account);
    }
}

resources account_ledger::used(const std::string& account) const {
    resources own;
    resources adopted;
    if (const auto found = m_usage.find(account); found != m_usage.end()) {
        own = found->second.own;
        adopted = found->second.adopted;
    }
    if (const auto found = m_inherited.find(account); found != m_inherited.end()) {
        adopted = max_of(adopted, found->second);
    }
    own += adopted;
    return own;
}

resources account_ledger::ceiling(const std::string& account) const {
    return amount_or_unlimited(m_ceilings, account);
}

resources account_ledger::limit(const std::string& account) const {
    return amount_or_unlimited(m_limits, account);
}

bool account_ledger::admits(const std::string& account, const resources& need) const {
    const auto ceiling = m_ceilings.find(account);
    if (ceiling == m_ceilings.end()) {
        return true;
    }
    const resources used_now = used(account);
    const auto fits = [&](std::int64_t resources::*amount) {
        return need.*amount == 0 || used_now.*amount + need.*amount <= ceiling->second.*amount;
    };
    return fits(&resources::cpu_millicores) && fits(&resources::memory_mb) && fits(&resources::accelerators);
}

void account_ledger::record_blocked(const std::string& account, const resources& need) {
    m_blocked[account] += need;
}

void account_ledger::bound_blocked(const resources& free) {
    for (auto& [account, need] : m_blocked) {
        need = min_of(need, free);
    }
}

account_demand account_ledger::demand_of(const std::string& account) const {
    const auto blocked = m_blocked.find(account);
    return {used(account), blocked == m_blocked.end() ? resources{} : blocked->second};
}

std::map<std::string, account_demand> account_ledger::demand() const {
    std::map<std::string, account_demand> result;
    for (const auto& [account, item] : m_usage) {
        result[account].used = used(account);
    }
    for (const auto& [account, allowed] : m_inherited) {
        result[account].used = used(account);
    }
    for (const auto& [account, need] : m_blocked) {
        result[account].blocked = need;
    }
    return result;
}

findings check_limit(const job_spec& spec, const resources& limit) {
    findings problems;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        const step_spec& step = spec.steps[i];
        resources at_once;
        for (std::uint32_t task = 0; task < (step.gang ? step.count : 1); ++task) {
            at_once += step.need;
        }
        if (!at_once.fits_in(limit)) {
            problems.add("/steps/" + std::to_string(i), "needs more than the account's limit");
        }
    }
    return problems;
}

} // namespace siskinpaddle::jobs
