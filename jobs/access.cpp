#include "jobs/access.hpp"

namespace siskinpaddle::jobs {

access_decision check_access(const fleet_configuration& configuration, const queue_settings& queue,
                             const std::optional<key_digest>& key, const configuration_freshness& freshness,
                             const access_settings& settings) {
    const bool needs_key = (settings.uses_accounts || configuration.uses_accounts) && !queue.is_public;
    if (!needs_key) {
        return {access_verdict::granted, {}};
    }
    const client_account* account = key ? configuration.accounts.find_by_key(*key) : nullptr;
    if (account == nullptr) {
        return {freshness.is_confirmed ? access_verdict::unauthorized : access_verdict::outdated, {}};
    }
    if (settings.max_configuration_age > 0ms && freshness.age > settings.max_configuration_age) {
        return {access_verdict::unconfirmed, {}};
    }
    return {access_verdict::granted, account->name};
}

bool may_access_job(const std::string& owner, const std::string& account) noexcept {
    return owner.empty() || owner == account;
}

} // namespace siskinpaddle::jobs
