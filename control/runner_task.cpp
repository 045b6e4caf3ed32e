#include "control/runner_task.hpp"

#include "control/planner_task.hpp"

namespace siskinpaddle {

namespace {

constexpr milliseconds sync_interval = 1s;

std::optional<job_table> decode_stored_table(const stored_value& current) {
    if (current.version == 0) {
        return job_table{};
    }
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<job_table>> {
            BOOST_LEAF_AUTO(table, decode_jobs(current.bytes));
            return std::optional<job_table>(std::move(table));
        },
        [] { return std::optional<job_table>(); });
}

task_result to_task_result(task_state state) {
    switch (state) {
    case task_state::running:
        return task_result::running;
    case task_state::done:
        return task_result::done;
    case task_state::failed:
        return task_result::failed;
    case task_state::absent:
    case task_state::stopped:
        break;
    }
    return task_result::stopped;
}

} // namespace

runner_task::runner_task(event_loop& loop, const entry_settings& settings, platform_client& platform,
                         state_task& state, worker_client& workers, metrics& counters)
    : m_settings(settings), m_platform(platform), m_state(state), m_workers(workers), m_metrics(counters),
      m_timer(loop.make_timer([this] { tick(); })) {}

void runner_task::start() {
    m_timer->start(sync_interval);
}

task_call runner_task::make_task_call(const job_record& job, const vm_record& vm) {
    task_call call{job.id, job.epoch, task_order::run, job.kind, job.expected_ms, job.size};
    if (job.state == job_state::stopping) {
        call.order = task_order::checkpoint_and_stop;
    }
    // A task that was started before its VM was lost or restarted is stopped and never renewed, because its
    // job may already be assigned to another VM.
    if (job.state == job_state::cancelling || vm.state == vm_state::lost || vm.epoch != job.vm_epoch) {
        call.order = task_order::stop;
    }
    return call;
}

void runner_task::tick() {
    const std::set<std::string> silent = m_state.find_silent_entries();
    for (const auto& [pool, settings] : m_state.config().pools) {
        std::map<std::string, std::vector<task_call>> calls;
        for (const job_record& job : m_state.values().jobs(pool).jobs) {
            const vm_record* vm = may_be_running(job.state) ? m_state.fleet().find_vm(job.vm) : nullptr;
            if (vm != nullptr && find_responsible_entry(m_state.fleet(), *vm, silent) == m_settings.id) {
                calls[job.vm].push_back(make_task_call(job, *vm));
            }
        }
        for (const auto& [id, tasks] : calls) {
            sync_vm(*m_state.fleet().find_vm(id), pool, tasks);
        }
    }
    m_timer->start(sync_interval);
}

void runner_task::sync_vm(const vm_record& vm, const std::string& pool, const std::vector<task_call>& calls) {
    if (!m_vms_being_called.insert(vm.id).second) {
        return;
    }
    m_metrics.increment("task_syncs");
    m_workers.sync({vm.address, vm.agent_port}, calls, task_lease_duration,
                   [this, id = vm.id, pool](exchange_status status, const worker_answer& answer) {
                       m_vms_being_called.erase(id);
                       if (status != exchange_status::answered) {
                           return;
                       }
                       for (const task_report& report : answer.tasks) {
                           m_pending_updates[pool].push_back(
                               {report.job, report.epoch, to_task_result(report.state), id, report.used});
                       }
                       store_updates(pool);
                   });
}

void runner_task::store_updates(const std::string& pool) {
    // Reports that don't change the job table are dropped; most of them only confirm that a task still runs.
    job_table local_table = m_state.values().jobs(pool);
    if (!apply_task_updates(local_table, m_pending_updates[pool])) {
        m_pending_updates[pool].clear();
        return;
    }
    if (!m_pools_being_written.insert(pool).second) {
        return;
    }
    const std::vector<task_update> updates = std::move(m_pending_updates[pool]);
    m_pending_updates[pool].clear();
    const std::string name = std::string(jobs_prefix) + pool;
    const auto change = [updates](const stored_value& current) -> std::optional<std::string> {
        std::optional<job_table> table = decode_stored_table(current);
        if (!table || !apply_task_updates(*table, updates)) {
            return std::nullopt;
        }
        return encode_jobs(*table);
    };
    const stored_value current{m_state.values().store_version(name),
                               encode_jobs(m_state.values().jobs(pool))};
    m_platform.update(name, current, change, [this, pool, name, updates](const store_answer& answer) {
        m_pools_being_written.erase(pool);
        if (answer.status != store_status::ok) {
            return; // The workers repeat their reports in the answer to the next call.
        }
        m_state.apply_value(name, answer.value);
        for (const task_update& item : updates) {
            if (item.result != task_result::running) {
                log_event(event_id::task_reported, {{"pool", pool},
                                                    {"job", item.job},
                                                    {"epoch", item.epoch},
                                                    {"vm", item.vm},
                                                    {"ended", static_cast<int>(item.result)}});
            }
        }
    });
}

} // namespace siskinpaddle
