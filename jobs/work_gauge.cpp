#include "jobs/work_gauge.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

namespace {

/// Room that `need` takes, as a share of `all`, in millicores of `cpu`. Nothing where there is none at all.
std::int64_t scaled(std::int64_t need, std::int64_t all, std::int64_t cpu) {
    return all > 0 ? need * cpu / all : 0;
}

} // namespace

void work_gauge::saw_vm(const resources& capacity) noexcept {
    if (capacity.cpu_millicores >= m_vm.cpu_millicores) {
        m_vm = capacity;
    }
}

std::int64_t work_gauge::millicores(const resources& need) const noexcept {
    const std::int64_t by_memory = scaled(need.memory_mb, m_vm.memory_mb, m_vm.cpu_millicores);
    const std::int64_t by_accelerators = scaled(need.accelerators, m_vm.accelerators, m_vm.cpu_millicores);
    return std::max({need.cpu_millicores, by_memory, by_accelerators});
}

void work_gauge::book(const std::string& queue, std::int64_t estimate_ms, milliseconds took) {
    m_times[queue].book(estimate_ms, took);
}

double work_gauge::expected_ms(const std::string& queue, std::int64_t estimate_ms) const {
    const auto found = m_times.find(queue);
    return found == m_times.end() ? static_cast<double>(estimate_ms) : found->second.expected_ms(estimate_ms);
}

std::int64_t longest_chain_ms(const job_spec& spec, const work_gauge& gauge) {
    std::vector<double> ends(spec.steps.size(), 0);
    double longest = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        double begin = 0;
        for (const std::uint32_t before : spec.steps[i].after) {
            begin = std::max(begin, ends[before]);
        }
        ends[i] = begin + gauge.expected_ms(spec.queue, spec.steps[i].estimate_ms);
        longest = std::max(longest, ends[i]);
    }
    return static_cast<std::int64_t>(longest);
}

std::int64_t work_of(const step_spec& step, std::uint32_t tasks, const std::string& queue,
                     const work_gauge& gauge) {
    const std::int64_t millicores = static_cast<std::int64_t>(tasks) * gauge.millicores(step.need);
    return static_cast<std::int64_t>(static_cast<double>(millicores) *
                                     gauge.expected_ms(queue, step.estimate_ms));
}

std::int64_t whole_work(const job_spec& spec, const work_gauge& gauge) {
    std::int64_t work = 0;
    for (const step_spec& step : spec.steps) {
        work += work_of(step, step.count, spec.queue, gauge);
    }
    return work;
}

waiting_work waiting_of(const job_state& job, std::uint32_t occurrence, const work_gauge& gauge) {
    waiting_work result;
    job.each_step_of(occurrence, [&](step_place place) {
        if (job.idle(place) == 0) {
            return;
        }
        const std::int64_t work =
            work_of(job.spec().steps[place.step], job.idle(place), job.spec().queue, gauge);
        result.all += work;
        result.runnable += job.unlocked(place) ? work : 0;
    });
    return result;
}

} // namespace siskinpaddle::jobs
