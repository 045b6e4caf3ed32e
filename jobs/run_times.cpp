#include "jobs/run_times.hpp"

#include <algorithm>
#include <cmath>

namespace siskinpaddle::jobs {

namespace {

/// Factor by which the weight of earlier tasks decays with each new one: about the last five hundred count,
/// so that one task in a hundred is still seen a few times.
constexpr double decay_factor = 0.998;

} // namespace

std::size_t run_times::bin_of(double ratio) {
    const double bin = std::floor(std::log(std::max(ratio, min_ratio) / min_ratio) / std::log(bin_growth));
    return std::min(bin_count - 1, static_cast<std::size_t>(bin));
}

/// From a table, since each decision asks for the edges of all bins for each running task.
double run_times::ratio_of(std::size_t bin) {
    static const std::array<double, bin_count> ratios = [] {
        std::array<double, bin_count> result{};
        for (std::size_t i = 0; i < bin_count; ++i) {
            result.at(i) = min_ratio * std::pow(bin_growth, static_cast<double>(i + 1));
        }
        return result;
    }();
    return ratios.at(bin);
}

const run_times::histogram* run_times::find(const std::string& queue) const {
    const auto found = m_queues.find(queue);
    return found == m_queues.end() || found->second.total < min_observations ? nullptr : &found->second;
}

void run_times::record(const std::string& queue, std::int64_t estimate_ms, milliseconds took) {
    histogram& item = m_queues[queue];
    for (double& weight : item.weights) {
        weight *= decay_factor;
    }
    const double estimate = static_cast<double>(std::max<std::int64_t>(1, estimate_ms));
    item.weights.at(bin_of(static_cast<double>(took.count()) / estimate)) += 1;
    item.total = item.total * decay_factor + 1;
}

double run_times::observations(const std::string& queue) const {
    const auto found = m_queues.find(queue);
    return found == m_queues.end() ? 0 : found->second.total;
}

milliseconds run_times::quantile(const std::string& queue, std::int64_t estimate_ms, double q) const {
    const histogram* item = find(queue);
    if (item == nullptr) {
        return milliseconds(estimate_ms);
    }
    double below = 0;
    std::size_t bin = 0;
    while (bin + 1 < bin_count && (below += item->weights.at(bin)) < q * item->total) {
        ++bin;
    }
    return milliseconds(std::llround(ratio_of(bin) * static_cast<double>(estimate_ms)));
}

milliseconds run_times::expected_remaining(const std::string& queue, std::int64_t estimate_ms,
                                           milliseconds elapsed) const {
    const histogram* item = find(queue);
    const double estimate = static_cast<double>(std::max<std::int64_t>(1, estimate_ms));
    const double ratio = static_cast<double>(elapsed.count()) / estimate;
    if (item == nullptr) {
        return std::max<milliseconds>(0ms, milliseconds(estimate_ms) - elapsed);
    }
    double weight = 0;
    double sum = 0;
    for (std::size_t bin = 0; bin < bin_count; ++bin) {
        if (ratio_of(bin) > ratio) {
            weight += item->weights.at(bin);
            sum += item->weights.at(bin) * (ratio_of(bin) - ratio);
        }
    }
    return weight <= 0 ? elapsed : milliseconds(std::llround(sum / weight * estimate));
}

} // namespace siskinpaddle::jobs
