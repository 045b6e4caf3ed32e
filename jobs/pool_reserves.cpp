#include "jobs/pool_reserves.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace siskinpaddle::jobs {

namespace {

/// Demand of all pools together may grow to this multiple of its largest value without meeting a machine that
/// is kept as a reserve.
constexpr double demand_growth = 2;

} // namespace

std::map<std::string, std::size_t> pool_reserves::update(std::span<const pool_level> pools,
                                                         std::size_t machines,
                                                         const reserve_settings& settings, timestamp now) {
    const double elapsed = static_cast<double>((now - std::exchange(m_updated_at, now)).count());
    const double fading = std::exp2(-elapsed / static_cast<double>(settings.half_life.count()));
    double total = 0;
    for (const pool_level& item : pools) {
        const auto wanted = static_cast<double>(item.wanted);
        total += wanted;
        const auto [peak, is_new] = m_peaks.try_emplace(item.pool, static_cast<double>(item.listed));
        peak->second = std::max(wanted, is_new ? peak->second : peak->second * fading);
    }
    m_total_peak = std::max(total, m_total_peak * fading);

    const double unused = std::max(0.0, static_cast<double>(machines) - demand_growth * m_total_peak);
    std::map<std::string, std::size_t> requests;
    for (const pool_level& item : pools) {
        const auto peak = static_cast<std::size_t>(std::ceil(m_peaks[item.pool]));
        requests[item.pool] = std::max(peak, item.wanted) - item.wanted;
    }
    std::map<std::string, std::size_t> kept =
        share_equally(requests, static_cast<std::size_t>(unused * settings.max_share));
    for (const pool_level& item : pools) {
        kept[item.pool] += item.wanted;
    }
    return kept;
}

std::map<std::string, std::size_t> share_equally(const std::map<std::string, std::size_t>& requests,
                                                 std::size_t available) {
    std::vector<std::pair<std::size_t, std::string>> by_size;
    by_size.reserve(requests.size());
    for (const auto& [name, request] : requests) {
        by_size.emplace_back(request, name);
    }
    std::ranges::sort(by_size);
    std::map<std::string, std::size_t> shares;
    std::size_t left = by_size.size();
    for (const auto& [request, name] : by_size) {
        const std::size_t share = std::min(request, available / left);
        shares[name] = share;
        available -= share;
        --left;
    }
    return shares;
}

} // namespace siskinpaddle::jobs
