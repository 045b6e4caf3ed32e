#pragma once

#include "jobs/client_account.hpp"

#include <map>
#include <set>
#include <string>

namespace siskinpaddle::jobs {

/// What an account uses and asks for in one pool.
struct account_demand {
    resources used;    ///< Of all runs that may be active, and of those that may be unknown to this owner.
    resources blocked; ///< Of the tasks that only the ceiling keeps from starting.
};

/// Counts the resources that each account's runs use in one pool, and decides whether another run fits under
/// the account's ceiling there. Not thread-safe.
///
/// Every run counts from the order to start it until its end is certain: an order without an answer, a run on
/// a VM that doesn't respond and a run that is being stopped may all be active. After a takeover the previous
/// owner may have started runs that this owner does not know yet; until all of them are found, everything
/// that the previous owner was allowed to start counts as running.
class account_ledger {
  public:
    /// Adds a run. `adopted`: a previous owner started it. Runs without an account are not counted.
    void add_run(const std::string& account, const resources& need, bool adopted);
    void remove_run(const std::string& account, const resources& need, bool adopted);

    /// Sets what the previous owner was allowed to start, by account.
    void set_inherited(std::map<std::string, resources> allowed) { m_inherited = std::move(allowed); }
    /// All runs of the previous owner are known.
    void clear_inherited() { m_inherited.clear(); }
    [[nodiscard]] bool has_inherited() const noexcept { return !m_inherited.empty(); }

    /// Sets what each account may use in this pool. An account that is missing may use any amount.
    void set_ceilings(std::map<std::string, resources> ceilings) { m_ceilings = std::move(ceilings); }
    /// Sets what each account may use in all pools. An account that is missing has no limit.
    void set_limits(std::map<std::string, resources> limits) { m_limits = std::move(limits); }
    /// The account's limit, or unlimited_resources.
    [[nodiscard]] resources limit(const std::string& account) const;
    /// Whether a run that needs this much may start.
    [[nodiscard]] bool admits(const std::string& account, const resources& need) const;
    /// What the account uses for certain or perhaps.
    [[nodiscard]] resources used(const std::string& account) const;

    /// Records a task that is not started because admits() returned false.
    void record_blocked(const std::string& account, const resources& need);
    void clear_blocked() { m_blocked.clear(); }
    [[nodiscard]] bool has_blocked() const noexcept { return !m_blocked.empty(); }
    /// Bounds what is blocked of each account by what the VMs have free.
    void bound_blocked(const resources& free);

    /// Sets the accounts whose ceilings can't rise at present: their waiting tasks wait for runs of their
    /// own.
    void set_limited(std::set<std::string> accounts) { m_limited = std::move(accounts); }
    [[nodiscard]] bool is_limited(const std::string& account) const { return m_limited.contains(account); }
    [[nodiscard]] const std::set<std::string>& limited() const noexcept { return m_limited; }
    /// The account's ceiling, or unlimited_resources.
    [[nodiscard]] resources ceiling(const std::string& account) const;

    [[nodiscard]] account_demand demand_of(const std::string& account) const;
    /// The demand of all accounts with runs, perhaps with runs, or with blocked tasks.
    [[nodiscard]] std::map<std::string, account_demand> demand() const;

  private:
    struct usage {
        resources own;     ///< Of the runs that this owner started.
        resources adopted; ///< Of the runs that previous owners started.
    };

    std::map<std::string, usage> m_usage;
    std::map<std::string, resources> m_inherited;
    std::map<std::string, resources> m_ceilings;
    std::map<std::string, resources> m_limits;
    std::map<std::string, resources> m_blocked;
    std::set<std::string> m_limited;
};

/// Returns what of the job can never run within the account's limit: a task, or a gang as a whole. Pure;
/// thread-safe.
[[nodiscard]] findings check_limit(const job_spec& spec, const resources& limit);

} // namespace siskinpaddle::jobs
