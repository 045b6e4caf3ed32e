#include "jobs/job_admission.hpp"

#include <algorithm>
#include <cmath>

namespace siskinpaddle::jobs {

namespace {

/// A job that ends within this multiple of its objective is still of some use to its client.
constexpr int useful_lateness_factor = 3;
/// Maximum expected end of a job that is accepted although it will be late, as a multiple of its objective.
/// Below useful_lateness_factor, since estimates of work are off by a fifth to a half.
constexpr double late_admission_factor = 2.5;
/// Maximum share of a pool's capacity that late work may take from new jobs.
constexpr double late_work_share = 0.25;
/// Maximum expected end of a job as a multiple of its objective. Above 1, jobs that most likely end late are
/// accepted; below 1, machines are idle whenever the estimate of the queue is too long.
constexpr double admission_slack = 1.0;
/// Clients receive the retry delay in whole seconds.
constexpr milliseconds min_retry_after = 1s;
/// A delay longer than the queue takes to drain is of no use to a client whose own objective is a few
/// seconds.
constexpr milliseconds max_retry_after = 5s;

/// Time over which arriving work is averaged: long enough for a few jobs even of the rare large kinds, within
/// the two seconds that machines take to arrive.
constexpr milliseconds arrival_window = 1500ms;
/// Fewer jobs than this in the window don't determine a rate.
constexpr std::size_t min_arrivals = 3;
/// The rise of the rate is computed from two spans of this length: long enough to contain dozens of jobs at
/// the rates that need many machines, short compared with the four seconds in which a demand peak rises.
constexpr milliseconds trend_span = 1000ms;
/// How far ahead the rate is extrapolated: from the middle of the last span, half a span back, to the arrival
/// of machines.
constexpr double trend_horizon_s = 2.4;
/// A rise counts only beyond this many standard deviations of the difference that independent arrivals cause;
/// with one, a constant rate would be taken for a rise in one of six readings and request machines each time.
constexpr double min_rise_deviations = 1.5;
/// A rate is extrapolated to at most this multiple of itself.
constexpr double max_rate_growth = 3;
/// Time in which the smoothed need's excess over the current need falls to about a third. Demand peaks last
/// several seconds.
constexpr double need_decay_ms = 1200;

milliseconds allowed_time(std::int64_t critical_path_ms, const queue_settings& queue) {
    return milliseconds(
               static_cast<std::int64_t>(queue.stretch_factor * static_cast<double>(critical_path_ms))) +
           queue.target_latency;
}

} // namespace

timestamp objective_of(const job_state& job, const queue_settings& queue, timestamp begins_at) {
    return begins_at + allowed_time(job.critical_path_ms(), queue);
}

job_rank rank_of(const job_state& job, const queue_settings& queue, timestamp begins_at, timestamp now) {
    job_rank rank;
    rank.priority = queue.priority;
    rank.objective_at = objective_of(job, queue, begins_at);
    if (job.spec().is_long_lived()) {
        rank.group = 0;
        return rank;
    }
    const milliseconds allowed = rank.objective_at - begins_at;
    if (now >= begins_at + allowed * useful_lateness_factor) {
        rank.group = 3;
    } else if (now >= rank.objective_at) {
        rank.group = 2;
    }
    return rank;
}

std::int64_t pool_load::limit_to_sustained(std::int64_t need_millicores) const noexcept {
    if (!sustained_millicores) {
        return need_millicores;
    }
    return std::min(need_millicores, long_lived_millicores + *sustained_millicores);
}

std::int64_t pool_load::available_millicores(std::int64_t extra_millicores) const noexcept {
    const std::int64_t capacity = usable_millicores - long_lived_millicores + extra_millicores;
    return std::min(capacity, sustained_millicores.value_or(capacity));
}

/// Capacity for waiting work, with `extra_millicores` in addition to the VMs that accept work now. Late work
/// keeps its share: if all capacity were promised to new jobs, accepted jobs that have become late would
/// never be done.
std::int64_t pool_load::millicores_for_waiting_work(std::int64_t extra_millicores) const noexcept {
    const std::int64_t available = available_millicores(extra_millicores);
    const auto max_late = static_cast<std::int64_t>(static_cast<double>(available) * late_work_share);
    return std::max<std::int64_t>(1, available - std::min(max_late, late_millicores()));
}

milliseconds pool_load::queue_wait() const noexcept {
    return milliseconds(waiting_work / millicores_for_waiting_work(arriving_millicores));
}

milliseconds pool_load::shortest_queue_wait() const noexcept {
    const milliseconds as_is = queue_wait();
    if (as_is <= machine_lead_time) {
        return as_is;
    }
    const std::int64_t left =
        waiting_work - millicores_for_waiting_work(arriving_millicores) * machine_lead_time.count();
    return machine_lead_time +
           milliseconds(left / millicores_for_waiting_work(arriving_millicores + obtainable_millicores));
}

capacity_forecast pool_load::forecast() const noexcept {
    const std::int64_t present = std::max<std::int64_t>(0, available_millicores(arriving_millicores));
    const std::int64_t later =
        std::max(present, available_millicores(arriving_millicores + obtainable_millicores));
    return {present, later - present, machine_lead_time};
}

milliseconds pool_load::late_queue_wait() const noexcept {
    return forecast().time_for(waiting_work + late_work);
}

void demand_meter::record_arrival(const std::string& job, std::int64_t work, timestamp now) {
    m_arrivals[job] = {work, now};
}

/// Extrapolated rate of arriving work at the time when machines that are requested now accept work.
double demand_meter::projected_rate(timestamp now) const {
    double recent = 0;
    double earlier = 0;
    double variance = 0;
    for (const auto& [job, item] : m_arrivals) {
        const auto work = static_cast<double>(item.work);
        (now - item.at <= trend_span ? recent : earlier) += work;
        variance += work * work;
    }
    const double span_ms = static_cast<double>(trend_span.count());
    const double rise = std::max(0.0, recent - earlier - min_rise_deviations * std::sqrt(variance));
    const double ahead = recent + rise * trend_horizon_s * 1000 / span_ms;
    return std::min(ahead, max_rate_growth * recent) / span_ms;
}

void demand_meter::update(std::int64_t wanted, std::int64_t long_lived, timestamp now) {
    std::erase_if(m_arrivals, [&](const auto& item) { return now - item.second.at > 2 * trend_span; });
    double rate = 0;
    for (const auto& [job, item] : m_arrivals) {
        const bool counts = now - item.at <= arrival_window;
        rate += counts ? static_cast<double>(item.work) / static_cast<double>(arrival_window.count()) : 0;
    }
    m_current_need = static_cast<double>(wanted);
    if (m_arrivals.size() >= min_arrivals) {
        m_current_need =
            std::max(m_current_need, std::max(rate, projected_rate(now)) + static_cast<double>(long_lived));
    }
    const double passed = static_cast<double>((now - m_updated_at).count());
    m_smoothed_need = std::max(m_current_need, m_current_need + (m_smoothed_need - m_current_need) *
                                                                    std::exp(-passed / need_decay_ms));
    m_updated_at = now;
}

milliseconds useful_time(milliseconds objective) noexcept {
    return objective * useful_lateness_factor;
}

admission_verdict admit(const job_spec& spec, const queue_settings& queue, std::int64_t critical_path_ms,
                        const pool_load& load, milliseconds waited) {
    const milliseconds queue_time = load.queue_wait();
    const milliseconds allowed = allowed_time(critical_path_ms, queue);
    const admission_verdict accepted{true, 0ms, queue_time, allowed};
    if (spec.is_long_lived() || spec.has_due_times) {
        return accepted;
    }
    if (load.usable_millicores <= 0) {
        return {false, max_retry_after, queue_time, allowed};
    }
    const bool is_first_attempt = waited <= 0ms;
    const milliseconds expected = waited + queue_time + milliseconds(critical_path_ms);
    if ((is_first_attempt && queue_time.count() == 0) ||
        static_cast<double>(expected.count()) <= admission_slack * static_cast<double>(allowed.count())) {
        return accepted;
    }
    const milliseconds late_wait = load.late_queue_wait();
    // Further late work would wait behind every new job, and end when it is of no use.
    const bool is_idle = late_wait.count() == 0 && load.used_millicores < load.usable_millicores;
    if (!is_first_attempt && is_idle) {
        return accepted;
    }
    const milliseconds wait = is_first_attempt ? load.shortest_queue_wait() : waited + late_wait;
    const milliseconds at_best = wait + milliseconds(critical_path_ms);
    if (load.obtainable_millicores > 0 && static_cast<double>(at_best.count()) <=
                                              late_admission_factor * static_cast<double>(allowed.count())) {
        return accepted;
    }
    return {false, std::clamp(expected - allowed, min_retry_after, max_retry_after), queue_time, allowed};
}

} // namespace siskinpaddle::jobs
