#include "jobs/label_meters.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

namespace {

/// How long a VM with a label is kept after a task last required it: several demand peaks of 4 to 5 s each.
constexpr milliseconds label_retention = 20s;

} // namespace

void label_meters::record_arrival(const job_spec& spec, const work_gauge& gauge, timestamp now) {
    std::map<std::string, std::int64_t> by_label;
    for (const step_spec& step : spec.steps) {
        if (!step.required_label.empty()) {
            by_label[step.required_label] += estimate_work(step, step.count, spec.queue, gauge);
        }
    }
    for (const auto& [label, work] : by_label) {
        meter& item = m_meters[label];
        item.demand.record_arrival(spec.id, work, now);
        item.last_requested_at = now;
    }
}

std::vector<label_demand> label_meters::update(const std::map<std::string, std::int64_t>& wanted,
                                               timestamp now) {
    for (const auto& [label, millicores] : wanted) {
        m_meters[label].last_requested_at = now;
    }
    std::erase_if(m_meters,
                  [&](const auto& item) { return now - item.second.last_requested_at > label_retention; });
    std::vector<label_demand> result;
    for (auto& [label, item] : m_meters) {
        const auto found = wanted.find(label);
        item.demand.update(found == wanted.end() ? 0 : found->second, 0, now);
        result.push_back(
            {label, item.demand.current_need(), std::max<std::int64_t>(1, item.demand.smoothed_need())});
    }
    return result;
}

} // namespace siskinpaddle::jobs
