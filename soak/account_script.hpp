#pragma once

#include "fakes/task_machine.hpp"
#include "platform/platform.hpp"

#include <array>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace siskinpaddle::soak {

/// An API key that was part of a published configuration.
struct issued_key {
    std::string text;
    std::size_t account = 0;
    timestamp issued{0};              ///< When the first configuration with the key was published.
    std::optional<timestamp> revoked; ///< When the first one without it was published.
};

/// An account's limit from one point in time on.
struct issued_limit {
    std::size_t account = 0;
    std::size_t tasks = 0; ///< Number of tasks that fit into the limit.
    timestamp from{0};
};

/// Bounds of the checks of accounts.
struct account_bounds {
    milliseconds revocation{0}; ///< Time within which a revoked key must be refused by every node.
    milliseconds key_lag{0}; ///< Time within which a new key must be accepted, or not be refused as invalid.
    milliseconds limit_lag{0}; ///< Time for which starts may still rely on an earlier limit.
};

/// The client accounts of a soak: which keys and limits each published configuration has. Each version
/// replaces one key of each account, and limits go up and down. Not thread-safe.
class account_script {
  public:
    static constexpr std::size_t accounts = 3;
    /// This account sends far more than the others.
    static constexpr std::size_t hot_account = 0;
    /// Weights by account. The second one asks for less than its share, unless it is hot.
    static constexpr std::array<double, accounts> weights{4, 2, 1};

    explicit account_script(std::uint64_t seed) : m_random(seed) {}

    /// Returns the accounts of the next version and records that it is published now. `task`: what one task
    /// needs.
    [[nodiscard]] std::vector<platform::account_entry> publish(const jobs::resources& task, timestamp now);

    /// The next versions have the largest limits.
    void raise_limits() noexcept { m_limits_raised = true; }

    [[nodiscard]] static std::string name_of(std::size_t account);
    /// A key of the account that the newest configuration has.
    [[nodiscard]] const std::string& valid_key(std::size_t account);
    /// A key of the account that was revoked; nothing if none was yet.
    [[nodiscard]] std::optional<std::string> revoked_key(std::size_t account);
    [[nodiscard]] std::size_t random_account();

    /// Returns why the answer to a call with the key violates the rules; nothing if it doesn't.
    [[nodiscard]] std::optional<std::string> check_answer(const std::string& key, int code, timestamp sent,
                                                          timestamp answered,
                                                          const account_bounds& bounds) const;
    [[nodiscard]] const std::vector<issued_limit>& limits() const noexcept { return m_limits; }
    /// The smallest limit of all versions, in tasks.
    [[nodiscard]] static std::size_t smallest_limit(std::size_t account);

  private:
    std::mt19937_64 m_random;
    std::vector<issued_key> m_keys;
    std::vector<issued_limit> m_limits;
    std::uint64_t m_issued = 0;
    bool m_limits_raised = false;
};

/// Returns starts that bring what an account has running on all VMs above the largest limit that was in force
/// within `bounds.limit_lag` before the start. Runs that are being stopped count. `account_of`: the account
/// of a job. Pure; thread-safe.
[[nodiscard]] std::vector<std::string>
check_account_limits(const std::vector<fakes::vm_run>& runs,
                     const std::map<std::string, std::size_t>& account_of,
                     const std::vector<issued_limit>& limits, const account_bounds& bounds, timestamp now);

} // namespace siskinpaddle::soak
