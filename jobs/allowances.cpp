#include "jobs/allowances.hpp"

#include <algorithm>
#include <array>

namespace siskinpaddle::jobs {

namespace {

/// An allowance exceeds what the pool uses by this share of it, so that a rise in demand seldom waits for a
/// write; a larger share would keep more from the pool whose turn is next.
constexpr std::int64_t reserve_divisor = 4;
/// The reserve is at least the limit divided by this.
constexpr std::int64_t min_reserve_divisor = 32;
/// Pools without demand keep together the limit divided by this, so that their first tasks start at once.
constexpr std::int64_t idle_share_divisor = 8;
/// An allowance is lowered once it has been larger than needed for this long. The gaps between the jobs of a
/// demand peak are shorter.
constexpr milliseconds surplus_delay = 500ms;

/// Minimum time between two writes for an account that has no blocked tasks.
constexpr milliseconds min_write_interval = 50ms;

constexpr std::array amounts{&resources::cpu_millicores, &resources::memory_mb, &resources::accelerators};

/// Applies `compute` to the amounts of the resources that `limit` limits; the others are 0.
template <typename Compute>
resources for_limited(const resources& limit, Compute compute) {
    resources result;
    for (const auto amount : amounts) {
        if (limit.*amount < unlimited_amount) {
            result.*amount = compute(amount);
        }
    }
    return result;
}

bool exceeds_by(const resources& large, const resources& small, const resources& tolerance) {
    return std::ranges::any_of(
        amounts, [&](auto amount) { return large.*amount > small.*amount + tolerance.*amount; });
}

/// Whether less than half of the reserve that the next allowance would have is left in the present one.
bool is_reserve_low(const account_demand& demand, const resources& present, const resources& next) {
    return std::ranges::any_of(amounts, [&](auto amount) {
        const std::int64_t reserve = next.*amount - demand.used.*amount;
        return next.*amount > present.*amount && present.*amount - demand.used.*amount <= reserve / 2;
    });
}

} // namespace

resources account_allowances::total() const {
    resources sum;
    for (const auto& [pool, allowance] : by_pool) {
        sum += allowance;
    }
    return sum;
}

resources account_allowances::of_pool(const std::string& pool) const {
    const auto found = by_pool.find(pool);
    return found == by_pool.end() ? resources{} : found->second;
}

resources demand_allowance_policy::wanted(const account_demand& demand, const resources& limit,
                                          std::size_t pools) const {
    return for_limited(limit, [&](auto amount) {
        const std::int64_t needed = demand.used.*amount + demand.blocked.*amount;
        const std::int64_t idle_share =
            limit.*amount / (idle_share_divisor * static_cast<std::int64_t>(std::max<std::size_t>(1, pools)));
        if (needed == 0) {
            return idle_share;
        }
        const std::int64_t reserve = std::max(needed / reserve_divisor, limit.*amount / min_reserve_divisor);
        return std::max(idle_share, needed + reserve);
    });
}

resources demand_allowance_policy::tolerance(const resources& limit) const {
    return for_limited(limit, [&](auto amount) { return limit.*amount / min_reserve_divisor; });
}

resources equal_allowance_policy::wanted(const account_demand& /*demand*/, const resources& limit,
                                         std::size_t pools) const {
    return for_limited(limit, [&](auto amount) {
        return limit.*amount / static_cast<std::int64_t>(std::max<std::size_t>(1, pools));
    });
}

resources equal_allowance_policy::tolerance(const resources& /*limit*/) const {
    return {};
}

void pool_allowances::configure(const std::vector<client_account>& accounts, std::int64_t version,
                                std::size_t pools) {
    m_pools = pools;
    // Accounts that are no longer configured keep their limit while jobs of theirs run.
    for (const client_account& account : accounts) {
        const auto known = m_accounts.find(account.name);
        if (known != m_accounts.end() || account.has_limit()) {
            account_state& state = m_accounts[account.name];
            state.account = account;
            state.version = version;
        }
    }
}

void pool_allowances::load(const std::string& account, const account_allowances& stored,
                           std::int64_t revision) {
    account_state& state = m_accounts[account];
    state.account.name = account;
    if (!state.writing && revision > state.revision) {
        state.stored = stored;
        state.revision = revision;
        state.unconfirmed.clear();
    }
}

/// The limit in force: another owner may know of a newer configuration.
resources pool_allowances::limit_of(const account_state& state) {
    return state.stored.limit_version > state.version ? state.stored.limit : state.account.limit;
}

/// The smallest allowance of this pool among the versions that may be stored.
resources pool_allowances::lowest_allowance(const account_state& state) const {
    resources lowest = state.stored.of_pool(m_pool);
    for (const account_allowances& version : state.unconfirmed) {
        lowest = min_of(lowest, version.of_pool(m_pool));
    }
    return lowest;
}

resources pool_allowances::ceiling_of(const account_state& state) const {
    const resources limit = limit_of(state);
    if (!m_loaded) {
        return {};
    }
    // Owners that have not heard of a lowered limit raise their allowances up to the stored one.
    const bool is_limit_stored = state.revision == 0 || state.stored.limit.fits_in(limit);
    if (!is_limit_stored || !state.stored.total().fits_in(limit)) {
        return {};
    }
    resources ceiling = lowest_allowance(state);
    for (const auto amount : amounts) {
        if (limit.*amount >= unlimited_amount) {
            ceiling.*amount = unlimited_amount;
        }
    }
    return ceiling;
}

std::map<std::string, resources> pool_allowances::ceilings() const {
    std::map<std::string, resources> result;
    for (const auto& [name, state] : m_accounts) {
        if (!unlimited_resources.fits_in(limit_of(state))) {
            result.emplace(name, ceiling_of(state));
        }
    }
    return result;
}

std::map<std::string, resources> pool_allowances::limits() const {
    std::map<std::string, resources> result;
    for (const auto& [name, state] : m_accounts) {
        if (const resources limit = limit_of(state); !unlimited_resources.fits_in(limit)) {
            result.emplace(name, limit);
        }
    }
    return result;
}

std::map<std::string, resources> pool_allowances::stored() const {
    std::map<std::string, resources> result;
    for (const auto& [name, state] : m_accounts) {
        if (const resources allowance = state.stored.of_pool(m_pool); allowance != resources{}) {
            result.emplace(name, allowance);
        }
    }
    return result;
}

std::set<std::string> pool_allowances::limited_accounts() const {
    std::set<std::string> result;
    for (const auto& [name, state] : m_accounts) {
        if (state.is_limited) {
            result.insert(name);
        }
    }
    return result;
}

/// The allowance that the policy wants, within what the limit leaves to this pool. Never below what the pool
/// uses, even if a lowered limit does not allow that much.
resources pool_allowances::wanted_allowance(const account_state& state, const account_demand& demand) const {
    const resources limit = limit_of(state);
    const resources wanted = m_policy.wanted(demand, limit, m_pools);
    resources others = state.stored.total();
    others -= state.stored.of_pool(m_pool);
    return for_limited(limit, [&](auto amount) {
        const std::int64_t left = std::max<std::int64_t>(0, limit.*amount - others.*amount);
        return std::max(std::min(wanted.*amount, left), demand.used.*amount);
    });
}

bool pool_allowances::has_other_limit(const account_state& state) {
    return state.version > state.stored.limit_version && state.stored.limit != state.account.limit;
}

/// Whether the stored allowance should change to `next`.
bool pool_allowances::should_write(account_state& state, const account_demand& demand, const resources& next,
                                   timestamp now) const {
    const resources present = state.stored.of_pool(m_pool);
    if (has_other_limit(state) && (present != resources{} || next != resources{})) {
        return true;
    }
    if (present == next) {
        state.surplus_since = timestamp(0);
        return false;
    }
    const bool is_blocked = demand.blocked != resources{};
    if (now - state.written_at < min_write_interval && !is_blocked) {
        return false;
    }
    if (exceeds_by(next, present, {}) && (is_blocked || is_reserve_low(demand, present, next))) {
        return true;
    }
    if (!state.stored.total().fits_in(limit_of(state))) {
        return exceeds_by(present, next, {});
    }
    if (!exceeds_by(present, next, m_policy.tolerance(limit_of(state)))) {
        state.surplus_since = timestamp(0);
        return false;
    }
    if (state.surplus_since == timestamp(0)) {
        state.surplus_since = now;
    }
    return now - state.surplus_since >= surplus_delay;
}

/// Whether the limit, or what other pools hold of it, keeps tasks of this pool from starting.
bool pool_allowances::exceeds_limit(const account_state& state, const account_demand& demand,
                                    const resources& next) {
    if (demand.blocked == resources{}) {
        return false;
    }
    const resources limit = limit_of(state);
    const resources needed =
        for_limited(limit, [&](auto amount) { return demand.used.*amount + demand.blocked.*amount; });
    return exceeds_by(needed, next, {}) || !state.stored.total().fits_in(limit);
}

std::vector<allowance_write> pool_allowances::plan(const std::map<std::string, account_demand>& demand,
                                                   std::size_t max_writes, timestamp now) {
    std::vector<allowance_write> writes;
    for (auto& [name, state] : m_accounts) {
        if (!m_loaded || state.writing || writes.size() >= max_writes) {
            continue;
        }
        const auto found = demand.find(name);
        const account_demand present = found == demand.end() ? account_demand{} : found->second;
        const resources next = wanted_allowance(state, present);
        state.is_limited = exceeds_limit(state, present, next);
        const bool repeats = !state.unconfirmed.empty() && now - state.written_at >= min_write_interval;
        if (repeats || (state.unconfirmed.empty() && should_write(state, present, next, now))) {
            writes.push_back(begin_write(name, state, next, now));
        }
    }
    return writes;
}

allowance_write pool_allowances::begin_write(const std::string& account, account_state& state,
                                             const resources& next, timestamp now) {
    allowance_write write{account, state.stored, state.revision};
    if (state.version > write.wanted.limit_version) {
        write.wanted.limit_version = state.version;
        write.wanted.limit = state.account.limit;
    }
    if (next == resources{}) {
        write.wanted.by_pool.erase(m_pool);
    } else {
        write.wanted.by_pool[m_pool] = next;
    }
    state.writing = true;
    state.written_at = now;
    state.surplus_since = timestamp(0);
    state.unconfirmed.push_back(write.wanted);
    return write;
}

void pool_allowances::write_succeeded(const std::string& account, std::int64_t revision) {
    account_state& state = m_accounts.at(account);
    state.writing = false;
    state.stored = state.unconfirmed.back();
    state.unconfirmed.clear();
    state.revision = revision;
}

void pool_allowances::write_refused(const std::string& account) {
    account_state& state = m_accounts.at(account);
    state.writing = false;
    state.unconfirmed.pop_back();
}

void pool_allowances::write_unanswered(const std::string& account) {
    m_accounts.at(account).writing = false;
}

void pool_allowances::write_conflicted(const std::string& account, const account_allowances& stored,
                                       std::int64_t revision) {
    account_state& state = m_accounts.at(account);
    state.writing = false;
    state.unconfirmed.pop_back();
    if (revision == state.revision) {
        return; // Another condition failed. An earlier write without an answer may still be carried out.
    }
    state.unconfirmed.clear();
    state.stored = stored;
    state.revision = revision;
}

} // namespace siskinpaddle::jobs
