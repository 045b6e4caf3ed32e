#include "jobs/fair_shares.hpp"

#include <algorithm>
#include <cmath>

namespace siskinpaddle::jobs {

namespace {

/// Time over which the work that accounts ask for is averaged: dozens of jobs at the rates that fill a pool,
/// and within the objectives of a few seconds of those who compete for it.
constexpr milliseconds measuring_window = 2s;
/// Shares follow the measured work at this interval, short compared with the window.
constexpr milliseconds update_interval = 100ms;

} // namespace

std::optional<double> find_fair_level(std::vector<share_request> requests, std::int64_t capacity_millicores) {
    std::ranges::sort(requests, {}, [](const share_request& request) {
        return static_cast<double>(request.asked_millicores) / request.weight;
    });
    double weight_left = 0;
    for (const share_request& request : requests) {
        weight_left += request.weight;
    }
    auto capacity_left = static_cast<double>(std::max<std::int64_t>(0, capacity_millicores));
    for (const share_request& request : requests) {
        const double level = capacity_left / weight_left;
        const auto asked = static_cast<double>(request.asked_millicores);
        if (asked > level * request.weight) {
            return level;
        }
        capacity_left -= asked;
        weight_left -= request.weight;
    }
    return std::nullopt;
}

void fair_shares::set_weights(std::map<std::string, double> weights) {
    m_smallest_weight = 0;
    for (const auto& [account, weight] : weights) {
        if (weight > 0 && (m_smallest_weight <= 0 || weight < m_smallest_weight)) {
            m_smallest_weight = weight;
        }
    }
    if (m_smallest_weight <= 0) {
        m_smallest_weight = 1;
    }
    for (auto& [account, weight] : weights) {
        weight = weight > 0 ? weight : m_smallest_weight;
    }
    m_weights = std::move(weights);
}

double fair_shares::weight_of(const std::string& account) const {
    const auto found = m_weights.find(account);
    return found == m_weights.end() ? m_smallest_weight : found->second;
}

void fair_shares::record_arrival(const std::string& job, const std::string& account, std::int64_t work,
                                 timestamp now) {
    if (has_accounts()) {
        m_arrivals[job] = {account, work, now, false};
    }
}

void fair_shares::record_accepted(const std::string& job, bool is_surplus) {
    if (const auto found = m_arrivals.find(job); found != m_arrivals.end()) {
        found->second.is_surplus = is_surplus;
    }
}

void fair_shares::record_refused_surplus(const std::string& account) {
    ++m_refused[account];
}

void fair_shares::measure_asked(timestamp now) {
    std::erase_if(m_arrivals, [&](const auto& item) { return now - item.second.at >= measuring_window; });
    m_asked.clear();
    for (const auto& [job, item] : m_arrivals) {
        m_asked[item.account] += item.work;
    }
    for (auto& [account, amount] : m_asked) {
        amount /= measuring_window.count();
    }
}

void fair_shares::update(std::int64_t capacity_millicores, const account_ledger& ledger, timestamp now) {
    if (now - m_updated_at < update_interval) {
        return;
    }
    m_updated_at = now;
    measure_asked(now);
    m_level.reset();
    if (!has_accounts() || now - m_started_at < measuring_window) {
        return;
    }
    std::int64_t capacity = capacity_millicores;
    std::vector<share_request> requests;
    for (const auto& [account, asked] : m_asked) {
        if (account.empty()) {
            capacity -= asked;
        } else {
            requests.push_back({weight_of(account), std::min(asked, ledger.limit(account).cpu_millicores)});
        }
    }
    m_level = find_fair_level(std::move(requests), capacity);
}

account_share fair_shares::share_of(const std::string& account) const {
    account_share share;
    if (account.empty()) {
        return share;
    }
    if (const auto found = m_asked.find(account); found != m_asked.end()) {
        share.asked_millicores = found->second;
    }
    if (const auto found = m_refused.find(account); found != m_refused.end()) {
        share.refused_as_surplus = found->second;
    }
    if (m_level) {
        share.share_millicores = std::llround(*m_level * weight_of(account));
    }
    return share;
}

bool fair_shares::is_surplus(const std::string& job) const {
    const auto found = m_arrivals.find(job);
    return found != m_arrivals.end() && found->second.is_surplus;
}

std::vector<std::string> fair_shares::asking_accounts() const {
    std::vector<std::string> accounts;
    for (const auto& [account, asked] : m_asked) {
        if (!account.empty()) {
            accounts.push_back(account);
        }
    }
    return accounts;
}

} // namespace siskinpaddle::jobs
