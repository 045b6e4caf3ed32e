#include "control/claim_task.hpp"

namespace siskinpaddle {

namespace {

/// Minimum interval between two writes of a shard by one entry. It keeps the writes of all entries and shards
/// together within the rate that the store allows.
constexpr milliseconds min_write_interval = 60ms;
constexpr milliseconds retry_interval = 500ms;

std::string open_log_key(std::size_t index) {
    return "claims/" + std::to_string(index);
}

std::string closed_log_key(std::size_t index, std::uint64_t generation) {
    return open_log_key(index) + "/" + std::to_string(generation);
}

std::optional<claim_log> read_log(const store_answer& answer) {
    if (answer.status == store_status::absent) {
        return claim_log{};
    }
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<claim_log>> {
            BOOST_LEAF_AUTO(log, decode_claim_log(answer.value.bytes));
            return std::optional<claim_log>(std::move(log));
        },
        [] { return std::optional<claim_log>(); });
}

} // namespace

claim_task::claim_task(event_loop& loop, platform_client& platform, metrics& counters, std::uint64_t seed)
    : m_loop(loop), m_platform(platform), m_metrics(counters), m_random(seed) {}

void claim_task::claim(const claim_key& key, std::uint64_t nonce, timestamp deadline, callback done) {
    const std::size_t index = claim_shard_of(key);
    m_shards[index].waiting_claims.push_back({key, nonce, deadline, std::move(done)});
    process_shard(index);
}

void claim_task::release(const claim_key& key, std::uint64_t nonce) {
    const std::size_t index = claim_shard_of(key);
    m_shards[index].releases.push_back({key.first, key.second, nonce, true});
    process_shard(index);
}

std::size_t claim_task::line_count() const {
    std::size_t lines = 0;
    for (const shard& item : m_shards) {
        lines += item.log.line_count();
    }
    return lines;
}

std::size_t claim_task::pending_releases() const {
    std::size_t count = 0;
    for (const shard& item : m_shards) {
        count += item.releases.size();
    }
    return count;
}

void claim_task::schedule_processing(std::size_t index, milliseconds delay) {
    shard& item = m_shards[index];
    item.processing_timer = m_loop.make_timer([this, index] { process_shard(index); });
    item.processing_timer->start(std::max(delay, 1ms));
}

void claim_task::process_shard(std::size_t index) {
    shard& item = m_shards[index];
    if (item.is_busy || (item.waiting_claims.empty() && item.releases.empty())) {
        return;
    }
    const timestamp now = event_loop::now();
    if (now < item.next_write_at) {
        schedule_processing(index, item.next_write_at - now);
        return;
    }
    item.is_busy = true;
    if (item.is_loaded) {
        resolve_claims(index);
    } else {
        load_open_log(index);
    }
}

void claim_task::load_open_log(std::size_t index) {
    m_platform.get(open_log_key(index), [this, index](const store_answer& answer) {
        shard& item = m_shards[index];
        const bool answered = answer.status == store_status::ok || answer.status == store_status::absent;
        const std::optional<claim_log> log = answered ? read_log(answer) : std::nullopt;
        if (!log) {
            fail_waiting_claims(index);
            return;
        }
        item.log.set_open(*log, answer.value.version);
        load_missing_generations(index);
    });
}

void claim_task::load_missing_generations(std::size_t index) {
    shard& item = m_shards[index];
    std::uint64_t generation = 0;
    if (!item.log.find_missing_generation(generation)) {
        item.is_loaded = true;
        item.log.remove_expired(event_loop::now());
        resolve_claims(index);
        return;
    }
    m_platform.get(closed_log_key(index, generation), [this, index, generation](const store_answer& answer) {
        shard& loading = m_shards[index];
        if (answer.status == store_status::absent) {
            loading.log.skip_generation(generation, event_loop::now());
        } else if (const auto log = answer.status == store_status::ok ? read_log(answer) : std::nullopt) {
            loading.log.add_closed(generation, log->lines, event_loop::now());
        } else {
            fail_waiting_claims(index);
            return;
        }
        load_missing_generations(index);
    });
}

