#include "node/pool_task.hpp"

#include "node/keys.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// Delay before a failed read of the store is retried; each call counts against the store's rate limits.
constexpr milliseconds load_retry = 150ms;

} // namespace

void pool_task::start() {
    log_event(event_id::pool_taking_over,
              {{"pool", m_pool}, {"epoch", m_ownership.epoch}, {"token", m_ownership.token}});
    m_load_step_began = event_loop::now();
    m_directory.start([this] {
        record_load_time("registrations");
        load_progress({});
    });
}

/// Records how long the part of the state took to read, for the log.
void pool_task::record_load_time(std::string_view part) {
    const timestamp now = event_loop::now();
    const milliseconds elapsed = now - std::exchange(m_load_step_began, now);
    m_load_times +=
        (m_load_times.empty() ? "" : ",") + std::string(part) + ":" + std::to_string(elapsed.count());
}

void pool_task::retry_loading(std::function<void()> step) {
    m_load_retry_step = std::move(step);
    m_load_retry_timer->start(load_retry);
}

void pool_task::load_progress(const std::string& after) {
    m_context.store.range(
        progress_prefix(m_pool), after,
        [this, after, alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
            if (alive.expired()) {
                return;
            }
            if (answer.status != platform::store_status::ok) {
                retry_loading([this, after] { load_progress(after); });
                return;
            }
            for (const platform::store_item& item : answer.items) {
                const std::string id = item.key.substr(progress_prefix(m_pool).size());
                m_progress_revisions[id] = item.revision;
                if (const auto progress = decode_archive<jobs::job_progress>(item.value)) {
                    m_loaded_progress[id] = progress.value();
                }
            }
            if (answer.has_more && !answer.items.empty()) {
                load_progress(answer.items.back().key);
            } else {
                record_load_time("progress");
                load_jobs({});
            }
        },
        platform::read_priority::awaited);
}

timestamp pool_task::accepted_at(std::int64_t wall_ms) const {
    const std::int64_t age = std::max<std::int64_t>(0, wall_clock_ms() - wall_ms);
    return event_loop::now() - milliseconds(age);
}

void pool_task::load_jobs(const std::string& after) {
    m_context.store.range(
        job_prefix(m_pool), after,
        [this, after, alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
            if (alive.expired()) {
                return;
            }
            if (answer.status != platform::store_status::ok) {
                retry_loading([this, after] { load_jobs(after); });
                return;
            }
            for (const platform::store_item& item : answer.items) {
                const auto record = decode_archive<jobs::job_record>(item.value);
                if (!record) {
                    log_event(event_id::run_noted, {{"what", "job-damaged"}, {"key", item.key}});
                    continue;
                }
                const auto progress = m_loaded_progress.extract(record.value().spec.id);
                m_restored_jobs.insert(record.value().spec.id);
                m_scheduler.restore_job(record.value(),
                                        progress.empty() ? std::nullopt : std::optional(progress.mapped()),
                                        accepted_at(record.value().accepted_ms));
            }
            if (answer.has_more && !answer.items.empty()) {
                load_jobs(answer.items.back().key);
            } else {
                record_load_time("jobs");
                load_vms();
            }
        },
        platform::read_priority::awaited);
}

void pool_task::load_vms() {
    m_context.store.get(vms_key(m_pool), [this, alive = m_lifetime.weak_token()](
                                             const platform::store_answer& answer) {
        if (alive.expired()) {
            return;
        }
        if (answer.status != platform::store_status::ok && answer.status != platform::store_status::absent) {
            retry_loading([this] { load_vms(); });
            return;
        }
        if (!answer.items.empty()) {
            const auto recorded = decode_archive<std::vector<jobs::vm_info>>(answer.items.front().value);
            if (recorded) {
                m_vm_record.load(recorded.value(), answer.items.front().revision);
            } else {
                log_event(event_id::run_noted, {{"what", "record-damaged"}, {"key", vms_key(m_pool)}});
            }
        }
        record_load_time("vm-record");
        m_allowances.load([this] { load_inbox(); });
    });
}

/// Cancellations that did not reach an owner are in the inbox and have to take effect before any task of
/// their jobs starts.
void pool_task::load_inbox() {
    record_load_time("allowances");
    m_inbox_cancels.start([this] { m_inbox.start([this] { finish_loading(); }); });
}

void pool_task::finish_loading() {
    record_load_time("inbox");
    const timestamp now = event_loop::now();
    m_scheduler.accounts().set_inherited(m_allowances.allowances().stored());
    for (const auto& [id, progress] : m_loaded_progress) {
        m_ended[id] = {progress.phase, progress.account, now};
        m_progress_revisions.erase(id); // The progress of an ended job is not written again.
    }
    m_loaded_progress.clear();
    m_ready = true;
    for (const auto& [vm, info] : m_vm_record.stored()) {
        m_scheduler.expect_vm(info);
        renew_lease(vm);
    }
    log_event(event_id::pool_taken_over, {{"pool", m_pool},
                                          {"epoch", m_ownership.epoch},
                                          {"jobs", m_scheduler.job_count()},
                                          {"ended", m_ended.size()},
                                          {"vms", m_vm_record.stored().size()},
                                          {"reads_ms", m_load_times}});
    for (const auto& [vm, info] : m_directory.vms()) {
        on_vm_changed(vm, info);
    }
    check_unresponsive_vms();
    review_pool_record(now);
    place_restored_jobs();
}

} // namespace siskinpaddle::node
