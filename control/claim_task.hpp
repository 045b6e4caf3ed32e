#pragma once

#include "control/state_task.hpp"

#include <array>
#include <deque>
#include <functional>
#include <memory>

namespace siskinpaddle {

/// Answer to a claim.
enum class claim_answer : std::uint8_t { granted, taken, unavailable };

/// Takes claims on idempotency keys from the platform, many with one write. A claim is granted only when the
/// platform holds it; without the platform nothing is granted.
class claim_task {
  public:
    claim_task(event_loop& loop, platform_client& platform, metrics& counters, std::uint64_t seed);

    using callback = std::function<void(claim_answer)>;

    /// Claims `key` under `nonce`; `done` is called once, before `deadline` plus one call's time.
    void claim(const claim_key& key, std::uint64_t nonce, timestamp deadline, callback done);

    /// Gives a claim back for a request that certainly was not run. Tried again until the platform holds it
    /// or the process ends.
    void release(const claim_key& key, std::uint64_t nonce);

    /// A number that no other attempt uses.
    [[nodiscard]] std::uint64_t make_nonce() { return m_random.next(); }

    [[nodiscard]] std::size_t remembered() const;
    [[nodiscard]] std::size_t pending_releases() const;

  private:
    struct pending {
        claim_key key;
        std::uint64_t nonce = 0;
        timestamp deadline{0};
        callback done;
    };
    struct shard {
        claim_shard log;
        bool loaded = false;
        bool busy = false;
        timestamp next_write{0};
        std::deque<pending> waiting;
        std::vector<claim_entry> releases;
        std::unique_ptr<timer> wake;
    };

    void pump(std::size_t index);
    void load(std::size_t index);
    void load_missing(std::size_t index);
    void decide(std::size_t index);
    void roll(std::size_t index);
    void write(std::size_t index, const claim_log& next);
    void written(std::size_t index, const claim_log& next, const store_answer& answer);
    void fail_waiting(std::size_t index);
    void pump_later(std::size_t index, milliseconds delay);

    event_loop& m_loop;
    platform_client& m_platform;
    metrics& m_metrics;
    random_source m_random;
    std::array<shard, claim_shard_count> m_shards;
};

} // namespace siskinpaddle
