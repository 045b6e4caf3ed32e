#pragma once

#include <map>
#include <set>
#include <string>

namespace siskinpaddle::jobs {

/// VMs that their pools' owners keep empty so that their machines can be moved or maintained. Not
/// thread-safe.
///
/// A machine that is off runs no VM, so there is nothing to keep empty. If its empty VM name were added, it
/// would match every machine that is off: while one of them is being moved or waits for maintenance, none of
/// the spare pool's other machines would count as free. Machines would then be moved at 50 per second where
/// the platform accepts 168, and not at all during a maintenance wave.
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
    [[nodiscard]] std::set<std::string> vms_of_pool(const std::string& pool) const {
        const auto found = m_vms.find(pool);
        return found == m_vms.end() ? std::set<std::string>{} : found->second;
    }
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
