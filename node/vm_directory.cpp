#include "node/vm_directory.hpp"

#include "telemetry/telemetry.hpp"

namespace siskinpaddle::node {

namespace {

/// A watch is cut and begun anew this often; a connection that went silent is found within this time.
constexpr milliseconds watch_wait = 2s;
/// Each VM writes its registration every second and a half, so watches of many VMs would return all the time:
/// 121 calls a second for 48 VMs and four owners without the pause, 9 with it, counted by the store's client.
constexpr milliseconds watch_pause = 400ms;
/// While machines are on their way to the pool: each tenth of a second that they idle there is paid for, and
/// callers wait for them.
constexpr milliseconds expecting_pause = 60ms;

} // namespace

vm_directory::vm_directory(event_loop& loop, platform::store_client& store, change_handler on_change)
    : m_on_change(std::move(on_change)),
      m_watch(
          loop, store, std::string(platform::vm_prefix), watch_wait,
          [this](const platform::store_item& item) { take(item); }, watch_pause) {}

void vm_directory::start(std::function<void()> on_ready) {
    m_watch.start(std::move(on_ready));
}

void vm_directory::expect_changes(bool expected) {
    m_watch.set_pause(expected ? expecting_pause : watch_pause);
}

void vm_directory::take(const platform::store_item& item) {
    const std::string incarnation = item.key.substr(platform::vm_prefix.size());
    if (item.deleted) {
        if (m_vms.erase(incarnation) > 0) {
            m_on_change(incarnation, std::nullopt);
        }
        return;
    }
    findings problems;
    const auto info = platform::decode_vm(item.key, item.value, problems);
    if (!info) {
        log_event(event_id::vm_damaged, {{"vm", incarnation}, {"revision", item.revision}});
        return;
    }
    const auto known = m_vms.find(incarnation);
    if (known != m_vms.end() && known->second == *info) {
        return;
    }
    m_vms[incarnation] = *info;
    m_on_change(incarnation, info);
}

} // namespace siskinpaddle::node
