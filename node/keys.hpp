#pragma once

#include <cstdint>
#include <string>

namespace siskinpaddle::node {

/// Our keys in the platform's store.
///
/// | key | value | written by | lives |
/// | --- | --- | --- | --- |
/// | `sp/ctl/node/NODE` | address of a node | that node | with its lease |
/// | `sp/ctl/own/DUTY` | owner and epoch; its revision is the fencing token | who claims the duty | for good
/// | | `sp/ctl/live/DUTY` | name of the owner | the owner | with its lease | | `sp/job/POOL/JOB` | an
/// accepted job | the pool's owner | until the job ends | | `sp/progress/POOL/JOB` | tasks done, final phase
/// | the pool's owner | a while past the end | | `sp/inbox/POOL/submit/JOB`, `.../cancel/JOB` | a request
/// that did not reach the owner | any node | until the owner takes it | | `sp/wave/NUMBER` | machines whose
/// upkeep is confirmed | the fleet's owner | for good | | `sp/vms/POOL` | VMs that may hold runs | the pool's
/// owner | for good |

inline const std::string control_prefix = "sp/ctl/";
inline const std::string node_prefix = "sp/ctl/node/";
inline const std::string owner_prefix = "sp/ctl/own/";
inline const std::string liveness_prefix = "sp/ctl/live/";

[[nodiscard]] inline std::string job_prefix(const std::string& pool) {
    return "sp/job/" + pool + "/";
}
[[nodiscard]] inline std::string progress_prefix(const std::string& pool) {
    return "sp/progress/" + pool + "/";
}
[[nodiscard]] inline std::string inbox_prefix(const std::string& pool) {
    return "sp/inbox/" + pool + "/";
}
[[nodiscard]] inline std::string submit_key(const std::string& pool, const std::string& job) {
    return inbox_prefix(pool) + "submit/" + job;
}
[[nodiscard]] inline std::string cancel_key(const std::string& pool, const std::string& job) {
    return inbox_prefix(pool) + "cancel/" + job;
}
[[nodiscard]] inline std::string vms_key(const std::string& pool) {
    return "sp/vms/" + pool;
}

[[nodiscard]] inline std::string wave_record_key(std::int64_t number) {
    return "sp/wave/" + std::to_string(number);
}

/// Announcements of orders about machines.
inline const std::string announcement_prefix = "sp/orders/";

/// Duties that have one owner at a time.
[[nodiscard]] inline std::string pool_duty(const std::string& pool) {
    return "pool/" + pool;
}
inline const std::string fleet_duty = "fleet"; ///< Orders about machines: upkeep and moves.

} // namespace siskinpaddle::node
