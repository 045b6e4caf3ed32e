#include "jobs/vm_record.hpp"

#include <algorithm>
#include <cassert>

namespace siskinpaddle::jobs {

void vm_record::load(const std::vector<vm_info>& vms, std::int64_t revision) {
    m_stored.clear();
    for (const vm_info& info : vms) {
        m_stored[info.incarnation] = info;
    }
    m_revision = revision;
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
    m_stored = std::move(m_unconfirmed.back());
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
