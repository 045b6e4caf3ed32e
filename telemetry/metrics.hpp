#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace siskinpaddle {

/// Counters and latency histograms of one process. Not thread-safe; used by one task.
class metrics {
  public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    void increment(const std::string& name, std::uint64_t amount = 1) { m_counters[name] += amount; }
    void set(const std::string& name, std::uint64_t value) { m_counters[name] = value; }
    [[nodiscard]] std::uint64_t counter(const std::string& name) const;

    /// Records a duration in milliseconds under `name`.
    void observe(const std::string& name, double ms);

    /// Returns the upper edge in milliseconds of the bucket that contains the quantile, or 0 without
    /// observations.
    [[nodiscard]] double quantile(const std::string& name, double q) const;

    /// Returns the text form: one `name value` line per counter, histograms as cumulative buckets.
    [[nodiscard]] std::string to_text() const;

  private:
    struct latency_histogram;

    std::map<std::string, std::uint64_t> m_counters;
    std::map<std::string, std::unique_ptr<latency_histogram>> m_histograms;
};

} // namespace siskinpaddle
