#pragma once

#include "jobs/vm.hpp"

#include <map>
#include <string>
#include <vector>

namespace siskinpaddle::jobs {

/// State of a VM that decides whether the record of VMs contains it.
struct vm_record_inputs {
    bool listed = true;      ///< The platform lists it in this pool.
    bool is_idle = true;     ///< No run is or may become active there, and the ends of all runs are stored.
    bool evacuating = false; ///< It is being emptied so that its machine can be moved or maintained.
    bool reachable = true;   ///< It answered the last call, or was not called yet.
    bool lease_expired = false; ///< Every run that was ever there has ended for certain.
    bool recorded = false;      ///< The record contains it now.
};

/// Whether the record of VMs that may hold runs should contain the VM. Pure; thread-safe.
///
/// A VM gets its first run only once the record contains it, and after a takeover the new owner waits for
/// every VM in the record before it starts a task that the previous owner may have started: 10.7 s for a VM
/// that does not answer. A VM is therefore removed from the record as soon as nothing can run there: before
/// its machine is moved or maintained, and when it has been unresponsive for longer than its lease.
/// Otherwise, if the owner fails while machines leave at the end of a demand peak, its successor waits for
/// dozens of VMs that no longer exist.
[[nodiscard]] constexpr bool belongs_in_record(const vm_record_inputs& vm) noexcept {
    if (!vm.is_idle) {
        return true;
    }
    if (!vm.listed || vm.evacuating) {
        return false;
    }
    return vm.reachable || (vm.recorded && !vm.lease_expired);
}

/// The owner's view of the record of VMs: the stored version, and the versions that may be stored instead
/// because their writes have no answer. All unanswered writes are conditional on the same revision, so at
/// most one of them is ever carried out. Not thread-safe.
///
/// A VM may get a run only while every version that may be stored contains it, and counts as removed only
/// once none does. Otherwise, when the answer to a write that removes a VM is lost and the removal is no
/// longer wanted, the VM would count as recorded and get tasks, and a successor would not query it.
class vm_record {
  public:
    using vms_by_incarnation = std::map<std::string, vm_info>; ///< By incarnation.

    /// Sets the version read from the store.
    void load(const std::vector<vm_info>& vms, std::int64_t revision);

    [[nodiscard]] const vms_by_incarnation& stored() const noexcept { return m_stored; }
    /// Revision of the write by this owner that added the VM to the stored version; 0 if the version that
    /// was loaded contained it, or if the stored version doesn't.
    [[nodiscard]] std::int64_t added_at(const std::string& vm) const;
    /// Revision of the stored record; 0 if there is none.
    [[nodiscard]] std::int64_t revision() const noexcept { return m_revision; }
    /// Whether a write is in flight.
    [[nodiscard]] bool is_writing() const noexcept { return m_writing; }
    /// Whether the stored version is known for certain, with no write in flight or unanswered.
    [[nodiscard]] bool is_confirmed() const noexcept { return m_unconfirmed.empty(); }
    /// Whether every version that may be stored contains the VM.
    [[nodiscard]] bool contains(const std::string& vm) const;
    /// Whether any version that may be stored contains the VM.
    [[nodiscard]] bool may_contain(const std::string& vm) const;

    /// Records that a write of `wanted` is sent, conditional on revision(). Precondition: !is_writing().
    void begin_write(vms_by_incarnation wanted);
    // Record the result of the write. Precondition: is_writing().
    void write_succeeded(std::int64_t revision);
    void write_refused();    ///< The write was not carried out.
    void write_unanswered(); ///< The write may have been, or may still be, carried out.
    /// The store holds another revision: an earlier write was carried out. The stored version is unknown
    /// until a write succeeds.
    void write_conflicted(std::int64_t revision);

  private:
    vms_by_incarnation m_stored;
    /// Writes that may be, or become, the stored version; newest last.
    std::vector<vms_by_incarnation> m_unconfirmed;
    std::map<std::string, std::int64_t> m_added_at; ///< By incarnation; not those that were loaded.
    std::int64_t m_revision = 0;
    bool m_writing = false;
};

} // namespace siskinpaddle::jobs
