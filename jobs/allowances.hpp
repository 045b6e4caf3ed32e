#pragma once

#include "jobs/account_ledger.hpp"
#include "jobs/client_account.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace siskinpaddle::jobs {

/// How an account's limit is divided among the pools, as the store holds it. Written by the owners of all
/// pools, each of which changes its own allowance only.
struct account_allowances {
    std::int64_t limit_version = 0; ///< Version of the configuration that the limit is from.
    resources limit = unlimited_resources;
    /// Pool -> what its owner may have running. 0 for a resource without a limit.
    std::map<std::string, resources> by_pool;

    [[nodiscard]] resources total() const;
    [[nodiscard]] resources of_pool(const std::string& pool) const;

    bool operator==(const account_allowances&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(limit_version, limit, by_pool);
    }
};

/// How much a pool asks for beyond what it uses.
class allowance_policy {
  public:
    allowance_policy() = default;
    virtual ~allowance_policy() = default;
    allowance_policy(const allowance_policy&) = delete;
    allowance_policy& operator=(const allowance_policy&) = delete;
    allowance_policy(allowance_policy&&) = delete;
    allowance_policy& operator=(allowance_policy&&) = delete;

    /// The allowance that the pool should have, if there is enough. `pools`: number of pools with queues.
    [[nodiscard]] virtual resources wanted(const account_demand& demand, const resources& limit,
                                           std::size_t pools) const = 0;
    /// By how much an allowance may differ from wanted() before it is changed.
    [[nodiscard]] virtual resources tolerance(const resources& limit) const = 0;
};

/// The pool asks for what it uses and a reserve above it. Demand moves from pool to pool within seconds, and
/// one pool may need more than half of an account's limit at its peak.
class demand_allowance_policy : public allowance_policy {
  public:
    [[nodiscard]] resources wanted(const account_demand& demand, const resources& limit,
                                   std::size_t pools) const override;
    [[nodiscard]] resources tolerance(const resources& limit) const override;
};

/// Each pool has the same share of the limit, whatever it uses. Needs one write a pool, and leaves most of
/// the limit unused while demand is in one pool.
class equal_allowance_policy : public allowance_policy {
  public:
    [[nodiscard]] resources wanted(const account_demand& demand, const resources& limit,
                                   std::size_t pools) const override;
    [[nodiscard]] resources tolerance(const resources& limit) const override;
};

/// A write of one account's allowances, to be carried out only if the stored revision is still `revision`.
struct allowance_write {
    std::string account;
    account_allowances wanted;
    std::int64_t revision = 0; ///< 0: nothing may be stored.
};

/// One pool's view of the accounts' allowances. The sum of an account's allowances over all pools never
/// exceeds its limit: an owner raises its own allowance only by a write that is conditional on what it has
/// read of the others. An allowance outlives its owner, so that what a lost owner may have started stays
/// counted until its successor knows. Not thread-safe.
///
/// A lowered limit stops no run. No pool starts a task of the account until the allowances, which the pools
/// lower as their runs end, fit into the new limit.
class pool_allowances {
  public:
    /// `policy` outlives the object.
    pool_allowances(std::string pool, const allowance_policy& policy)
        : m_pool(std::move(pool)), m_policy(policy) {}

    /// Sets the limits of a configuration. `pools`: number of pools with queues.
    void configure(const std::vector<client_account>& accounts, std::int64_t version, std::size_t pools);
    /// Sets what the store holds for an account. Ignored while a write of the account is in flight.
    void load(const std::string& account, const account_allowances& stored, std::int64_t revision);
    /// Everything that the store holds was passed to load().
    void set_loaded() { m_loaded = true; }

    /// Returns the writes that adapt the allowances to the demand, at most `max_writes`, and considers them
    /// in flight. A lowered allowance applies at once, a raised one when its write has succeeded.
    [[nodiscard]] std::vector<allowance_write> plan(const std::map<std::string, account_demand>& demand,
                                                    std::size_t max_writes, timestamp now);

    // Results of a write. Precondition: the account has a write in flight.
    void write_succeeded(const std::string& account, std::int64_t revision);
    void write_refused(const std::string& account); ///< The write was not carried out.
    /// The write may have been, or may still be, carried out. It is repeated: a write that succeeds excludes
    /// that this one is carried out later.
    void write_unanswered(const std::string& account);
    /// A condition of the transaction failed, so that it was not carried out; the store holds this.
    void write_conflicted(const std::string& account, const account_allowances& stored,
                          std::int64_t revision);

    /// What the pool may have running, for all accounts with a limit.
    [[nodiscard]] std::map<std::string, resources> ceilings() const;
    /// The limits in force, for all accounts that have one.
    [[nodiscard]] std::map<std::string, resources> limits() const;
    /// The stored allowances of this pool, by account.
    [[nodiscard]] std::map<std::string, resources> stored() const;
    /// Accounts whose tasks wait until runs end or other pools lower their allowances.
    [[nodiscard]] std::set<std::string> limited_accounts() const;

  private:
    struct account_state {
        client_account account;
        std::int64_t version = 0; ///< Configuration version of `account`.
        account_allowances stored;
        std::int64_t revision = 0;
        /// Allowances of this pool in writes that may be, or become, the stored version.
        std::vector<account_allowances> unconfirmed;
        bool writing = false;
        bool is_limited = false;    ///< Tasks wait, and the limit leaves no more to this pool.
        timestamp surplus_since{0}; ///< 0: the allowance is not larger than needed.
        timestamp written_at{0};    ///< When the last write was sent.
    };

    [[nodiscard]] static resources limit_of(const account_state& state);
    /// Whether the stored limit is older than the configured one and differs from it.
    [[nodiscard]] static bool has_other_limit(const account_state& state);
    [[nodiscard]] resources lowest_allowance(const account_state& state) const;
    [[nodiscard]] resources ceiling_of(const account_state& state) const;
    [[nodiscard]] resources wanted_allowance(const account_state& state, const account_demand& demand) const;
    [[nodiscard]] bool should_write(account_state& state, const account_demand& demand, const resources& next,
                                    timestamp now) const;
    [[nodiscard]] static bool exceeds_limit(const account_state& state, const account_demand& demand,
                                            const resources& next);
    allowance_write begin_write(const std::string& account, account_state& state, const resources& next,
                                timestamp now);

    std::string m_pool;
    const allowance_policy& m_policy;
    std::map<std::string, account_state> m_accounts;
    std::size_t m_pools = 1;
    bool m_loaded = false;
};

} // namespace siskinpaddle::jobs
