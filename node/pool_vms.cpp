#include "node/pool_task.hpp"

#include "node/keys.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// VMs that left the pool are taken out of the record together.
constexpr milliseconds record_pause = 300ms;
/// Between two looks for VMs that have been silent for longer than their lease.
constexpr milliseconds record_review = 500ms;
/// Between two looks at the platform's machines for VMs that an earlier owner used and that don't answer.
constexpr milliseconds unheard_interval = 400ms;

} // namespace

void pool_task::vm_changed(const std::string& vm, const std::optional<jobs::vm_info>& info) {
    if (!info || info->pool != m_pool) {
        if (m_scheduler.vms().contains(vm)) {
            log_event(event_id::vm_delisted, {{"pool", m_pool}, {"vm", vm}});
            m_scheduler.mark_vm_delisted(vm);
            m_record_timer->start(record_pause);
            decide_soon();
        }
        return;
    }
    log_capacity(*info);
    log_event(event_id::vm_listed, {{"pool", m_pool},
                                    {"vm", vm},
                                    {"machine", info->machine},
                                    {"zone", info->availability_zone},
                                    {"draining", static_cast<int>(info->draining)}});
    if (m_record.contains(vm) && m_scheduler.vms().contains(vm)) {
        m_scheduler.add_or_update_vm(*info);
        renew(vm);
        decide_soon();
        return;
    }
    m_record_timer->start(0ms); // Those that change together are recorded together.
}

