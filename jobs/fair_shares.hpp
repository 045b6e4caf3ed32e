#pragma once

#include "jobs/account_ledger.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskinpaddle::jobs {

/// What an account asks of a pool.
struct share_request {
    double weight = 1; ///< Positive.
    std::int64_t asked_millicores = 0;
};

/// Divides the capacity by weight such that nobody gets more than it asks for (max-min fairness): returns the
/// millicores for each unit of weight at which the requests fill the capacity. Empty if all requests fit.
/// Pure; thread-safe.
[[nodiscard]] std::optional<double> find_fair_level(std::vector<share_request> requests,
                                                    std::int64_t capacity_millicores);

/// An account's part in one pool.
struct account_share {
    std::int64_t asked_millicores = 0; ///< Work that it submits, accepted or refused.
    /// What it is entitled to; empty while the pool can do all that is asked of it.
    std::optional<std::int64_t> share_millicores;
    std::int64_t refused_as_surplus = 0; ///< Refusals since this owner began.
};

/// Measures what each account asks of a pool, and divides the pool among them while not all fits. Pure; not
/// thread-safe.
///
/// State is not stored: a new owner measures anew, and divides nothing until it has measured for a whole
/// window.
class fair_shares {
  public:
    explicit fair_shares(timestamp now) : m_started_at(now) {}

    /// Sets the accounts of the configuration in force, with their weights; 0: the smallest configured
    /// weight, as for accounts that are missing.
    void set_weights(std::map<std::string, double> weights);
    [[nodiscard]] bool has_accounts() const noexcept { return !m_weights.empty(); }

    /// Records a job that a client submits; repeats of the same job count once. `account`: empty if it has
    /// none. `work` in millicore-milliseconds.
    void record_arrival(const std::string& job, const std::string& account, std::int64_t work, timestamp now);
    /// Records whether the job, which is accepted, is beyond its account's share.
    void record_accepted(const std::string& job, bool is_surplus);
    void record_refused_surplus(const std::string& account);

    /// Measures and divides anew. `ledger`: nobody counts with more than its limit.
    void update(std::int64_t capacity_millicores, const account_ledger& ledger, timestamp now);

    [[nodiscard]] account_share share_of(const std::string& account) const;
    /// Whether the job was accepted beyond its account's share.
    [[nodiscard]] bool is_surplus(const std::string& job) const;
    /// Accounts that ask for anything at present.
    [[nodiscard]] std::vector<std::string> asking_accounts() const;

  private:
    struct arrival {
        std::string account;
        std::int64_t work = 0;
        timestamp at{0};
        bool is_surplus = false;
    };

    [[nodiscard]] double weight_of(const std::string& account) const;
    void measure_asked(timestamp now);

    timestamp m_started_at;
    timestamp m_updated_at{0};
    std::map<std::string, double> m_weights; ///< Positive.
    double m_smallest_weight = 1;
    std::map<std::string, arrival> m_arrivals;     ///< By job.
    std::map<std::string, std::int64_t> m_asked;   ///< By account, millicores.
    std::map<std::string, std::int64_t> m_refused; ///< By account, jobs.
    /// Millicores for each unit of weight; empty while all that is asked fits.
    std::optional<double> m_level;
};

} // namespace siskinpaddle::jobs
