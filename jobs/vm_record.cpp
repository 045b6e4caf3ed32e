#include "jobs/vm_record.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace siskinpaddle::jobs {

void vm_record::load(const std::vector<vm_info>& vms, std::int64_t revision) {
    m_stored.clear();
    for (const vm_info& info : vms) {
        m_stored[info.incarnation] = info;
    }
    m_revision = revision;
}

std::int64_t vm_record::added_at(const std::string& vm) const {
    const auto found = m_added_at.find(vm);
    return found == m_added_at.end() ? 0 : found->second;
}

bool vm_record::contains(const std::string& vm) const {
    return m_stored.contains(vm) && std::ranges::all_of(m_unconfirmed, [&](const vms_by_incarnation& item) {
               return item.contains(vm);
           });
}

bool vm_record::may_contain(const std::string& vm) const {
    return m_stored.contains(vm) || std::ranges::any_of(m_unconfirmed, [&](const vms_by_incarnation& item) {
               return item.contains(vm);
           });
}

void vm_record::begin_write(vms_by_incarnation wanted) {
    assert(!m_writing);
    m_writing = true;
    m_unconfirmed.push_back(std::move(wanted));
}

void vm_record::write_succeeded(std::int64_t revision) {
    assert(m_writing);
    m_writing = false;
    const vms_by_incarnation previous = std::exchange(m_stored, std::move(m_unconfirmed.back()));
    std::erase_if(m_added_at, [this](const auto& item) { return !m_stored.contains(item.first); });
    for (const auto& [vm, info] : m_stored) {
        if (!previous.contains(vm)) {
            m_added_at[vm] = revision;
        }
    }
    m_unconfirmed.clear();
    m_revision = revision;
}

void vm_record::write_refused() {
    assert(m_writing);
    m_writing = false;
    m_unconfirmed.pop_back();
}

void vm_record::write_unanswered() {
    assert(m_writing);
    m_writing = false;
}

void vm_record::write_conflicted(std::int64_t revision) {
    assert(m_writing);
    m_writing = false;
    m_revision = revision;
}

} // namespace siskinpaddle::jobs
