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

bool vm_record::names(const std::string& vm) const {
    return m_stored.contains(vm) &&
           std::ranges::all_of(m_open, [&](const entries& item) { return item.contains(vm); });
}

bool vm_record::may_name(const std::string& vm) const {
    return m_stored.contains(vm) ||
           std::ranges::any_of(m_open, [&](const entries& item) { return item.contains(vm); });
}

void vm_record::begin(entries wanted) {
    assert(!m_writing);
    m_writing = true;
    m_open.push_back(std::move(wanted));
}

void vm_record::succeeded(std::int64_t revision) {
    assert(m_writing);
    m_writing = false;
    m_stored = std::move(m_open.back());
    m_open.clear();
    m_revision = revision;
}

void vm_record::refused() {
    assert(m_writing);
    m_writing = false;
    m_open.pop_back();
}

void vm_record::unanswered() {
    assert(m_writing);
    m_writing = false;
}

void vm_record::conflicted(std::int64_t revision) {
    assert(m_writing);
    m_writing = false;
    m_revision = revision;
}

} // namespace siskinpaddle::jobs
