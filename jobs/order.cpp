#include "jobs/order.hpp"

#include <algorithm>
#include <cmath>

namespace siskinpaddle::jobs {

namespace {

/// A job that ends within this many times its objective is still of some use to its client.
constexpr int late_factor = 3;
/// Share of the objective that the end of a job may take up that will be late. Below the factor above which
/// it is of no use, since estimates of work are off by a fifth to a half.
constexpr double late_admission = 2.5;
/// Share of a pool's room that late work may take from new jobs.
constexpr double late_share = 0.25;
/// Share of the objective that the expected end may take up. Above 1 jobs are taken that most likely end
/// late, below it machines idle whenever the estimate of the queue is too long.
constexpr double admission_slack = 1.0;
/// Clients are told whole seconds. Longer than the queue takes to drain makes no sense for a client whose own
/// objective is a few seconds.
constexpr milliseconds least_retry_after = 1s;
constexpr milliseconds longest_retry_after = 5s;

/// Time over which arriving work is averaged: a few jobs even of the rare large kinds, within the two seconds
/// that machines take to come.
constexpr milliseconds arrival_window = 1500ms;
/// Fewer jobs than this in the window say nothing about a rate.
constexpr std::size_t least_arrivals = 3;
/// The rise of the rate is read from two spans of this length: long enough to hold dozens of jobs at the
/// rates that need many machines, short against the four seconds in which a turn rises.
constexpr milliseconds trend_span = 1000ms;
/// How far ahead the rate is carried on: half a span back to its middle, and until machines have come.
constexpr double trend_reach_s = 2.4;
/// A rise counts beyond this many standard deviations of what independent arrivals differ by; at one, a level
/// rate would be taken for a rise in one of six readings, and ask for machines each time.
constexpr double trend_doubt = 1.5;
/// A rate is carried on to this many times itself at most.
constexpr double largest_rise = 3;
/// The need falls to a third within this time. The demand's turns last several seconds.
constexpr double need_decay_ms = 1200;

milliseconds allowed_time(std::int64_t chain_ms, const queue_settings& queue) {
    return milliseconds(static_cast<std::int64_t>(queue.stretch_factor * static_cast<double>(chain_ms))) +
           queue.target_latency;
}

} // namespace

timestamp objective_of(const job_state& job, const queue_settings& queue, timestamp begins_at) {
    return begins_at + allowed_time(job.longest_chain_ms(), queue);
}

job_rank rank_of(const job_state& job, const queue_settings& queue, timestamp begins_at, timestamp now) {
    job_rank rank;
    rank.priority = queue.priority;
    rank.objective_at = objective_of(job, queue, begins_at);
    if (job.spec().endless()) {
        rank.group = 0;
        return rank;
    }
    const milliseconds allowed = rank.objective_at - begins_at;
    if (now >= begins_at + allowed * late_factor) {
        rank.group = 3;
    } else if (now >= rank.objective_at) {
        rank.group = 2;
    }
    return rank;
}

std::int64_t pool_load::usable_part(std::int64_t need_millicores) const noexcept {
    if (!sustained_millicores) {
        return need_millicores;
    }
    return std::min(need_millicores, endless_millicores + *sustained_millicores);
}

/// Room for work that waits, with `further` beside the VMs that take work now. Late work keeps its share:
/// with all of the room promised to new jobs, accepted ones that are late once are never done.
std::int64_t pool_load::serving_millicores(std::int64_t further) const noexcept {
    const std::int64_t all = usable_millicores - endless_millicores + further;
    const std::int64_t room = std::min(all, sustained_millicores.value_or(all));
    const auto most_late = static_cast<std::int64_t>(static_cast<double>(room) * late_share);
    return std::max<std::int64_t>(1, room - std::min(most_late, late_millicores()));
}

milliseconds pool_load::wait() const noexcept {
    return milliseconds(waiting_work / serving_millicores(arriving_millicores));
}

milliseconds pool_load::shortest_wait() const noexcept {
    const milliseconds as_is = wait();
    if (as_is <= machine_lead) {
        return as_is;
    }
    const std::int64_t left = waiting_work - serving_millicores(arriving_millicores) * machine_lead.count();
    return machine_lead +
           milliseconds(left / serving_millicores(arriving_millicores + obtainable_millicores));
}

void demand_meter::arrived(const std::string& job, std::int64_t work, timestamp now) {
    m_arrivals[job] = {work, now};
}

/// The rate of arriving work by the time at which machines that are asked for now take work.
double demand_meter::rate_ahead(timestamp now) const {
    double recent = 0;
    double earlier = 0;
    double variance = 0;
    for (const auto& [job, item] : m_arrivals) {
        const auto work = static_cast<double>(item.work);
        (now - item.at <= trend_span ? recent : earlier) += work;
        variance += work * work;
    }
    const double span_ms = static_cast<double>(trend_span.count());
    const double rise = std::max(0.0, recent - earlier - trend_doubt * std::sqrt(variance));
    const double ahead = recent + rise * trend_reach_s * 1000 / span_ms;
    return std::min(ahead, largest_rise * recent) / span_ms;
}

void demand_meter::update(std::int64_t wanted, std::int64_t endless, timestamp now) {
    std::erase_if(m_arrivals, [&](const auto& item) { return now - item.second.at > 2 * trend_span; });
    double rate = 0;
    for (const auto& [job, item] : m_arrivals) {
        const bool counts = now - item.at <= arrival_window;
        rate += counts ? static_cast<double>(item.work) / static_cast<double>(arrival_window.count()) : 0;
    }
    m_present = static_cast<double>(wanted);
    if (m_arrivals.size() >= least_arrivals) {
        m_present = std::max(m_present, std::max(rate, rate_ahead(now)) + static_cast<double>(endless));
    }
    const double passed = static_cast<double>((now - m_updated_at).count());
    m_kept = std::max(m_present, m_present + (m_kept - m_present) * std::exp(-passed / need_decay_ms));
    m_updated_at = now;
}

admission_verdict admit(const job_spec& spec, const queue_settings& queue, std::int64_t longest_chain_ms,
                        const pool_load& load) {
    const milliseconds queue_time = load.wait();
    if (spec.endless() || spec.timed) {
        return {true, 0ms, queue_time};
    }
    if (load.usable_millicores <= 0) {
        return {false, longest_retry_after, queue_time};
    }
    const milliseconds allowed = allowed_time(longest_chain_ms, queue);
    const milliseconds expected = queue_time + milliseconds(longest_chain_ms);
    if (queue_time.count() == 0 ||
        static_cast<double>(expected.count()) <= admission_slack * static_cast<double>(allowed.count())) {
        return {true, 0ms, queue_time};
    }
    const milliseconds at_best = load.shortest_wait() + milliseconds(longest_chain_ms);
    if (load.obtainable_millicores > 0 &&
        static_cast<double>(at_best.count()) <= late_admission * static_cast<double>(allowed.count())) {
        return {true, 0ms, queue_time};
    }
    return {false, std::clamp(expected - allowed, least_retry_after, longest_retry_after), queue_time};
}

} // namespace siskinpaddle::jobs
