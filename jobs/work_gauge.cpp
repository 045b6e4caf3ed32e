#include "jobs/work_gauge.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

namespace {

/// Factor by which the weight of earlier tasks decays with each new task: about the last two hundred tasks
/// count, a second or two of a busy pool.
constexpr double decay_factor = 0.995;
/// Weight of the initial assumption that estimates are correct, in milliseconds of tasks: about ten tasks.
constexpr double prior_weight_ms = 10'000;
/// Bounds of the time factor. Beyond them the cause is not wrong estimates but slow VMs, or tasks that fail
/// early.
constexpr double min_factor = 0.5;
constexpr double max_factor = 2.5;

/// The share of `all` that `need` takes, in millicores of `cpu`; 0 if `all` is 0.
std::int64_t scaled(std::int64_t need, std::int64_t all, std::int64_t cpu) {
    return all > 0 ? need * cpu / all : 0;
}

} // namespace

void work_gauge::record_vm_capacity(const resources& capacity) noexcept {
    if (capacity.cpu_millicores >= m_largest_vm_capacity.cpu_millicores) {
        m_largest_vm_capacity = capacity;
    }
}

std::int64_t work_gauge::equivalent_millicores(const resources& need) const noexcept {
    const std::int64_t by_memory =
        scaled(need.memory_mb, m_largest_vm_capacity.memory_mb, m_largest_vm_capacity.cpu_millicores);
    const std::int64_t by_accelerators =
        scaled(need.accelerators, m_largest_vm_capacity.accelerators, m_largest_vm_capacity.cpu_millicores);
    return std::max({need.cpu_millicores, by_memory, by_accelerators});
}

void work_gauge::record_task(const std::string& queue, std::int64_t estimate_ms, milliseconds took) {
    time_totals& item = m_queues[queue];
    item.estimated_ms = item.estimated_ms * decay_factor + static_cast<double>(estimate_ms);
    item.taken_ms = item.taken_ms * decay_factor + static_cast<double>(took.count());
}

double work_gauge::time_factor(const std::string& queue) const {
    const auto found = m_queues.find(queue);
    if (found == m_queues.end()) {
        return 1;
    }
    const time_totals& item = found->second;
    return std::clamp((item.taken_ms + prior_weight_ms) / (item.estimated_ms + prior_weight_ms), min_factor,
                      max_factor);
}

std::int64_t estimate_work(const step_spec& step, std::uint32_t tasks, const std::string& queue,
                           const work_gauge& gauge) {
    const std::int64_t declared =
        static_cast<std::int64_t>(tasks) * gauge.equivalent_millicores(step.need) * step.estimate_ms;
    return static_cast<std::int64_t>(static_cast<double>(declared) * gauge.time_factor(queue));
}

std::int64_t estimate_job_work(const job_spec& spec, const work_gauge& gauge) {
    std::int64_t work = 0;
    for (const step_spec& step : spec.steps) {
        work += estimate_work(step, step.count, spec.queue, gauge);
    }
    return work;
}

waiting_work estimate_waiting_work(const job_state& job, std::uint32_t occurrence, const work_gauge& gauge) {
    waiting_work result;
    job.for_each_step_of(occurrence, [&](step_position position) {
        if (job.idle_tasks(position) == 0) {
            return;
        }
        const std::int64_t work = estimate_work(job.spec().steps[position.step],
                                                job.startable_tasks(position), job.spec().queue, gauge);
        result.all += work;
        result.runnable += job.dependencies_done(position) ? work : 0;
    });
    return result;
}

} // namespace siskinpaddle::jobs
