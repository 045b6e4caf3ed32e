#include "node/fleet_timing.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// Demand rises to several times a pool's capacity within a second and stays there for several seconds; each
/// round costs one call to each pool's owner.
constexpr milliseconds min_round_interval = 160ms;
constexpr milliseconds::rep machines_per_second_of_rounds = 16'000;

constexpr std::size_t machines_per_page = 200;
constexpr milliseconds list_interval_per_page = 80ms;

/// A wave's limit of concurrent maintenance counts machines that are down, also those since the last order.
constexpr milliseconds max_age_in_wave = 1s;

} // namespace

milliseconds round_interval(std::size_t machines) {
    const auto count = static_cast<milliseconds::rep>(machines);
    return std::max(min_round_interval, milliseconds(1000 * count / machines_per_second_of_rounds));
}

milliseconds list_interval(std::size_t machines) {
    const std::size_t pages = (machines + machines_per_page - 1) / machines_per_page;
    return list_interval_per_page * static_cast<milliseconds::rep>(pages);
}

milliseconds max_list_age(std::size_t machines, bool is_wave_running) {
    return is_wave_running ? max_age_in_wave : max_age_in_wave + 2 * list_interval(machines);
}

} // namespace siskinpaddle::node
