#include "jobs/access.hpp"

namespace siskinpaddle::jobs {

access_decision check_access(const fleet_configuration& configuration, const queue_settings& queue,
                             const std::optional<key_digest>& key, milliseconds configuration_age,
                             const access_settings& settings) {
    const bool needs_key = (settings.uses_accounts || configuration.uses_accounts) && !queue.is_public;
    if (!needs_key) {
        return {access_verdict::granted, {}};
    }
    if (!key) {
        return {access_verdict::unauthorized, {}};
    }
    const client_account* account = configuration.accounts.find_by_key(*key);
    if (settings.max_configuration_age > 0ms && configuration_age > settings.max_configuration_age) {
        return {account == nullptr ? access_verdict::outdated : access_verdict::unconfirmed, {}};
    }
    if (account == nullptr) {
        return {access_verdict::unauthorized, {}};
    }
    return {access_verdict::granted, account->name};
}

bool may_access_job(const std::string& owner, const std::string& account) noexcept {
    return owner.empty() || owner == account;
}

} // namespace siskinpaddle::jobs
