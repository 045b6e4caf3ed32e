#include "node/pool_task.hpp"

#include "node/keys.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// VMs that left the pool are taken out of the record together.
constexpr milliseconds record_pause = 300ms;
/// Between two looks at the platform's machines for VMs that an earlier owner used and that don't answer.
constexpr milliseconds unheard_interval = 400ms;

} // namespace

void pool_task::vm_changed(const std::string& vm, const std::optional<jobs::vm_info>& info) {
    if (!info || info->pool != m_pool) {
        if (m_scheduler.vms().contains(vm)) {
            log_event(event_id::vm_delisted, {{"pool", m_pool}, {"vm", vm}});
            m_scheduler.delist_vm(vm);
            m_record_timer->start(record_pause);
            decide_soon();
        }
        return;
    }
    log_event(event_id::vm_listed, {{"pool", m_pool},
                                    {"vm", vm},
                                    {"machine", info->machine},
                                    {"zone", info->availability_zone},
                                    {"draining", static_cast<int>(info->draining)}});
    if (is_recorded(vm) && m_scheduler.vms().contains(vm)) {
        m_scheduler.list_vm(*info);
        renew(vm);
        decide_soon();
        return;
    }
    m_record_timer->start(0ms); // Those that change together are recorded together.
}

/// Whether the VM stands in the record, and in the one that may be stored any moment.
bool pool_task::is_recorded(const std::string& vm) const {
    const auto holds = [&](const std::vector<jobs::vm_info>& list) {
        return std::ranges::find(list, vm, &jobs::vm_info::incarnation) != list.end();
    };
    return holds(m_recorded) && (!m_recording || holds(m_record_on_its_way));
}

/// VMs that may hold runs, now or after the next decision: those that the platform lists, and those that it
/// does not list any more while something may run there.
std::vector<jobs::vm_info> pool_task::vms_to_record() const {
    std::vector<jobs::vm_info> wanted;
    for (const auto& [vm, info] : m_directory.vms()) {
        if (info.pool == m_pool) {
            wanted.push_back(info);
        }
    }
    for (const jobs::vm_info& info : m_recorded) {
        const auto listed = m_directory.vms().find(info.incarnation);
        const bool here = listed != m_directory.vms().end() && listed->second.pool == m_pool;
        if (!here && !m_scheduler.is_settled(info.incarnation)) {
            wanted.push_back(info);
        }
    }
    return wanted;
}

/// A VM gets its first run only once it is stored that it may hold some, so that a successor knows whom to
/// ask; and it leaves the record when it is gone and empty, since a successor waits for every VM of the
/// record.
void pool_task::record_vms() {
    if (m_recording || m_lost) {
        return;
    }
    const std::vector<jobs::vm_info> wanted = vms_to_record();
    if (wanted == m_recorded) {
        use_recorded();
        return;
    }
    m_recording = true;
    m_record_on_its_way = wanted;
    platform::store_transaction change;
    change.conditions.push_back(owner_condition());
    change.writes.push_back({vms_key(m_pool), encode_archive(wanted), 0});
    m_parts.store.commit(change, [this, wanted, token = m_held.token,
                                  alive = m_lifetime.watch()](const platform::store_answer& answer) {
        if (alive.expired()) {
            return;
        }
        m_recording = false;
        if (answer.status == platform::store_status::ok) {
            m_recorded = wanted;
            use_recorded();
        } else if (answer.status == platform::store_status::conflict) {
            ownership_lost("vm record", token);
        }
        if (vms_to_record() != m_recorded) {
            m_record_timer->start(answer.status == platform::store_status::ok ? 0ms : record_pause);
        }
    });
}

void pool_task::use_recorded() {
    for (const jobs::vm_info& info : m_recorded) {
        const auto listed = m_directory.vms().find(info.incarnation);
        if (listed != m_directory.vms().end() && listed->second.pool == m_pool) {
            m_scheduler.list_vm(listed->second);
            m_scheduler.cordon(info.incarnation, m_cleared_vms.contains(info.incarnation));
            renew(info.incarnation);
        }
    }
    decide_soon();
}

/// Looks for VMs that an earlier owner may have used and that are gone, by the platform's list of machines.
/// Without this the earlier owner's tasks wait for VMs that were moved to other pools, until the longest
/// lease has run out.
void pool_task::look_for_unheard() {
    decide_soon();
    if (m_scheduler.unheard().empty()) {
        return;
    }
    m_unheard_timer->start(unheard_interval);
    m_parts.machines.list([this, alive = m_lifetime.watch()](const platform::machine_list& list) {
        if (!alive.expired()) {
            take_machines(list);
        }
    });
}

void pool_task::take_machines(const platform::machine_list& list) {
    for (const jobs::vm_info& info : m_recorded) {
        const auto found = std::ranges::find(list.machines, info.machine, &platform::machine_info::machine);
        // The list may be a second old, so what is still registered as a VM may be newer than the list. That
        // another life of the machine is registered proves nothing: an ended life's last heartbeat can bring
        // its entry back.
        const bool registered = m_directory.vms().contains(info.incarnation);
        if (registered || found == list.machines.end() || !m_scheduler.unheard().contains(info.incarnation)) {
            continue;
        }
        const bool taken_down = found->phase == platform::machine_phase::moving ||
                                found->phase == platform::machine_phase::upkeep;
        const bool elsewhere = found->pool != m_pool;
        if (taken_down || elsewhere) {
            m_scheduler.vm_gone(info.incarnation, event_loop::now());
        }
    }
    decide_soon();
}

} // namespace siskinpaddle::node
