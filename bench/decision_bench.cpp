#include "jobs/jobs.hpp"

#include <chrono>
#include <iostream>
#include <tclap/CmdLine.h>

using namespace siskinpaddle;
using namespace siskinpaddle::jobs;

namespace {

constexpr std::size_t tasks_per_job = 10;
constexpr std::int64_t task_millicores = 4000;
constexpr std::int64_t vm_millicores = 32'000;
constexpr milliseconds decision_interval{100};

/// A pool in a steady state: jobs of ten tasks run on its VMs, and one job is submitted for each job that
/// ends. Some of the tasks are suspected of crashing VMs.
class steady_state_pool {
  public:
    steady_state_pool(std::size_t vms, std::size_t tasks, std::size_t suspects) : m_scheduler({}, 0, m_now) {
        queue_settings queue;
        queue.name = "q";
        queue.pool = "p";
        queue.max_attempts = 3;
        queue.stretch_factor = 1000;
        m_scheduler.configure({queue});
        for (std::size_t i = 0; i < vms; ++i) {
            vm_info vm;
            vm.incarnation = "v" + std::to_string(i);
            vm.machine = "m" + std::to_string(i);
            vm.capacity = {vm_millicores, 65'536, 0};
            m_scheduler.add_or_update_vm(vm);
            m_end_sequences[vm.incarnation] = {};
        }
        report_runs();
        for (std::size_t i = 0; i < tasks / tasks_per_job; ++i) {
            add_job(i < suspects / tasks_per_job);
        }
    }

    /// Returns the mean duration of one decision over `decision_count` decisions, in microseconds.
    double measure_decisions(std::size_t decision_count) {
        std::chrono::steady_clock::duration spent{0};
        for (std::size_t i = 0; i < decision_count; ++i) {
            m_now += decision_interval;
            report_runs();
            const auto begin = std::chrono::steady_clock::now();
            const decisions wanted = m_scheduler.decide(m_now, {m_now.count(), true, true});
            spent += std::chrono::steady_clock::now() - begin;
            start_runs(wanted.starts);
            store_changes();
        }
        return std::chrono::duration<double, std::micro>(spent).count() / static_cast<double>(decision_count);
    }

  private:
    struct active_run {
        start_order order;
        timestamp started_at{0};
    };

    void add_job(bool suspected) {
        job_record record;
        record.spec.id = "j" + std::to_string(m_job_count++);
        record.spec.queue = "q";
        step_spec step;
        step.count = tasks_per_job;
        step.need = {task_millicores, 256, 0};
        step.estimate_ms = 1000;
        record.spec.steps = {step};
        job_progress progress;
        for (std::uint32_t i = 0; suspected && i < tasks_per_job; ++i) {
            progress.crashes[i] = {{"gone", evidence_kind::shared, end_certainty::ended, 10}};
        }
        m_scheduler.restore_job(record, progress, m_now);
    }

    void start_runs(const std::vector<start_order>& starts) {
        for (const start_order& order : starts) {
            m_runs[order.vm].push_back({order, m_now});
            m_scheduler.handle_start_answer(order, order_outcome::accepted, m_now.count(), m_now);
        }
    }

    void report_runs() {
        for (auto& [vm, end_sequence] : m_end_sequences) {
            vm_report sent_report{m_now.count(), {}, {}};
            std::erase_if(m_runs[vm], [&, &last_sequence = end_sequence](const active_run& run) {
                const bool ended = m_now - run.started_at >= 1s;
                if (ended) {
                    sent_report.ended.push_back(
                        {++last_sequence, run.order.task, run.order.attempt, run_end::done, {}});
                } else {
                    sent_report.running.push_back({run.order.task, run.order.attempt, {}, 100, 0});
                }
                return ended;
            });
            m_scheduler.handle_report(vm, sent_report, m_now);
        }
    }

    void store_changes() {
        const store_batch round = m_scheduler.begin_store_batch();
        for (const std::string& id : round.jobs) {
            m_scheduler.mark_job_stored(id, m_scheduler.find_job(id)->change_count, m_now);
        }
        m_scheduler.mark_batch_stored(round);
        const std::size_t ended = m_scheduler.remove_final_jobs(m_now, 0ms).size();
        for (std::size_t i = 0; i < ended; ++i) {
            add_job(false);
        }
    }

    timestamp m_now{100'000};
    scheduler m_scheduler;
    std::map<std::string, std::int64_t> m_end_sequences;
    std::map<std::string, std::vector<active_run>> m_runs;
    std::size_t m_job_count = 0;
};

} // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine line("Measures what one decision of a pool's owner takes.", ' ', "1");
        TCLAP::ValueArg<std::size_t> vms("", "vms", "VMs of the pool.", false, 500, "N", line);
        TCLAP::ValueArg<std::size_t> tasks("", "tasks", "Tasks at work or waiting.", false, 1000, "N", line);
        TCLAP::ValueArg<std::size_t> steps("", "steps", "Decisions.", false, 9, "N", line);
        line.parse(argc, argv);
        for (const std::size_t suspects : {0, 10, 100}) {
            steady_state_pool pool(vms.getValue(), tasks.getValue(), suspects);
            std::cout << suspects << " tasks under suspicion: " << pool.measure_decisions(steps.getValue())
                      << " us a decision\n";
        }
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "bench_decisions: " << error.what() << "\n";
        return 2;
    }
}
