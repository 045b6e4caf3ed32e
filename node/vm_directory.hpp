#pragma once

#include "node/watch_task.hpp"

namespace siskinpaddle::node {

/// The VMs of all pools that the platform lists. An entry that is not a complete registration lists no VM.
/// Not thread-safe: the directory belongs to its event loop.
class vm_directory {
  public:
    /// `on_change` gets the incarnation of a VM and its current registration, or nothing when the incarnation
    /// is no longer listed: its entry is removed, can't be read, or registers another start of the VM.
    using change_handler = std::function<void(const std::string& vm, const std::optional<jobs::vm_info>&)>;

    vm_directory(event_loop& loop, platform::store_client& store, change_handler on_change);

    void start(std::function<void()> on_ready);

    /// Sets whether VMs are about to appear; the entries are then polled frequently.
    void expect_changes(bool expected);
    /// The copy holds everything that VMs had written up to this time, by this node's clock.
    [[nodiscard]] timestamp complete_until() const noexcept { return m_watch.complete_until(); }
    /// Lists the entries again at once.
    void refresh() { m_watch.refresh(); }

    /// The listed VMs by incarnation.
    [[nodiscard]] const std::map<std::string, jobs::vm_info>& vms() const noexcept { return m_vms; }
    /// The listed incarnation of the VM with this id; null if none is listed.
    [[nodiscard]] const std::string* find_listed(const std::string& id) const {
        const auto found = m_listed.find(id);
        return found == m_listed.end() ? nullptr : &found->second;
    }
    /// Returns whether there is an entry with the VM's id, including one that can't be read or that registers
    /// another start of the VM.
    [[nodiscard]] bool is_registered(const std::string& vm) const {
        const std::string id(jobs::vm_id_of(vm));
        return m_listed.contains(id) || m_unusable.contains(id);
    }

  private:
    void apply_item(const platform::store_item& item);
    void record_unusable(const std::string& id, std::int64_t revision, const finding& problem);
    void delist(const std::string& id);

    change_handler m_on_change;
    std::map<std::string, jobs::vm_info> m_vms;  ///< By incarnation.
    std::map<std::string, std::string> m_listed; ///< Id -> listed incarnation.
    std::map<std::string, finding> m_unusable; ///< Ids of entries that list no VM, with their first problem.
    watch_task m_watch;
};

} // namespace siskinpaddle::node
