#include "soak/account_script.hpp"

#include <algorithm>
#include <span>

namespace siskinpaddle::soak {

namespace {

/// Limits of the hot account, in tasks, one after the other; all VMs together hold 32 tasks.
constexpr std::array hot_limits{std::size_t{12}, std::size_t{8}, std::size_t{24}, std::size_t{10}};
/// Limits of the other accounts, in tasks.
constexpr std::array other_limits{std::size_t{24}, std::size_t{16}};
/// A limit may be exceeded by this share, and by one task.
constexpr double allowed_overrun = 0.1;
constexpr int ok = 200;
constexpr int unauthorized = 401;

std::span<const std::size_t> limits_of(std::size_t account) {
    return account == account_script::hot_account ? std::span<const std::size_t>(hot_limits)
                                                  : std::span<const std::size_t>(other_limits);
}

std::string job_of(const std::string& task) {
    return task.substr(0, task.find('.'));
}

} // namespace

std::string account_script::name_of(std::size_t account) {
    return "account-" + std::to_string(account);
}

std::size_t account_script::smallest_limit(std::size_t account) {
    return std::ranges::min(limits_of(account));
}

std::vector<platform::account_entry> account_script::publish(const jobs::resources& task, timestamp now) {
    std::vector<platform::account_entry> entries;
    const std::size_t version = m_limits.size() / accounts;
    for (std::size_t account = 0; account < accounts; ++account) {
        // Of the account's two keys the older one is revoked, so that each key is valid for two versions.
        std::vector<issued_key*> valid;
        for (issued_key& key : m_keys) {
            if (key.account == account && !key.revoked) {
                valid.push_back(&key);
            }
        }
        if (valid.size() > 1) {
            valid.front()->revoked = now;
        }
        m_keys.push_back({"key-" + std::to_string(++m_issued), account, now, std::nullopt});
        const std::span<const std::size_t> limits = limits_of(account);
        const std::size_t tasks =
            m_limits_raised ? std::ranges::max(limits) : limits[version % limits.size()];
        m_limits.push_back({account, tasks, now});
        platform::account_entry entry;
        entry.account.name = name_of(account);
        entry.account.weight = weights.at(account);
        entry.account.limit.cpu_millicores = task.cpu_millicores * static_cast<std::int64_t>(tasks);
        for (const issued_key& key : m_keys) {
            if (key.account == account && !key.revoked) {
                entry.keys.push_back(key.text);
            }
        }
        entries.push_back(std::move(entry));
    }
    return entries;
}

const std::string& account_script::valid_key(std::size_t account) {
    std::vector<const issued_key*> valid;
    for (const issued_key& key : m_keys) {
        if (key.account == account && !key.revoked) {
            valid.push_back(&key);
        }
    }
    return valid[m_random() % valid.size()]->text;
}

std::optional<std::string> account_script::revoked_key(std::size_t account) {
    std::vector<const issued_key*> revoked;
    for (const issued_key& key : m_keys) {
        if (key.account == account && key.revoked) {
            revoked.push_back(&key);
        }
    }
    return revoked.empty() ? std::nullopt : std::optional(revoked[m_random() % revoked.size()]->text);
}

std::size_t account_script::random_account() {
    return m_random() % 2 == 0 ? hot_account : m_random() % accounts;
}

std::optional<std::string> account_script::check_answer(const std::string& key, int code, timestamp sent,
                                                        timestamp answered,
                                                        const account_bounds& bounds) const {
    const auto found = std::ranges::find(m_keys, key, &issued_key::text);
    if (found == m_keys.end()) {
        return code == ok ? std::optional("a key that never existed was served") : std::nullopt;
    }
    if (code == ok && found->revoked && sent > *found->revoked + bounds.revocation) {
        return "a key was served " + std::to_string((sent - *found->revoked).count()) +
               " ms after it was revoked";
    }
    const bool was_valid = !found->revoked || *found->revoked > answered;
    if (code == unauthorized && was_valid && sent > found->issued + bounds.key_lag) {
        return "a valid key was refused " + std::to_string((sent - found->issued).count()) +
               " ms after it was issued";
    }
    return std::nullopt;
}

std::vector<std::string> check_account_limits(const std::vector<fakes::vm_run>& runs,
                                              const std::map<std::string, std::size_t>& account_of,
                                              const std::vector<issued_limit>& limits,
                                              const account_bounds& bounds, timestamp now) {
    std::map<std::size_t, std::vector<const fakes::vm_run*>> by_account;
    for (const fakes::vm_run& item : runs) {
        if (const auto account = account_of.find(job_of(item.run.task)); account != account_of.end()) {
            by_account[account->second].push_back(&item);
        }
    }
    const auto limit_at = [&](std::size_t account, timestamp at) {
        std::size_t previous = 0; // In force at the beginning of the interval.
        std::size_t largest = 0;
        for (const issued_limit& item : limits) {
            if (item.account != account || item.from > at) {
                continue;
            }
            if (item.from <= at - bounds.limit_lag) {
                previous = item.tasks;
            } else {
                largest = std::max(largest, item.tasks);
            }
        }
        return std::max(previous, largest);
    };
    std::vector<std::string> violations;
    for (const auto& [account, of_account] : by_account) {
        for (const fakes::vm_run* item : of_account) {
            const timestamp at = item->run.started_at;
            const auto active =
                static_cast<std::size_t>(std::ranges::count_if(of_account, [&](const auto* other) {
                    const timestamp end = other->run.ended_at == timestamp(0) ? now : other->run.ended_at;
                    return other->run.started_at <= at && end > at;
                }));
            const std::size_t limit = limit_at(account, at);
            if (static_cast<double>(active) > static_cast<double>(limit) * (1 + allowed_overrun) + 1) {
                violations.push_back(account_script::name_of(account) + " has " + std::to_string(active) +
                                     " tasks running, its limit is " + std::to_string(limit) + ": [" +
                                     item->run.task + "]");
                break;
            }
        }
    }
    return violations;
}

} // namespace siskinpaddle::soak
