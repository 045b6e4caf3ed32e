#pragma once

#include "node/watch_task.hpp"

namespace siskinpaddle::node {

/// The VMs that the platform lists, of all pools.
class vm_directory {
  public:
    /// `on_change` gets a VM's key as the incarnation and what it tells now, or nothing when it is gone.
    using change_handler = std::function<void(const std::string& vm, const std::optional<jobs::vm_info>&)>;

    vm_directory(event_loop& loop, platform::store_client& store, change_handler on_change);

    void start(std::function<void()> on_ready);

    /// VMs are about to appear: look more often.
    void expect_changes(bool expected);
    /// Reads anew at once.
    void refresh() { m_watch.refresh(); }

    [[nodiscard]] const std::map<std::string, jobs::vm_info>& vms() const noexcept { return m_vms; }
    /// Whether there is an entry for the VM, also one that can't be read.
    [[nodiscard]] bool is_registered(const std::string& vm) const { return m_vms.contains(vm); }

  private:
    void take(const platform::store_item& item);

    change_handler m_on_change;
    std::map<std::string, jobs::vm_info> m_vms;
    watch_task m_watch;
};

} // namespace siskinpaddle::node
