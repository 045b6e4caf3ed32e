#pragma once

#include "jobs/jobs.hpp"

#include <doctest/doctest.h>
#include <string>

namespace siskinpaddle::tests {

using namespace siskinpaddle::jobs;

/// A scheduler under test: the test controls its VMs and its clock and answers its orders.
class scheduler_fixture {
  public:
    explicit scheduler_fixture(std::uint32_t epoch = 0, const scheduler_settings& options = settings())
        : m_scheduler(options, epoch, m_now) {
        queue_settings queue;
        queue.name = "q";
        queue.pool = "p";
        queue.max_attempts = 3;
        queue.stretch_factor = 1.6;
        queue.target_latency = 600ms;
        m_scheduler.configure({queue});
    }

    static scheduler_settings settings() { return {}; }

    static vm_info info(const std::string& name, std::int64_t cores = 32) {
        vm_info vm;
        vm.incarnation = name;
        vm.machine = "m-" + name;
        vm.pool = "p";
        vm.address = "127.0.0.1";
        vm.port = 1;
        vm.capacity = {cores * 1000, 65'536, 0};
        return vm;
    }

    /// Adds a VM that is listed and has reported once.
    void add_vm(const std::string& name, std::int64_t cores = 32) {
        m_scheduler.add_or_update_vm(info(name, cores));
        report(name, {});
    }

    void add_vm_on_rack(const std::string& rack, const std::string& name, std::int64_t cores) {
        vm_info item = info(name, cores);
        item.rack = rack;
        m_scheduler.add_or_update_vm(item);
        report(name, {});
    }

    static step_spec step(std::uint32_t count, std::int64_t cpu = 1000, std::int64_t estimate_ms = 1000) {
        step_spec item;
        item.count = count;
        item.need = {cpu, 100, 0};
        item.estimate_ms = estimate_ms;
        return item;
    }

    static job_record record(const std::string& id, std::vector<step_spec> steps) {
        job_record item;
        item.spec.id = id;
        item.spec.queue = "q";
        item.spec.payload = "payload";
        item.spec.steps = std::move(steps);
        return item;
    }

    void add_job(const std::string& id, std::vector<step_spec> steps) {
        m_scheduler.add_job(record(id, std::move(steps)), m_now);
    }

    /// The clocks of the VMs run with the scheduler's clock, one second ahead.
    [[nodiscard]] std::int64_t vm_clock() const { return m_now.count() + 1000; }

    void report(const std::string& name, std::vector<running_report> running,
                std::vector<end_report> ended = {}) {
        m_scheduler.handle_report(name, {vm_clock(), std::move(running), std::move(ended)}, m_now);
    }

    static running_report running(const start_order& order, std::int64_t percent = 100) {
        return {order.task, order.attempt, "", percent, 0};
    }

    static end_report end(std::int64_t sequence, const start_order& order, run_end how) {
        return {sequence, order.task, order.attempt, how, ""};
    }

    decisions decide(bool ownership_confirmed = true, bool hears_answers = true) {
        return m_scheduler.decide(m_now, {wall_ms(), ownership_confirmed, hears_answers});
    }

    /// The time of day runs with the scheduler's clock.
    [[nodiscard]] std::int64_t wall_ms() const { return m_now.count() + 1'000'000; }

    /// Decides and has every start accepted.
    std::vector<start_order> start_all(bool ownership_confirmed = true) {
        std::vector<start_order> starts = decide(ownership_confirmed).starts;
        for (const start_order& order : starts) {
            accept(order);
        }
        return starts;
    }

    /// The VM accepts the start.
    void accept(const start_order& order) {
        m_scheduler.handle_start_answer(order, order_outcome::accepted, vm_clock(), m_now);
    }

    void advance_clock(milliseconds time) { m_now += time; }

    void store_changes() {
        const store_batch batch = m_scheduler.begin_store_batch();
        for (const std::string& id : batch.jobs) {
            m_scheduler.mark_job_stored(id, m_scheduler.find_job(id)->change_count, m_now);
        }
        m_scheduler.mark_batch_stored(batch);
    }

    scheduler& pool() { return m_scheduler; }
    [[nodiscard]] timestamp now() const { return m_now; }

  private:
    timestamp m_now{100'000};
    scheduler m_scheduler;
};

} // namespace siskinpaddle::tests
