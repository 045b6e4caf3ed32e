#include "telemetry/metrics.hpp"

#include <boost/histogram.hpp>
#include <sstream>

namespace siskinpaddle {

namespace {

/// Logarithmic buckets from 0.1 ms to 100 s, ten per decade.
using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

auto make_buckets() {
    return boost::histogram::make_histogram(log_axis(60, 0.1, 1e5));
}

} // namespace

struct metrics::latency_histogram {
    decltype(make_buckets()) buckets = make_buckets();
    std::uint64_t count = 0;
};

metrics::metrics() = default;
metrics::~metrics() = default;

std::uint64_t metrics::counter(const std::string& name) const {
    const auto found = m_counters.find(name);
    return found == m_counters.end() ? 0 : found->second;
}

void metrics::observe(const std::string& name, double ms) {
    std::unique_ptr<latency_histogram>& item = m_histograms[name];
    if (item == nullptr) {
        item = std::make_unique<latency_histogram>();
    }
    item->buckets(ms);
    ++item->count;
}

double metrics::quantile(const std::string& name, double q) const {
    const auto found = m_histograms.find(name);
    if (found == m_histograms.end() || found->second->count == 0) {
        return 0;
    }
    const double rank = q * static_cast<double>(found->second->count);
    double cumulative = 0;
    double upper_edge = 0;
    for (auto&& bucket : boost::histogram::indexed(found->second->buckets, boost::histogram::coverage::all)) {
        cumulative += *bucket;
        upper_edge = bucket.bin().upper();
        if (cumulative >= rank) {
            break;
        }
    }
    return upper_edge;
}

std::string metrics::to_text() const {
    std::ostringstream text;
    for (const auto& [name, value] : m_counters) {
        text << "siskinpaddle_" << name << " " << value << "\n";
    }
    for (const auto& [name, item] : m_histograms) {
        double cumulative = 0;
        for (auto&& bucket : boost::histogram::indexed(item->buckets, boost::histogram::coverage::all)) {
            cumulative += *bucket;
            if (*bucket > 0) {
                text << "siskinpaddle_" << name << "_ms_bucket{le=\"" << bucket.bin().upper() << "\"} "
                     << cumulative << "\n";
            }
        }
        text << "siskinpaddle_" << name << "_ms_count " << item->count << "\n";
    }
    return text.str();
}

} // namespace siskinpaddle
