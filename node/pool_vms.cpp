#include "node/pool_task.hpp"

#include "node/keys.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// Delay that coalesces the removals from the record of VMs that left the pool.
constexpr milliseconds record_delay = 300ms;
/// Interval between reviews of the record for VMs that have been unresponsive for longer than their lease.
constexpr milliseconds record_review_interval = 500ms;
/// Interval between checks of the platform's machines for unresponsive VMs that a previous owner used.
constexpr milliseconds unresponsive_check_interval = 400ms;

} // namespace

void pool_task::on_vm_changed(const std::string& vm, const std::optional<jobs::vm_info>& info) {
    if (!info || info->pool != m_pool) {
        if (m_scheduler.vms().contains(vm)) {
            log_event(event_id::vm_delisted, {{"pool", m_pool}, {"vm", vm}});
            m_scheduler.mark_vm_delisted(vm);
            m_vm_record_timer->start(record_delay);
            schedule_decision();
        }
        return;
    }
    log_capacity_change(*info);
    log_event(event_id::vm_listed, {{"pool", m_pool},
                                    {"vm", vm},
                                    {"machine", info->machine},
                                    {"zone", info->availability_zone},
                                    {"draining", static_cast<int>(info->draining)}});
    if (m_vm_record.contains(vm) && m_scheduler.vms().contains(vm)) {
        m_scheduler.add_or_update_vm(*info);
        renew_lease(vm);
        schedule_decision();
        return;
    }
    m_vm_record_timer->start(0ms); // VMs that change together are recorded together.
}

/// Logs a change of a VM's capacity. Runs stay on the VM even beyond a capacity that has shrunk; nothing is
/// started there until it fits again.
void pool_task::log_capacity_change(const jobs::vm_info& info) const {
    const auto known = m_scheduler.vms().find(info.incarnation);
    if (known == m_scheduler.vms().end() || known->second.info().capacity == info.capacity) {
        return;
    }
    const jobs::vm_state& vm = known->second;
    m_context.counters.increment("vm_capacity_changes");
    log_event(event_id::vm_capacity_changed, {{"pool", m_pool},
                                              {"vm", info.incarnation},
                                              {"cpu", info.capacity.cpu_millicores},
                                              {"cpu_before", vm.info().capacity.cpu_millicores},
                                              {"cpu_used", vm.used().cpu_millicores},
                                              {"memory_mb", info.capacity.memory_mb},
                                              {"memory_mb_before", vm.info().capacity.memory_mb},
                                              {"memory_mb_used", vm.used().memory_mb},
                                              {"over", static_cast<int>(!vm.used().fits_in(info.capacity))}});
}

bool pool_task::is_evacuated(const std::string& vm) const {
    return m_evacuated_vms.contains(std::string(jobs::vm_id_of(vm)));
}

bool pool_task::belongs_in_record(const std::string& vm, bool listed) const {
    jobs::vm_record_inputs view;
    view.listed = listed;
    view.is_idle = m_scheduler.is_releasable(vm);
    view.evacuating = is_evacuated(vm);
    view.recorded = m_vm_record.may_contain(vm);
    if (const auto known = m_scheduler.vms().find(vm); known != m_scheduler.vms().end()) {
        const jobs::vm_state& state = known->second;
        view.reachable = state.reachable;
        view.lease_expired = !state.has_responded() || event_loop::now() > state.lease_expires_at();
    }
    return jobs::belongs_in_record(view);
}

/// Returns the VMs that may hold runs, now or after the next decision.
jobs::vm_record::vms_by_incarnation pool_task::vms_to_record() const {
    jobs::vm_record::vms_by_incarnation wanted;
    for (const auto& [vm, info] : m_directory.vms()) {
        if (info.pool == m_pool && belongs_in_record(vm, true)) {
            wanted.emplace(vm, info);
        }
    }
    for (const auto& [vm, info] : m_vm_record.stored()) {
        const auto listed = m_directory.vms().find(vm);
        const bool is_in_pool = listed != m_directory.vms().end() && listed->second.pool == m_pool;
        if (!is_in_pool && belongs_in_record(vm, false)) {
            wanted.emplace(vm, info);
        }
    }
    // An incarnation that is known from its answers only may hold runs, too.
    for (const auto& [vm, state] : m_scheduler.vms()) {
        if (!m_scheduler.is_releasable(vm)) {
            wanted.emplace(vm, state.info());
        }
    }
    return wanted;
}

/// Checks periodically whether VMs can leave the record, and at once for VMs that are to be empty, since
/// their machines are wanted elsewhere.
void pool_task::review_vm_record() {
    const timestamp now = event_loop::now();
    const bool released = std::ranges::any_of(m_vm_record.stored(), [this](const auto& item) {
        return is_evacuated(item.first) && m_vm_record.contains(item.first) &&
               m_scheduler.is_releasable(item.first);
    });
    if (released || now - m_vm_record_reviewed_at >= record_review_interval) {
        m_vm_record_reviewed_at = now;
        write_vm_record();
    }
}

