#pragma once

#include "control/state_task.hpp"

#include <array>
#include <deque>
#include <functional>
#include <memory>

namespace siskinpaddle {

/// Answer to a claim.
enum class claim_answer : std::uint8_t { granted, already_claimed, unavailable };

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

    [[nodiscard]] std::size_t line_count() const;
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
