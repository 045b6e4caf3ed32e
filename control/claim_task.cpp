#include "control/claim_task.hpp"

namespace siskinpaddle {

namespace {

/// Least time between two writes of a shard, so that the shards of all entries together stay within the
/// store's rate.
constexpr milliseconds write_interval = 60ms;
constexpr milliseconds retry_interval = 500ms;

std::string open_key(std::size_t index) {
    return "claims/" + std::to_string(index);
}

std::string closed_key(std::size_t index, std::uint64_t generation) {
    return open_key(index) + "/" + std::to_string(generation);
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
    m_shards[index].waiting.push_back({key, nonce, deadline, std::move(done)});
    pump(index);
}

void claim_task::release(const claim_key& key, std::uint64_t nonce) {
    const std::size_t index = claim_shard_of(key);
    m_shards[index].releases.push_back({key.first, key.second, nonce, true});
    pump(index);
}

std::size_t claim_task::remembered() const {
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

void claim_task::pump_later(std::size_t index, milliseconds delay) {
    shard& item = m_shards[index];
    item.wake = m_loop.make_timer([this, index] { pump(index); });
    item.wake->start(std::max(delay, 1ms));
}

void claim_task::pump(std::size_t index) {
    shard& item = m_shards[index];
    if (item.busy || (item.waiting.empty() && item.releases.empty())) {
        return;
    }
    const timestamp now = event_loop::now();
    if (now < item.next_write) {
        pump_later(index, item.next_write - now);
        return;
    }
    item.busy = true;
    if (item.loaded) {
        decide(index);
    } else {
        load(index);
    }
}

void claim_task::load(std::size_t index) {
    m_platform.get(open_key(index), [this, index](const store_answer& answer) {
        shard& item = m_shards[index];
        const bool answered = answer.status == store_status::ok || answer.status == store_status::absent;
        const std::optional<claim_log> log = answered ? read_log(answer) : std::nullopt;
        if (!log) {
            fail_waiting(index);
            return;
        }
        item.log.set_open(*log, answer.value.version);
        load_missing(index);
    });
}

void claim_task::load_missing(std::size_t index) {
    shard& item = m_shards[index];
    std::uint64_t generation = 0;
    if (!item.log.find_missing_generation(generation)) {
        item.loaded = true;
        item.log.remove_expired(event_loop::now());
        decide(index);
        return;
    }
    m_platform.get(closed_key(index, generation), [this, index, generation](const store_answer& answer) {
        shard& loading = m_shards[index];
        if (answer.status == store_status::absent) {
            loading.log.skip_generation(generation, event_loop::now());
        } else if (const auto log = answer.status == store_status::ok ? read_log(answer) : std::nullopt) {
            loading.log.add_closed(generation, log->lines, event_loop::now());
        } else {
            fail_waiting(index);
            return;
        }
        load_missing(index);
    });
}

void claim_task::decide(std::size_t index) {
    shard& item = m_shards[index];
    const timestamp now = event_loop::now();
    std::vector<claim_entry> lines;
    std::deque<pending> undecided;
    std::vector<std::pair<callback, claim_answer>> decided;
    claim_shard after = item.log;
    for (pending& claim : item.waiting) {
        const auto verdict = after.check_claim(claim.key, claim.nonce);
        if (verdict == claim_shard::claim_state::held_by_attempt) {
            decided.emplace_back(std::move(claim.done), claim_answer::granted);
        } else if (verdict == claim_shard::claim_state::held_by_other) {
            decided.emplace_back(std::move(claim.done), claim_answer::taken);
        } else if (claim.deadline <= now) {
            decided.emplace_back(std::move(claim.done), claim_answer::unavailable);
        } else {
            const claim_entry line{claim.key.first, claim.key.second, claim.nonce, false};
            lines.push_back(line);
            // Two requests with one key in one batch: the second must see the first.
            after.set_open(after.make_log_with({line}), after.version());
            undecided.push_back(std::move(claim));
        }
    }
    item.waiting = std::move(undecided);
    std::erase_if(item.releases, [&after](const claim_entry& release) {
        return after.check_claim({release.key_high, release.key_low}, release.nonce) !=
               claim_shard::claim_state::held_by_attempt;
    });
    lines.insert(lines.end(), item.releases.begin(), item.releases.end());
    if (lines.empty()) {
        item.busy = false;
    } else if (now < item.next_write) {
        item.busy = false;
        pump_later(index, item.next_write - now);
    } else if (item.log.must_close()) {
        roll(index);
    } else {
        write(index, item.log.make_log_with(lines));
    }
    for (auto& [done, answer] : decided) {
        done(answer);
    }
}

void claim_task::roll(std::size_t index) {
    shard& item = m_shards[index];
    const claim_log next = item.log.next_generation();
    if (item.log.open().generation == 0) {
        write(index, next);
        return;
    }
    // The generation before the open one leaves the open key now, so it must first stand under its own.
    // Whoever writes it writes the same lines, so finding it there already is as good.
    const std::uint64_t closing = item.log.open().generation - 1;
    const claim_log closed{closing, item.log.open().previous, {}};
    m_platform.put(closed_key(index, closing), 0, encode_claim_log(closed), claim_retention,
                   [this, index, next, closed](const store_answer& answer) {
                       if (answer.status != store_status::ok && answer.status != store_status::conflict) {
                           m_shards[index].loaded = false;
                           fail_waiting(index);
                           return;
                       }
                       m_shards[index].log.add_closed(closed.generation, closed.lines, event_loop::now());
                       write(index, next);
                   });
}

void claim_task::write(std::size_t index, const claim_log& next) {
    shard& item = m_shards[index];
    m_metrics.increment("claim_writes");
    item.next_write = event_loop::now() + write_interval;
    m_platform.put(open_key(index), item.log.version(), encode_claim_log(next), milliseconds{0},
                   [this, index, next](const store_answer& answer) { written(index, next, answer); });
}

void claim_task::written(std::size_t index, const claim_log& next, const store_answer& answer) {
    shard& item = m_shards[index];
    switch (answer.status) {
    case store_status::ok:
        item.log.set_open(next, answer.value.version);
        decide(index);
        return;
    case store_status::conflict:
    case store_status::unknown:
        // Another entry was faster, or our own write's answer is lost: only the store knows.
        item.loaded = false;
        load(index);
        return;
    case store_status::unchanged:
    case store_status::absent:
    case store_status::unreachable:
        item.loaded = false;
        fail_waiting(index);
        return;
    }
}

void claim_task::fail_waiting(std::size_t index) {
    shard& item = m_shards[index];
    item.busy = false;
    std::deque<pending> failed;
    failed.swap(item.waiting);
    for (pending& claim : failed) {
        // Its write may have taken effect all the same; the release undoes that when the platform is back.
        item.releases.push_back({claim.key.first, claim.key.second, claim.nonce, true});
        claim.done(claim_answer::unavailable);
    }
    if (!item.releases.empty()) {
        item.next_write = event_loop::now() + retry_interval;
        pump_later(index, retry_interval);
    }
}

} // namespace siskinpaddle
