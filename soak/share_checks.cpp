#include "soak/share_checks.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

namespace siskinpaddle::soak {

namespace {

/// What an account asked for and got in one second.
struct account_second {
    std::size_t asked = 0;    ///< Tasks.
    std::size_t accepted = 0; ///< Tasks.
    bool is_refused = false;  ///< A job was refused, not by the account's own limit.
};

using owner_second = std::vector<account_second>;

std::map<std::pair<std::int64_t, std::int64_t>, owner_second>
group_by_second(std::span<const judged_submit> submits, std::size_t accounts) {
    std::map<std::pair<std::int64_t, std::int64_t>, owner_second> result;
    for (const judged_submit& item : submits) {
        owner_second& second = result[{item.owner, item.answered / std::chrono::seconds(1)}];
        second.resize(accounts);
        account_second& of_account = second.at(item.account);
        of_account.asked += item.tasks;
        of_account.accepted += item.is_accepted ? item.tasks : 0;
        of_account.is_refused = of_account.is_refused || (!item.is_accepted && !item.may_be_limited);
    }
    return result;
}

/// Whether the account was refused within its share while another one was accepted beyond its own.
bool is_displaced(const owner_second& second, std::span<const double> weights, std::size_t account) {
    const double total_weight = std::accumulate(weights.begin(), weights.end(), 0.0);
    double room = 0;
    for (const account_second& item : second) {
        room += static_cast<double>(item.accepted);
    }
    const auto share_of = [&](std::size_t index) { return room * weights[index] / total_weight; };
    if (!second[account].is_refused || static_cast<double>(second[account].asked) >= share_of(account)) {
        return false;
    }
    for (std::size_t other = 0; other < second.size(); ++other) {
        if (other != account && static_cast<double>(second[other].accepted) > share_of(other)) {
            return true;
        }
    }
    return false;
}

} // namespace

std::vector<std::string> check_shares(std::span<const judged_submit> submits, std::span<const double> weights,
                                      std::int64_t seconds) {
    const auto by_second = group_by_second(submits, weights.size());
    std::vector<std::string> violations;
    for (std::size_t account = 0; account < weights.size(); ++account) {
        std::int64_t displaced = 0;
        std::pair<std::int64_t, std::int64_t> previous{0, 0};
        for (const auto& [key, second] : by_second) {
            const bool continues = key.first == previous.first && key.second == previous.second + 1;
            previous = key;
            const std::int64_t before = continues ? displaced : 0;
            displaced = is_displaced(second, weights, account) ? before + 1 : 0;
            if (displaced == seconds) {
                violations.push_back(
                    "account-" + std::to_string(account) +
                    " refused within its share for seconds, others accepted beyond theirs [" + "owner " +
                    std::to_string(key.first) + " until second " + std::to_string(key.second) + "]");
            }
        }
    }
    return violations;
}

} // namespace siskinpaddle::soak
