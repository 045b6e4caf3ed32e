#pragma once

#include <cstdint>
#include <string>

namespace siskinpaddle::node {

/// Keys that nodes use in the platform's store.
///
/// - `sp/ctl/node/NODE`: address of a node; written by that node, expires with its lease.
/// - `sp/ctl/own/DUTY`: owner and epoch, its revision is the fencing token; written by the node that claims
/// the duty, kept permanently.
/// - `sp/ctl/live/DUTY`: name of the owner; written by the owner, expires with its lease.
/// - `sp/ctl/jobs/POOL`: the queues whose jobs the pool may have, with their settings; written together with
/// the first job of a queue, kept until the pool has none left.
/// - `sp/place/JOB`: which pool has an accepted job; written together with the job's record, or with its
/// request in the inbox, and kept as long as the job's progress.
/// - `sp/job/POOL/JOB`: an accepted job; written by the pool's owner, kept until the job ends.
/// - `sp/progress/POOL/JOB`: tasks done and final phase; written by the pool's owner, kept for a while after
/// the job's end.
/// - `sp/inbox/POOL/submit/JOB` and `sp/inbox/POOL/cancel/JOB`: a request that did not reach the owner;
/// written by any node, kept until the owner processes it.
/// - `sp/wave/NUMBER`: machines whose maintenance is confirmed; written by the fleet's owner, kept
/// permanently.
/// - `sp/account/ACCOUNT`: how the account's limit is divided among the pools; written by the pools' owners,
/// each for its own pool, kept permanently.
/// - `sp/vms/POOL`: VMs that may hold runs; written by the pool's owner, kept permanently.

inline const std::string control_prefix = "sp/ctl/";
inline const std::string node_prefix = "sp/ctl/node/";
inline const std::string owner_prefix = "sp/ctl/own/";
inline const std::string liveness_prefix = "sp/ctl/live/";
inline const std::string pool_record_prefix = "sp/ctl/jobs/";

[[nodiscard]] inline std::string pool_record_key(const std::string& pool) {
    return pool_record_prefix + pool;
}

[[nodiscard]] inline std::string job_prefix(const std::string& pool) {
    return "sp/job/" + pool + "/";
}
[[nodiscard]] inline std::string progress_prefix(const std::string& pool) {
    return "sp/progress/" + pool + "/";
}
[[nodiscard]] inline std::string inbox_prefix(const std::string& pool) {
    return "sp/inbox/" + pool + "/";
}
[[nodiscard]] inline std::string place_key(const std::string& job) {
    return "sp/place/" + job;
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

inline const std::string account_prefix = "sp/account/";
[[nodiscard]] inline std::string account_key(const std::string& account) {
    return account_prefix + account;
}

[[nodiscard]] inline std::string wave_record_key(std::int64_t number) {
    return "sp/wave/" + std::to_string(number);
}

/// Announcements of orders about machines; read by the next owner of the fleet.
inline const std::string announcement_prefix = "sp/orders/";

/// Duty of owning the pool; one node holds it at a time.
[[nodiscard]] inline std::string pool_duty(const std::string& pool) {
    return "pool/" + pool;
}
inline const std::string fleet_duty = "fleet"; ///< Orders about machines: maintenance and moves.

} // namespace siskinpaddle::node
