#pragma once

#include "jobs/job.hpp"

#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace siskinpaddle::jobs {

/// SHA-256 digest of an API key. Keys are secrets, so only their digests are kept in memory.
using key_digest = std::array<std::uint8_t, 32>;

/// Amount of a resource that is not limited. Small enough that sums of several amounts don't overflow.
inline constexpr std::int64_t unlimited_amount = std::numeric_limits<std::int64_t>::max() / 1024;
inline constexpr resources unlimited_resources{unlimited_amount, unlimited_amount, unlimited_amount};

/// A customer of the operator on whose behalf jobs run.
struct client_account {
    std::string name;
    /// Jobs a second that the account is entitled to while not all jobs can be served.
    double weight = 0;
    /// Most that its tasks may use at a time, on all VMs together.
    resources limit = unlimited_resources;

    [[nodiscard]] bool has_limit() const noexcept { return !unlimited_resources.fits_in(limit); }
};

/// The accounts of one configuration, with their API keys. Not thread-safe.
class client_accounts {
  public:
    /// Adds an account. Precondition: no account has this name, and none has one of these keys.
    void add(client_account account, const std::vector<key_digest>& keys);

    [[nodiscard]] const std::vector<client_account>& all() const noexcept { return m_accounts; }
    [[nodiscard]] const client_account* find(std::string_view name) const;
    /// The account with this key, or null. Takes the same time for every key, so that valid keys can't be
    /// guessed from the time of a refusal.
    [[nodiscard]] const client_account* find_by_key(const key_digest& key) const;

  private:
    struct key_entry {
        key_digest digest;
        std::size_t account; ///< Index in `m_accounts`.
    };

    std::vector<client_account> m_accounts;
    std::vector<key_entry> m_keys;
};

} // namespace siskinpaddle::jobs