/// Stores which VMs may hold runs. A VM gets its first run only once the record that names it is stored, so
/// that a successor knows which VMs to query. VMs that are to leave the record get no run from the time the
/// write is sent. The write is conditional on the revision that this owner knows: a write that is executed
/// late must not restore an older record.
void pool_task::write_vm_record() {
    if (m_vm_record.is_writing() || m_ownership_lost) {
        return;
    }
    jobs::vm_record::vms_by_incarnation wanted = vms_to_record();
    if (m_vm_record.is_confirmed() && wanted == m_vm_record.stored()) {
        activate_recorded_vms();
        return;
    }
    std::vector<jobs::vm_info> record;
    record.reserve(wanted.size());
    for (const auto& [vm, info] : wanted) {
        record.push_back(info);
    }
    for (const auto& [vm, info] : m_vm_record.stored()) {
        if (!wanted.contains(vm)) {
            m_scheduler.cordon(vm, true);
        }
    }
    platform::store_transaction change;
    change.conditions.push_back(owner_condition());
    change.conditions.push_back({vms_key(m_pool), m_vm_record.revision()});
    change.writes.push_back({vms_key(m_pool), encode_archive(record), 0});
    m_vm_record.begin_write(std::move(wanted));
    m_context.store.commit(change, [this, token = m_ownership.token,
                                    alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
        if (!alive.expired()) {
            on_vm_record_written(answer, token);
        }
    });
}

void pool_task::on_vm_record_written(const platform::store_answer& answer, std::int64_t token) {
    switch (answer.status) {
    case platform::store_status::ok:
        m_vm_record.write_succeeded(answer.revision);
        activate_recorded_vms();
        break;
    case platform::store_status::conflict:
        m_vm_record.write_conflicted(revision_of(answer, vms_key(m_pool)));
        if (revision_of(answer, owner_prefix + m_ownership.duty) != token) {
            on_ownership_lost("vm record", token);
            return;
        }
        break;
    case platform::store_status::unknown:
        m_vm_record.write_unanswered();
        break;
    default:
        m_vm_record.write_refused();
        break;
    }
    if (!m_vm_record.is_confirmed() || vms_to_record() != m_vm_record.stored()) {
        m_vm_record_timer->start(answer.status == platform::store_status::ok ? 0ms : record_delay);
    }
}

void pool_task::activate_recorded_vms() {
    for (const auto& [vm, info] : m_vm_record.stored()) {
        const auto listed = m_directory.vms().find(vm);
        if (listed != m_directory.vms().end() && listed->second.pool == m_pool) {
            m_scheduler.add_or_update_vm(listed->second);
            m_scheduler.cordon(vm, is_evacuated(vm));
            renew_lease(vm);
            fence_earlier_calls(vm);
        }
    }
    schedule_decision();
}

/// Calls a VM under the token that it has since it was recorded; its renewal may be waiting for a run to end.
/// It gets no run before it has answered.
void pool_task::fence_earlier_calls(const std::string& vm) {
    const jobs::vm_state& state = m_scheduler.vms().at(vm);
    if (state.has_responded() && state.reachable && !state.is_fenced) {
        request_report(vm);
    }
}

/// Checks the platform's list of machines for VMs that a previous owner may have used and that no longer
/// exist. Without this check the previous owner's tasks wait for VMs that were moved to other pools, until
/// the longest lease has expired.
void pool_task::check_unresponsive_vms() {
    schedule_decision();
    if (m_scheduler.unconfirmed_vms().empty()) {
        return;
    }
    m_unresponsive_timer->start(unresponsive_check_interval);
    m_context.machines.list([this, alive = m_lifetime.weak_token()](const platform::machine_list& list) {
        if (!alive.expired()) {
            end_reassigned_vms(list);
        }
    });
}

void pool_task::end_reassigned_vms(const platform::machine_list& list) {
    for (const auto& [vm, info] : m_vm_record.stored()) {
        const auto found = std::ranges::find(list.machines, info.machine, &platform::machine_info::machine);
        // The list may be a second old, so a VM that is still registered may be newer than the list. The
        // registration of another incarnation of the machine proves nothing: the last heartbeat of an ended
        // incarnation can restore its entry. An unreadable entry counts as registered: another program has
        // overwritten it, and tasks may still run on its VM.
        const bool registered = m_directory.is_registered(vm);
        if (registered || found == list.machines.end() || !m_scheduler.unconfirmed_vms().contains(vm)) {
            continue;
        }
        const bool is_out_of_service = found->phase == platform::machine_phase::moving ||
                                       found->phase == platform::machine_phase::maintenance;
        const bool is_in_other_pool = found->pool != m_pool;
        if (is_out_of_service || is_in_other_pool) {
            m_scheduler.handle_vm_ended(vm, jobs::vm_end_cause::ordered, event_loop::now());
        }
    }
    schedule_decision();
}

} // namespace siskinpaddle::node
