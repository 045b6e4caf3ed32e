#pragma once

#include "core/core.hpp"

#include <boost/leaf.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinpaddle {

/// Hash of a caller's idempotency key within its pool. 128 bits make an accidental collision of two keys
/// negligible.
using claim_key = std::pair<std::uint64_t, std::uint64_t>;

[[nodiscard]] claim_key make_claim_key(std::string_view pool, std::string_view idempotency_key);

/// One line of a claim log: the right to send the request with this key, claimed or released.
struct claim_entry {
    std::uint64_t key_high = 0;
    std::uint64_t key_low = 0;
    std::uint64_t nonce = 0; ///< Identifies the attempt, so that it recognizes its claim after a lost reply.
    bool released = false;   ///< The request is confirmed not to have run; the key may be claimed again.

    bool operator==(const claim_entry&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(key_high, key_low, nonce, released);
    }
};

/// Stored value of one claim shard at one generation. It includes the lines of the previous generation until
/// the next generation begins. By then the previous generation has been stored under its own key, where it
/// never changes. Every line is therefore always covered by the compare-and-swap on the open log or stored
/// under an immutable key.
struct claim_log {
    std::uint64_t generation = 0;
    std::vector<claim_entry> lines;
    std::vector<claim_entry> previous; ///< Lines of generation - 1.

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(generation, lines, previous);
    }
};

[[nodiscard]] std::string encode_claim_log(const claim_log& log);
[[nodiscard]] boost::leaf::result<claim_log> decode_claim_log(std::string_view bytes);

/// Number of lines after which a log is closed and the next generation begins, so that each write stays
/// small.
inline constexpr std::size_t max_claim_log_lines = 64;
/// Minimum time for which claims are kept.
inline constexpr milliseconds claim_retention = 10min;
/// Number of claim shards of a deployment; each shard is one key in the store.
inline constexpr std::uint64_t claim_shard_count = 16;

[[nodiscard]] constexpr std::uint64_t claim_shard_of(const claim_key& key) {
    return key.first % claim_shard_count;
}

/// An entry's copy of one shard: the closed generations and the open one. Checks claims and builds the next
/// value for the compare-and-swap. Only a successful swap grants a claim: when two entries claim the same key
/// concurrently, the store accepts one swap, and the other entry reads the line that was stored. Pure; not
/// thread-safe.
class claim_shard {
  public:
    /// Replaces the open log by the stored one. `version` is its store version.
    void set_open(const claim_log& log, std::uint64_t version);

    /// Adds the lines of a closed generation, read from or written to the store at `now`.
    void add_closed(std::uint64_t generation, std::vector<claim_entry> lines, timestamp now);

    /// Returns true and sets `generation` to the newest closed generation that this copy lacks, if any. The
    /// copy can check claims only when none is missing.
    [[nodiscard]] bool find_missing_generation(std::uint64_t& generation) const;

    /// Marks `generation` and all older ones as deleted from the store: their claims are older than
    /// `claim_retention`.
    void skip_generation(std::uint64_t generation, timestamp now);

    enum class claim_state : std::uint8_t { free, held_by_attempt, held_by_other };

    /// Returns the state of a key in this copy: `held_by_attempt` when the claim has this `nonce`.
    [[nodiscard]] claim_state check_claim(const claim_key& key, std::uint64_t nonce) const;

    /// Returns the open log with `lines` appended.
    [[nodiscard]] claim_log make_log_with(const std::vector<claim_entry>& lines) const;

    /// Returns the log that begins the next generation. Precondition: the previous generation is stored under
    /// its own key.
    [[nodiscard]] claim_log next_generation() const;

    [[nodiscard]] const claim_log& open() const noexcept { return m_open; }
    [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }
    [[nodiscard]] bool must_close() const noexcept { return m_open.lines.size() >= max_claim_log_lines; }

    /// Removes the closed generations that were added more than `claim_retention` ago.
    void remove_expired(timestamp now);

    [[nodiscard]] std::size_t line_count() const noexcept;

  private:
    struct closed_log {
        std::vector<claim_entry> lines;
        timestamp added_at{0};
    };

    static void update_last_line(const std::vector<claim_entry>& lines, const claim_key& key,
                                 const claim_entry*& last);

    claim_log m_open;
    std::uint64_t m_version = 0;
    std::map<std::uint64_t, closed_log> m_closed;
    std::uint64_t m_first_generation = 0; ///< Oldest generation that may contain claims to be kept.
};

} // namespace siskinpaddle
