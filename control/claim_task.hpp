#pragma once

#include "control/state_task.hpp"

#include <array>
#include <deque>
#include <functional>
#include <memory>

namespace siskinpaddle {

/// Result of a claim.
enum class claim_answer : std::uint8_t { granted, already_claimed, unavailable };

/// Claims idempotency keys in the platform's store, grouping the claims of a shard into one write. A claim is
/// granted only after the store has accepted it, so no claim is granted while the platform is unreachable.
/// Belongs to the thread of its event loop.
class claim_task {
  public:
    claim_task(event_loop& loop, platform_client& platform, metrics& counters, std::uint64_t seed);

    using callback = std::function<void(claim_answer)>;

    /// Claims `key` for the attempt identified by `nonce`. `done` is called exactly once, no later than
    /// `deadline` plus the duration of one platform call.
    void claim(const claim_key& key, std::uint64_t nonce, timestamp deadline, callback done);

    /// Releases the claim of a request that is confirmed not to have run. The release is retried until it is
    /// stored or the process ends.
    void release(const claim_key& key, std::uint64_t nonce);

    /// Returns a random number to identify one attempt; a collision is negligibly rare.
    [[nodiscard]] std::uint64_t make_nonce() { return m_random.next(); }

    /// Number of claim log lines that are held in memory, over all shards.
    [[nodiscard]] std::size_t line_count() const;
    /// Number of releases that are not confirmed as stored.
    [[nodiscard]] std::size_t pending_releases() const;

  private:
    struct pending_claim {
        claim_key key;
        std::uint64_t nonce = 0;
        timestamp deadline{0};
        callback done;
    };
    struct shard {
        claim_shard log;
        bool is_loaded = false;
        bool is_busy = false;
        timestamp next_write_at{0};
        std::deque<pending_claim> waiting_claims;
        std::vector<claim_entry> releases;
        std::unique_ptr<timer> processing_timer;
    };

    void process_shard(std::size_t index);
    void load_open_log(std::size_t index);
    void load_missing_generations(std::size_t index);
    void resolve_claims(std::size_t index);
    void start_next_generation(std::size_t index);
    void write_log(std::size_t index, const claim_log& next);
    void handle_write_answer(std::size_t index, const claim_log& next, const store_answer& answer);
    void fail_waiting_claims(std::size_t index);
    void schedule_processing(std::size_t index, milliseconds delay);

    event_loop& m_loop;
    platform_client& m_platform;
    metrics& m_metrics;
    random_source m_random;
    std::array<shard, claim_shard_count> m_shards;
};

} // namespace siskinpaddle
