#pragma once

#include <map>
#include <set>
#include <string>

namespace siskinpaddle::jobs {

/// VMs that their pools' owners are to keep empty, so that their machines can be ordered away. Not
/// thread-safe.
///
/// A machine that is off runs no VM, and there is nothing to keep empty. Taken in under its empty name it
/// would stand for every machine that is off: as long as one of them is on its way, or waits for its upkeep,
/// none of the spare pool's other machines would count as free. Seen as machines that come at 50 a second
/// where the platform takes 168, and not at all while a wave of upkeep goes on.
class evacuation_list {
  public:
    void add(const std::string& pool, const std::string& vm) {
        if (!vm.empty()) {
            m_vms[pool].insert(vm);
        }
    }
    void clear() noexcept { m_vms.clear(); }

    [[nodiscard]] bool contains(const std::string& pool, const std::string& vm) const {
        const auto found = m_vms.find(pool);
        return found != m_vms.end() && found->second.contains(vm);
    }
    /// The VMs of one pool.
    [[nodiscard]] std::set<std::string> vms_of_pool(const std::string& pool) const {
        const auto found = m_vms.find(pool);
        return found == m_vms.end() ? std::set<std::string>{} : found->second;
    }
    /// The VMs of all pools.
    [[nodiscard]] std::set<std::string> all_vms() const {
        std::set<std::string> result;
        for (const auto& [pool, vms] : m_vms) {
            result.insert(vms.begin(), vms.end());
        }
        return result;
    }

  private:
    std::map<std::string, std::set<std::string>> m_vms;
};

} // namespace siskinpaddle::jobs
