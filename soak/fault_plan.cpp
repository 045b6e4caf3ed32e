#include "soak/fault_plan.hpp"

#include <random>

namespace siskinpaddle::soak {

namespace {

/// Between two moments at which faults begin; shorter than most faults last, so that they overlap.
constexpr std::int64_t longest_gap_ms = 1500;
/// One moment in so many has several faults at once.
constexpr std::uint32_t burst_one_in = 3;
constexpr std::uint32_t most_in_burst = 3;
/// From below a retry's pause to past the leases of the store and the time that an owner acts beyond them.
constexpr std::int64_t shortest_ms = 200;
constexpr std::int64_t longest_ms = 8000;

constexpr std::size_t kinds = enum_names<fault_kind>.size();

bool is_momentary(fault_kind kind) {
    return kind == fault_kind::store_compact || kind == fault_kind::store_leases_lapse ||
           kind == fault_kind::new_configuration;
}

} // namespace

std::vector<planned_fault> make_plan(std::uint64_t seed, milliseconds length) {
    std::mt19937_64 random(seed);
    // Not the library's distributions: their results differ from one library to the next.
    const auto below = [&random](std::uint64_t bound) { return random() % bound; };
    std::vector<planned_fault> plan;
    milliseconds at(0);
    while (true) {
        at += milliseconds(static_cast<std::int64_t>(below(longest_gap_ms)));
        if (at >= length) {
            return plan;
        }
        const std::uint64_t together = below(burst_one_in) == 0 ? 2 + below(most_in_burst - 1) : 1;
        for (std::uint64_t i = 0; i < together; ++i) {
            planned_fault item;
            item.at = at;
            item.kind = enum_names<fault_kind>.at(below(kinds)).first;
            item.target = static_cast<std::uint32_t>(below(1U << 16U));
            const auto lasts = shortest_ms + static_cast<std::int64_t>(below(longest_ms - shortest_ms));
            item.lasts = milliseconds(is_momentary(item.kind) ? 0 : lasts);
            plan.push_back(item);
        }
    }
}

} // namespace siskinpaddle::soak
