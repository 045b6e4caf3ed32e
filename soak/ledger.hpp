#pragma once

#include "core/core.hpp"
#include "fakes/task_vm.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskinpaddle::soak {

/// What clients saw of one job.
struct job_history {
    std::uint32_t tasks = 0;
    bool endless = false;   ///< Its tasks run until it is cancelled.
    bool may_run = false;   ///< A submit was answered with success, or had an unknown outcome.
    bool asking = false;    ///< A submit is on its way; its outcome is open.
    timestamp accepted{0};  ///< First success; 0: none yet.
    timestamp cancelled{0}; ///< Its cancelling was answered with success.
    bool cancel_sent = false;
    bool cancelling = false; ///< The cancelling is on its way.
    bool completed = false;  ///< It was shown as completed.
};

/// A run with the VM that had it.
struct vm_run {
    std::string vm;
    fakes::task_vm::run_record run;
};

/// Bounds of the checks that have one.
struct ledger_bounds {
    std::size_t runs_at_once = 0; ///< Tasks that fit on one VM.
    /// How long after the answer to a cancelling an order of an owner that was cut off or paused may still
    /// arrive: as long as a start may be on its way, and the owner may act beyond its claim.
    milliseconds after_cancelling{0};
};

/// Finds broken promises in what clients and VMs saw. Pure. `live` are the VMs that are up; runs of others
/// ended when they crashed. `now` is when the records were read.
[[nodiscard]] std::vector<std::string> check_runs(const std::map<std::string, job_history>& jobs,
                                                  const std::vector<vm_run>& runs,
                                                  const ledger_bounds& bounds, timestamp now);
/// Jobs that were accepted and not cancelled, and are not shown as completed. Those whose tasks run until
/// they are cancelled count until that was answered.
[[nodiscard]] std::vector<std::string> unfinished(const std::map<std::string, job_history>& jobs);
/// Runs that go on although their job's cancelling was answered.
[[nodiscard]] std::vector<std::string> left_running(const std::map<std::string, job_history>& jobs,
                                                    const std::vector<vm_run>& runs);

} // namespace siskinpaddle::soak