/// What runs goes on where it is, also beyond a capacity that has shrunk; nothing is started there until it
/// fits again.
void pool_task::log_capacity(const jobs::vm_info& info) const {
    const auto known = m_scheduler.vms().find(info.incarnation);
    if (known == m_scheduler.vms().end() || known->second.info().capacity == info.capacity) {
        return;
    }
    const jobs::vm_state& vm = known->second;
    m_parts.counters.increment("vm_capacity_changes");
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

bool pool_task::belongs_in_record(const std::string& vm, bool listed) const {
    jobs::vm_record_inputs view;
    view.listed = listed;
    view.is_idle = m_scheduler.is_releasable(vm);
    view.evacuating = m_cleared_vms.contains(vm);
    view.recorded = m_record.may_contain(vm);
    if (const auto known = m_scheduler.vms().find(vm); known != m_scheduler.vms().end()) {
        const jobs::vm_state& state = known->second;
        view.reachable = state.reachable;
        view.lease_expired = !state.has_responded() || event_loop::now() > state.lease_expires_at();
    }
    return jobs::belongs_in_record(view);
}

/// VMs that may hold runs, now or after the next decision.
jobs::vm_record::vms_by_incarnation pool_task::vms_to_record() const {
    jobs::vm_record::vms_by_incarnation wanted;
    for (const auto& [vm, info] : m_directory.vms()) {
        if (info.pool == m_pool && belongs_in_record(vm, true)) {
            wanted.emplace(vm, info);
        }
    }
    for (const auto& [vm, info] : m_record.stored()) {
        const auto listed = m_directory.vms().find(vm);
        const bool here = listed != m_directory.vms().end() && listed->second.pool == m_pool;
        if (!here && belongs_in_record(vm, false)) {
            wanted.emplace(vm, info);
        }
    }
    return wanted;
}

/// Looks now and then whether VMs are to leave the record, and at once for those that are to be empty: their
/// machines are wanted elsewhere.
void pool_task::review_record() {
    const timestamp now = event_loop::now();
    const bool released = std::ranges::any_of(m_cleared_vms, [this](const std::string& vm) {
        return m_record.contains(vm) && m_scheduler.is_releasable(vm);
    });
    if (released || now - m_record_reviewed_at >= record_review) {
        m_record_reviewed_at = now;
        record_vms();
    }
}

/// A VM gets its first run only once it is stored that it may hold some, so that a successor knows whom to
/// ask. Those that are to leave the record get no run from the moment when the write is sent. The write holds
/// only against the record as this owner knows it: one that is carried out late must not bring an older
/// record back.
void pool_task::record_vms() {
    if (m_record.is_writing() || m_lost) {
        return;
    }
    jobs::vm_record::vms_by_incarnation wanted = vms_to_record();
    if (m_record.is_confirmed() && wanted == m_record.stored()) {
        use_recorded();
        return;
    }
    std::vector<jobs::vm_info> named;
    named.reserve(wanted.size());
    for (const auto& [vm, info] : wanted) {
        named.push_back(info);
    }
    for (const auto& [vm, info] : m_record.stored()) {
        if (!wanted.contains(vm)) {
            m_scheduler.cordon(vm, true);
        }
    }
    platform::store_transaction change;
    change.conditions.push_back(owner_condition());
    change.conditions.push_back({vms_key(m_pool), m_record.revision()});
    change.writes.push_back({vms_key(m_pool), encode_archive(named), 0});
    m_record.begin_write(std::move(wanted));
    m_parts.store.commit(change, [this, token = m_held.token,
                                  alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
        if (!alive.expired()) {
            record_written(answer, token);
        }
    });
}

void pool_task::record_written(const platform::store_answer& answer, std::int64_t token) {
    switch (answer.status) {
    case platform::store_status::ok:
        m_record.write_succeeded(answer.revision);
        use_recorded();
        break;
    case platform::store_status::conflict:
        m_record.write_conflicted(revision_of(answer, vms_key(m_pool)));
        if (revision_of(answer, owner_prefix + m_held.duty) != token) {
            ownership_lost("vm record", token);
            return;
        }
        break;
    case platform::store_status::unknown:
        m_record.write_unanswered();
        break;
    default:
        m_record.write_refused();
        break;
    }
    if (!m_record.is_confirmed() || vms_to_record() != m_record.stored()) {
        m_record_timer->start(answer.status == platform::store_status::ok ? 0ms : record_pause);
    }
}

void pool_task::use_recorded() {
    for (const auto& [vm, info] : m_record.stored()) {
        const auto listed = m_directory.vms().find(vm);
        if (listed != m_directory.vms().end() && listed->second.pool == m_pool) {
            m_scheduler.add_or_update_vm(listed->second);
            m_scheduler.cordon(vm, m_cleared_vms.contains(vm));
            renew(vm);
        }
    }
    decide_soon();
}

/// Looks for VMs that an earlier owner may have used and that are gone, by the platform's list of machines.
/// Without this the earlier owner's tasks wait for VMs that were moved to other pools, until the longest
/// lease has run out.
void pool_task::look_for_unheard() {
    decide_soon();
    if (m_scheduler.unconfirmed_vms().empty()) {
        return;
    }
    m_unheard_timer->start(unheard_interval);
    m_parts.machines.list([this, alive = m_lifetime.weak_token()](const platform::machine_list& list) {
        if (!alive.expired()) {
            take_machines(list);
        }
    });
}

void pool_task::take_machines(const platform::machine_list& list) {
    for (const auto& [vm, info] : m_record.stored()) {
        const auto found = std::ranges::find(list.machines, info.machine, &platform::machine_info::machine);
        // The list may be a second old, so what is still registered as a VM may be newer than the list. That
        // another life of the machine is registered proves nothing: an ended life's last heartbeat can bring
        // its entry back. An entry that can't be read counts, too: another program has written over it, and
        // tasks may still run on its VM.
        const bool registered = m_directory.is_registered(vm);
        if (registered || found == list.machines.end() || !m_scheduler.unconfirmed_vms().contains(vm)) {
            continue;
        }
        const bool taken_down = found->phase == platform::machine_phase::moving ||
                                found->phase == platform::machine_phase::maintenance;
        const bool elsewhere = found->pool != m_pool;
        if (taken_down || elsewhere) {
            m_scheduler.handle_vm_ended(vm, jobs::vm_end_cause::ordered, event_loop::now());
        }
    }
    decide_soon();
}

} // namespace siskinpaddle::node