void claim_task::resolve_claims(std::size_t index) {
    shard& item = m_shards[index];
    const timestamp now = event_loop::now();
    std::vector<claim_entry> lines;
    std::deque<pending_claim> undecided;
    std::vector<std::pair<callback, claim_answer>> decided;
    claim_shard updated = item.log;
    for (pending_claim& claim : item.waiting_claims) {
        const auto state = updated.check_claim(claim.key, claim.nonce);
        if (state == claim_shard::claim_state::held_by_attempt) {
            decided.emplace_back(std::move(claim.done), claim_answer::granted);
        } else if (state == claim_shard::claim_state::held_by_other) {
            decided.emplace_back(std::move(claim.done), claim_answer::already_claimed);
        } else if (claim.deadline <= now) {
            decided.emplace_back(std::move(claim.done), claim_answer::unavailable);
        } else {
            const claim_entry line{claim.key.first, claim.key.second, claim.nonce, false};
            lines.push_back(line);
            // A later request with the same key in this batch must find this claim.
            updated.set_open(updated.make_log_with({line}), updated.version());
            undecided.push_back(std::move(claim));
        }
    }
    item.waiting_claims = std::move(undecided);
    std::erase_if(item.releases, [&updated](const claim_entry& release) {
        return updated.check_claim({release.key_high, release.key_low}, release.nonce) !=
               claim_shard::claim_state::held_by_attempt;
    });
    lines.insert(lines.end(), item.releases.begin(), item.releases.end());
    if (lines.empty()) {
        item.is_busy = false;
    } else if (now < item.next_write_at) {
        item.is_busy = false;
        schedule_processing(index, item.next_write_at - now);
    } else if (item.log.must_close()) {
        start_next_generation(index);
    } else {
        write_log(index, item.log.make_log_with(lines));
    }
    for (auto& [done, answer] : decided) {
        done(answer);
    }
}

void claim_task::start_next_generation(std::size_t index) {
    shard& item = m_shards[index];
    const claim_log next = item.log.next_generation();
    if (item.log.open().generation == 0) {
        write_log(index, next);
        return;
    }
    // Starting the next generation removes the previous one from the open log, so the previous one is stored
    // under its own key first. Every entry would write the same lines, so a conflict counts as success.
    const std::uint64_t closing = item.log.open().generation - 1;
    const claim_log closed{closing, item.log.open().previous, {}};
    m_platform.put(closed_log_key(index, closing), 0, encode_claim_log(closed), claim_retention,
                   [this, index, next, closed](const store_answer& answer) {
                       if (answer.status != store_status::ok && answer.status != store_status::conflict) {
                           m_shards[index].is_loaded = false;
                           fail_waiting_claims(index);
                           return;
                       }
                       m_shards[index].log.add_closed(closed.generation, closed.lines, event_loop::now());
                       write_log(index, next);
                   });
}

void claim_task::write_log(std::size_t index, const claim_log& next) {
    shard& item = m_shards[index];
    m_metrics.increment("claim_writes");
    item.next_write_at = event_loop::now() + min_write_interval;
    m_platform.put(
        open_log_key(index), item.log.version(), encode_claim_log(next), milliseconds{0},
        [this, index, next](const store_answer& answer) { handle_write_answer(index, next, answer); });
}

void claim_task::handle_write_answer(std::size_t index, const claim_log& next, const store_answer& answer) {
    shard& item = m_shards[index];
    switch (answer.status) {
    case store_status::ok:
        item.log.set_open(next, answer.value.version);
        resolve_claims(index);
        return;
    case store_status::conflict:
    case store_status::unknown:
        // Another entry has written the log, or the answer to this write was lost: read the stored log again.
        item.is_loaded = false;
        load_open_log(index);
        return;
    case store_status::unchanged:
    case store_status::absent:
    case store_status::unreachable:
        item.is_loaded = false;
        fail_waiting_claims(index);
        return;
    }
}

void claim_task::fail_waiting_claims(std::size_t index) {
    shard& item = m_shards[index];
    item.is_busy = false;
    std::deque<pending_claim> failed;
    failed.swap(item.waiting_claims);
    for (pending_claim& claim : failed) {
        // The write of this claim may have taken effect; the release undoes it once the platform is
        // reachable.
        item.releases.push_back({claim.key.first, claim.key.second, claim.nonce, true});
        claim.done(claim_answer::unavailable);
    }
    if (!item.releases.empty()) {
        item.next_write_at = event_loop::now() + retry_interval;
        schedule_processing(index, retry_interval);
    }
}

} // namespace siskinpaddle
