#include "policy/claims.hpp"

#include <algorithm>

namespace siskinpaddle {

namespace {

constexpr std::uint64_t low_half_seed = 0x5bd1e995;

} // namespace

claim_key make_claim_key(std::string_view pool, std::string_view idempotency_key) {
    const std::string text = std::string(pool) + '\0' + std::string(idempotency_key);
    return {hash64(text), hash64(text, low_half_seed)};
}

std::string encode_claim_log(const claim_log& log) {
    return encode_archive(log);
}

boost::leaf::result<claim_log> decode_claim_log(std::string_view bytes) {
    return decode_archive<claim_log>(bytes);
}

void claim_shard::set_open(const claim_log& log, std::uint64_t version) {
    m_open = log;
    m_version = version;
}

void claim_shard::add_closed(std::uint64_t generation, std::vector<claim_entry> lines, timestamp now) {
    m_closed[generation] = {std::move(lines), now};
}

bool claim_shard::find_missing_generation(std::uint64_t& generation) const {
    // Searches from the newest generation down: when a generation has been deleted from the store, all older
    // ones have been too. The generation just before the open one is part of the open log.
    for (std::uint64_t next = m_open.generation; next > m_first_generation + 1; --next) {
        if (!m_closed.contains(next - 2)) {
            generation = next - 2;
            return true;
        }
    }
    return false;
}

void claim_shard::skip_generation(std::uint64_t generation, timestamp now) {
    m_first_generation = std::max(m_first_generation, generation + 1);
    remove_expired(now);
}

void claim_shard::update_last_line(const std::vector<claim_entry>& lines, const claim_key& key,
                                   const claim_entry*& last) {
    for (const claim_entry& line : lines) {
        if (line.key_high == key.first && line.key_low == key.second) {
            last = &line;
        }
    }
}

claim_shard::claim_state claim_shard::check_claim(const claim_key& key, std::uint64_t nonce) const {
    const claim_entry* last = nullptr;
    for (const auto& [generation, closed] : m_closed) {
        update_last_line(closed.lines, key, last);
    }
    update_last_line(m_open.previous, key, last);
    update_last_line(m_open.lines, key, last);
    if (last == nullptr || last->released) {
        return claim_state::free;
    }
    return last->nonce == nonce ? claim_state::held_by_attempt : claim_state::held_by_other;
}

claim_log claim_shard::make_log_with(const std::vector<claim_entry>& lines) const {
    claim_log next = m_open;
    next.lines.insert(next.lines.end(), lines.begin(), lines.end());
    return next;
}

claim_log claim_shard::next_generation() const {
    return {m_open.generation + 1, {}, m_open.lines};
}

void claim_shard::remove_expired(timestamp now) {
    while (!m_closed.empty()) {
        const auto oldest = m_closed.begin();
        if (oldest->first >= m_first_generation && now - oldest->second.added_at <= claim_retention) {
            return;
        }
        m_first_generation = std::max(m_first_generation, oldest->first + 1);
        m_closed.erase(oldest);
    }
}

std::size_t claim_shard::line_count() const noexcept {
    std::size_t lines = m_open.lines.size() + m_open.previous.size();
    for (const auto& [generation, closed] : m_closed) {
        lines += closed.lines.size();
    }
    return lines;
}

} // namespace siskinpaddle
