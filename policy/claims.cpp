#include "policy/claims.hpp"

#include <algorithm>

namespace siskinpaddle {

namespace {

constexpr std::uint64_t low_seed = 0x5bd1e995;

} // namespace

claim_key make_claim_key(std::string_view pool, std::string_view idempotency_key) {
    const std::string text = std::string(pool) + '\0' + std::string(idempotency_key);
    return {hash64(text), hash64(text, low_seed)};
}

std::string encode_claim_log(const claim_log& log) { return encode_archive(log); }

boost::leaf::result<claim_log> decode_claim_log(std::string_view bytes) {
    return decode_archive<claim_log>(bytes);
}

void claim_shard::set_open(const claim_log& log, std::uint64_t version) {
    m_open = log;
    m_version = version;
    const std::uint64_t window_generations = 4096;
    if (m_closed.empty() && log.generation > window_generations) {
        m_first_generation = std::max(m_first_generation, log.generation - window_generations);
    }
}

void claim_shard::add_closed(const claim_log& log, timestamp now) {
    m_closed[log.generation] = {log, now};
}

bool claim_shard::missing_generation(std::uint64_t& generation) const {
    // Newest first: once a generation has left the store, so have all before it.
    for (std::uint64_t candidate = m_open.generation; candidate > m_first_generation; --candidate) {
        if (!m_closed.contains(candidate - 1)) {
            generation = candidate - 1;
            return true;
        }
    }
    return false;
}

void claim_shard::skip_closed(std::uint64_t generation, timestamp now) {
    m_first_generation = std::max(m_first_generation, generation + 1);
    forget(now);
}

void claim_shard::replay(const claim_log& log, const claim_key& key, const claim_entry*& last) {
    for (const claim_entry& line : log.lines) {
        if (line.key_high == key.first && line.key_low == key.second) {
            last = &line;
        }
    }
}

claim_shard::verdict claim_shard::look(const claim_key& key, std::uint64_t nonce) const {
    const claim_entry* last = nullptr;
    for (const auto& [generation, closed] : m_closed) {
        replay(closed.log, key, last);
    }
    replay(m_open, key, last);
    if (last == nullptr || last->released) {
        return verdict::free;
    }
    return last->nonce == nonce ? verdict::mine : verdict::taken;
}

claim_log claim_shard::with(const std::vector<claim_entry>& lines) const {
    claim_log next = m_open;
    next.lines.insert(next.lines.end(), lines.begin(), lines.end());
    return next;
}

void claim_shard::forget(timestamp now) {
    while (!m_closed.empty()) {
        const auto oldest = m_closed.begin();
        if (oldest->first >= m_first_generation && now - oldest->second.seen <= claim_window) {
            return;
        }
        m_first_generation = std::max(m_first_generation, oldest->first + 1);
        m_closed.erase(oldest);
    }
}

std::size_t claim_shard::remembered() const noexcept {
    std::size_t lines = m_open.lines.size();
    for (const auto& [generation, closed] : m_closed) {
        lines += closed.log.lines.size();
    }
    return lines;
}

} // namespace siskinpaddle
