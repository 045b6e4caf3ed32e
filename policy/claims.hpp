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

/// Hash of a caller's idempotency key within its pool: 128 bits, so that two keys don't meet by accident.
using claim_key = std::pair<std::uint64_t, std::uint64_t>;

[[nodiscard]] claim_key make_claim_key(std::string_view pool, std::string_view idempotency_key);

/// One line of a claim log: the right to send the request with this key, taken or given back.
struct claim_entry {
    std::uint64_t key_high = 0;
    std::uint64_t key_low = 0;
    std::uint64_t nonce = 0; ///< Names the attempt, so that its claim is known again after a lost answer.
    bool released = false;   ///< The request was certainly not run; the key may be claimed again.

    bool operator==(const claim_entry&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(key_high, key_low, nonce, released);
    }
};

/// The stored value of one claim shard, at a generation. The generation before it rides along until the next
/// one begins; by then it stands under a key of its own, where it never changes. So no line is ever only in a
/// copy that a swap could miss.
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

/// Lines after which a log is closed and the next generation begun, so that each write stays small.
inline constexpr std::size_t max_claim_log_lines = 64;
/// How long claims are remembered at least.
inline constexpr milliseconds claim_retention = 10min;
/// Claim shards of a deployment; a shard is one key in the store.
inline constexpr std::uint64_t claim_shard_count = 16;

[[nodiscard]] constexpr std::uint64_t claim_shard_of(const claim_key& key) {
    return key.first % claim_shard_count;
}

/// An entry's copy of one shard: closed generations and the open one. It decides on claims and builds the
/// next value to compare-and-swap. Only a successful swap grants: two entries with the same key race at the
/// store, and the loser reads the winner's line. Pure; not thread-safe.
class claim_shard {
  public:
    /// Takes over the open log as the store has it. `version` is the store's.
    void set_open(const claim_log& log, std::uint64_t version);

    /// Takes over the lines of a closed generation.
    void add_closed(std::uint64_t generation, std::vector<claim_entry> lines, timestamp now);

    /// The oldest generation that this copy lacks before it may decide, if any.
    [[nodiscard]] bool find_missing_generation(std::uint64_t& generation) const;

    /// Marks `generation` as gone from the store: its claims have outlived the window.
    void skip_generation(std::uint64_t generation, timestamp now);

    enum class claim_state : std::uint8_t { free, held_by_attempt, held_by_other };

    /// What the copy says about a key. `mine` when `nonce` holds it.
    [[nodiscard]] claim_state check_claim(const claim_key& key, std::uint64_t nonce) const;

    /// The open log with `lines` appended.
    [[nodiscard]] claim_log make_log_with(const std::vector<claim_entry>& lines) const;

    /// The log that begins the next generation. Precondition: the previous one stands under its own key.
    [[nodiscard]] claim_log next_generation() const;

    [[nodiscard]] const claim_log& open() const noexcept { return m_open; }
    [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }
    [[nodiscard]] bool must_close() const noexcept { return m_open.lines.size() >= max_claim_log_lines; }

    /// Drops generations that were closed longer than the window ago.
    void remove_expired(timestamp now);

    [[nodiscard]] std::size_t line_count() const noexcept;

  private:
    struct closed_log {
        std::vector<claim_entry> lines;
        timestamp added_at{0};
    };

    static void find_last_line(const std::vector<claim_entry>& lines, const claim_key& key,
                               const claim_entry*& last);

    claim_log m_open;
    std::uint64_t m_version = 0;
    std::map<std::uint64_t, closed_log> m_closed;
    std::uint64_t m_first_generation = 0; ///< Oldest one that may still matter.
};

} // namespace siskinpaddle
