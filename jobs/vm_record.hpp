#pragma once

namespace siskinpaddle::jobs {

/// What an owner knows of a VM when it decides whether the record of VMs is to name it.
struct record_view {
    bool listed = true;    ///< The platform lists it in this pool.
    bool settled = true;   ///< Nothing runs there, or may yet start, and what ended there is stored.
    bool clearing = false; ///< It is to be kept empty, so that its machine can be ordered away.
    bool reachable = true; ///< It answered last, or was not asked yet.
    bool lapsed = false;   ///< All that ever ran there has certainly ended.
    bool recorded = false; ///< The record names it now.
};

/// Whether the record of VMs that may hold runs is to name the VM. Pure; thread-safe.
///
/// A VM gets its first run only once the record names it, and a new owner waits for every VM of the record
/// before it starts a task that the earlier one may have started: 10.7 s for one that does not answer. So a
/// VM leaves the record as soon as nothing can run there: before its machine is ordered away, and when it has
/// been silent for longer than its lease. Answers an owner that dies while a turn ends and its machines
/// leave: its successor waited for dozens of VMs that were gone (five seconds without a start, 260 VMs idle).
[[nodiscard]] constexpr bool belongs_in_record(const record_view& vm) noexcept {
    if (!vm.settled) {
        return true;
    }
    if (!vm.listed || vm.clearing) {
        return false;
    }
    return vm.reachable || (vm.recorded && !vm.lapsed);
}

} // namespace siskinpaddle::jobs
