#include "soak/load_script.hpp"

#include "soak/account_script.hpp"

namespace siskinpaddle::soak {

namespace {

constexpr std::uint64_t hot_seed = 0x407;
constexpr std::uint64_t trait_seed = 0x7a11;
/// One account is hot per interval, from a random time in its first two seconds on.
constexpr milliseconds hot_interval = 7500ms;
constexpr std::uint64_t hot_start_window_ms = 2000;
constexpr std::uint64_t min_hot_ms = 2000;
constexpr std::uint64_t max_hot_ms = 3500;
/// An account that isn't the largest submits a job in so many iterations.
constexpr std::uint32_t usual_one_in = 6;
constexpr std::uint64_t speculative_one_in = 8;
/// One job in so many has a long task: with 2.5 tasks a job, three tasks in a hundred.
constexpr std::uint64_t tail_one_in = 13;
/// Four to eight times the estimate.
constexpr std::uint64_t min_tail_ms = 2000;
constexpr std::uint64_t max_tail_ms = 4000;

milliseconds draw_between(std::mt19937_64& random, std::uint64_t from, std::uint64_t below) {
    return milliseconds(static_cast<std::int64_t>(from + random() % (below - from)));
}

} // namespace

load_script::load_script(std::uint64_t seed)
    : m_hot_random(seed ^ hot_seed), m_trait_random(seed ^ trait_seed) {
    draw_period();
}

void load_script::draw_period() {
    m_period.start_offset = m_next_interval + draw_between(m_hot_random, 0, hot_start_window_ms);
    m_period.duration = draw_between(m_hot_random, min_hot_ms, max_hot_ms);
    m_period.account = m_hot_random() % account_script::accounts;
    m_period.factor = min_factor + static_cast<std::uint32_t>(m_hot_random() % (max_factor - min_factor + 1));
    m_next_interval += hot_interval;
}

const hot_period* load_script::hot_at(milliseconds offset) {
    while (offset >= m_period.start_offset + m_period.duration) {
        draw_period();
    }
    return offset >= m_period.start_offset ? &m_period : nullptr;
}

std::uint32_t load_script::draw_additional_jobs(const hot_period& period) {
    const std::uint32_t sixths = period.factor - 1;
    const bool one_more = m_hot_random() % usual_one_in < sixths % usual_one_in;
    return sixths / usual_one_in + (one_more ? 1 : 0);
}

job_traits load_script::draw_traits(std::uint32_t tasks) {
    job_traits result;
    result.speculative = m_trait_random() % speculative_one_in == 0;
    const bool has_tail = m_trait_random() % tail_one_in == 0;
    const long_task tail{static_cast<std::uint32_t>(m_trait_random() % tasks),
                         draw_between(m_trait_random, min_tail_ms, max_tail_ms)};
    if (has_tail) {
        result.tail = tail;
    }
    return result;
}

} // namespace siskinpaddle::soak
