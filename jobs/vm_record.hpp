#pragma once

#include "jobs/vm.hpp"

#include <map>
#include <string>
#include <vector>

namespace siskinpaddle::jobs {

/// What an owner knows of a VM when it decides whether the record of VMs is to name it.
struct vm_record_inputs {
    bool listed = true;         ///< The platform lists it in this pool.
    bool is_idle = true;        ///< Nothing runs there, or may yet start, and what ended there is stored.
    bool evacuating = false;    ///< It is to be kept empty, so that its machine can be ordered away.
    bool reachable = true;      ///< It answered last, or was not asked yet.
    bool lease_expired = false; ///< All that ever ran there has certainly ended.
    bool recorded = false;      ///< The record names it now.
};

/// Whether the record of VMs that may hold runs is to name the VM. Pure; thread-safe.
///
/// A VM gets its first run only once the record names it, and a new owner waits for every VM of the record
/// before it starts a task that the earlier one may have started: 10.7 s for one that does not answer. So a
/// VM leaves the record as soon as nothing can run there: before its machine is ordered away, and when it has
/// been silent for longer than its lease. Answers an owner that dies while a turn ends and its machines
/// leave: its successor waited for dozens of VMs that were gone.
[[nodiscard]] constexpr bool belongs_in_record(const vm_record_inputs& vm) noexcept {
    if (!vm.is_idle) {
        return true;
    }
    if (!vm.listed || vm.evacuating) {
        return false;
    }
    return vm.reachable || (vm.recorded && !vm.lease_expired);
}

/// The record of VMs as its owner knows it: what is stored, and what may be stored instead because a write of
/// it was not answered. All writes that are open together hold against the same revision, so at most one of
/// them is ever carried out. Not thread-safe.
///
/// A VM may get a run only while every record that may be stored names it, and a new owner would not wait for
/// it only when none does. Answers writes whose answer is lost: a VM that one of them takes out looked
/// recorded again as soon as its machine was no longer wanted elsewhere, got tasks, and a successor would not
/// have asked it.
class vm_record {
  public:
    using vms_by_incarnation = std::map<std::string, vm_info>; ///< By incarnation.

    /// What the store holds.
    void load(const std::vector<vm_info>& vms, std::int64_t revision);

    [[nodiscard]] const vms_by_incarnation& stored() const noexcept { return m_stored; }
    /// Revision of the stored record; 0 while there is none.
    [[nodiscard]] std::int64_t revision() const noexcept { return m_revision; }
    /// Whether a write is on its way.
    [[nodiscard]] bool is_writing() const noexcept { return m_writing; }
    /// Whether it is known what is stored.
    [[nodiscard]] bool is_confirmed() const noexcept { return m_unconfirmed.empty(); }
    /// Whether the record certainly names the VM.
    [[nodiscard]] bool contains(const std::string& vm) const;
    [[nodiscard]] bool may_contain(const std::string& vm) const;

    /// A write of `wanted` is sent, under the condition that revision() stands. Precondition: !writing().
    void begin_write(vms_by_incarnation wanted);
    // How the write ended. Precondition: writing().
    void write_succeeded(std::int64_t revision);
    void write_refused();    ///< It was certainly not carried out.
    void write_unanswered(); ///< It may have been, or may yet be, carried out.
    /// The store holds another revision: an earlier write was carried out. What it holds is known again once
    /// a write succeeds.
    void write_conflicted(std::int64_t revision);

  private:
    vms_by_incarnation m_stored;
    std::vector<vms_by_incarnation>
        m_unconfirmed; ///< Writes that may be, or become, the stored record; the newest last.
    std::int64_t m_revision = 0;
    bool m_writing = false;
};

} // namespace siskinpaddle::jobs
