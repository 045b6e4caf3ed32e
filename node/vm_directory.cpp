#include "node/vm_directory.hpp"

#include "telemetry/telemetry.hpp"

namespace siskinpaddle::node {

namespace {

/// A watch ends and is renewed after this time, so that an unresponsive connection is detected within it.
constexpr milliseconds watch_wait = 2s;
/// Each VM writes its registration every second and a half; without a pause, watches of many VMs would return
/// continuously.
constexpr milliseconds watch_pause = 400ms;
/// Used while machines are being moved to the pool: each tenth of a second that a machine idles there is paid
/// for, and clients wait for the machines.
constexpr milliseconds expected_changes_pause = 60ms;

} // namespace

vm_directory::vm_directory(event_loop& loop, platform::store_client& store, change_handler on_change)
    : m_on_change(std::move(on_change)),
      m_watch(
          loop, store, std::string(platform::vm_prefix), watch_wait,
          [this](const platform::store_item& item) { apply_item(item); }, watch_pause) {}

void vm_directory::start(std::function<void()> on_ready) {
    m_watch.start(std::move(on_ready));
}

void vm_directory::expect_changes(bool expected) {
    m_watch.set_pause(expected ? expected_changes_pause : watch_pause);
}

void vm_directory::apply_item(const platform::store_item& item) {
    const std::string id = item.key.substr(platform::vm_prefix.size());
    if (item.deleted) {
        m_unusable.erase(id);
        delist(id);
        return;
    }
    findings problems;
    const auto info = platform::decode_vm(item.key, item.value, problems);
    if (!info) {
        record_unusable(id, item.revision, problems.items().front());
        return;
    }
    m_unusable.erase(id);
    if (const std::string* listed = find_listed(id); listed != nullptr && *listed != info->incarnation) {
        delist(id);
    }
    const auto known = m_vms.find(info->incarnation);
    if (known != m_vms.end() && known->second == *info) {
        return;
    }
    m_listed[id] = info->incarnation;
    m_vms[info->incarnation] = *info;
    m_on_change(info->incarnation, info);
}

/// An entry that another program has overwritten doesn't describe the VM: values of the previous entry, such
/// as whether the VM drains, may no longer hold. The VM therefore gets no new work, like a VM that is no
/// longer listed, until its entry can be read again; its current runs continue under their lease. Otherwise
/// tasks would be started on a VM whose state is not confirmed. Each problem is logged once, however often it
/// is written.
void vm_directory::record_unusable(const std::string& id, std::int64_t revision, const finding& problem) {
    const auto [known, is_new] = m_unusable.try_emplace(id, problem);
    if (is_new || known->second != problem) {
        known->second = problem;
        log_event(
            event_id::vm_damaged,
            {{"vm", id}, {"revision", revision}, {"place", problem.location}, {"why", problem.message}});
    }
    delist(id);
}

void vm_directory::delist(const std::string& id) {
    if (const auto listed = m_listed.extract(id); !listed.empty()) {
        m_vms.erase(listed.mapped());
        m_on_change(listed.mapped(), std::nullopt);
    }
}

} // namespace siskinpaddle::node
