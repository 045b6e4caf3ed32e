#pragma once

#include "node/watch_task.hpp"

namespace siskinpaddle::node {

/// The VMs of all pools that the platform lists. An entry that is not a complete registration lists no VM.
/// Not thread-safe: the directory belongs to its event loop.
class vm_directory {
  public:
    /// `on_change` gets a VM's key as its incarnation, and its current registration, or nothing when the VM
    /// is no longer listed: its entry is removed or can't be read.
    using change_handler = std::function<void(const std::string& vm, const std::optional<jobs::vm_info>&)>;

    vm_directory(event_loop& loop, platform::store_client& store, change_handler on_change);

    void start(std::function<void()> on_ready);

    /// Sets whether VMs are about to appear; the entries are then polled frequently.
    void expect_changes(bool expected);
    /// The copy holds everything that VMs had written up to this time, by this node's clock.
    [[nodiscard]] timestamp complete_until() const noexcept { return m_watch.complete_until(); }
    /// Lists the entries again at once.
    void refresh() { m_watch.refresh(); }

    [[nodiscard]] const std::map<std::string, jobs::vm_info>& vms() const noexcept { return m_vms; }
    /// Returns whether the VM has an entry, including one that can't be read.
    [[nodiscard]] bool is_registered(const std::string& vm) const {
        return m_vms.contains(vm) || m_unusable.contains(vm);
    }

  private:
    void apply_item(const platform::store_item& item);
    void record_unusable(const std::string& incarnation, std::int64_t revision, const finding& problem);
    void delist(const std::string& incarnation);

    change_handler m_on_change;
    std::map<std::string, jobs::vm_info> m_vms;
    std::map<std::string, finding> m_unusable; ///< Entries that list no VM, each with its first problem.
    watch_task m_watch;
};

} // namespace siskinpaddle::node
