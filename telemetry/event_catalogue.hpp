#pragma once

#include "core/core.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace siskinpaddle {

enum class event_level : std::uint8_t { debug, info, warning, error };

template <>
inline constexpr std::array enum_names<event_level>{
    std::pair{event_level::debug, std::string_view("debug")},
    std::pair{event_level::info, std::string_view("info")},
    std::pair{event_level::warning, std::string_view("warning")},
    std::pair{event_level::error, std::string_view("error")}};

/// Every event that the system logs. The number is the event's identity for operators and never changes its
/// meaning; docs/EVENTS.md says for each what it means and what to do, and a test holds the two together.
enum class event_id : std::uint16_t {
    entry_started = 1001,
    entry_ready = 1002,
    entry_not_ready = 1003,
    entry_draining = 1004,
    entry_stopped = 1005,
    process_paused = 1007,
    config_in_force = 1101,
    config_older_refused = 1102,
    config_damaged = 1103,
    fleet_in_force = 1104,
    fleet_older_refused = 1105,
    fleet_damaged = 1106,
    registered = 1201,
    registration_failed = 1202,
    deregistered = 1203,
    registration_lost = 1204,
    control_taken = 1301,
    control_lost = 1302,
    plan_decision = 1303,
    plan_wait = 1304,
    plan_written = 1305,
    plan_conflict = 1306,
    pool_breached = 1307,
    vm_reboot_asked = 1308,
    request_sent = 1401,
    request_answered = 1402,
    request_retried = 1403,
    request_refused = 1404,
    request_given_up = 1405,
    claim_granted = 1406,
    claim_refused = 1407,
    claim_released = 1408,
    patch_accepted = 1501,
    patch_refused = 1502,
    operator_refused = 1503,
    job_accepted = 1601,
    job_decision = 1602,
    task_reported = 1603,
    job_refused = 1604,
    worker_set_aside = 1605,
    platform_unreachable = 1701,
    platform_back = 1702,
    peer_message_refused = 1801,
};

/// Catalogue line of an event.
struct event_entry {
    event_id id;
    std::string_view name;
    event_level level;
};

inline constexpr std::array event_catalogue{
    event_entry{event_id::entry_started, "entry-started", event_level::info},
    event_entry{event_id::entry_ready, "entry-ready", event_level::info},
    event_entry{event_id::entry_not_ready, "entry-not-ready", event_level::warning},
    event_entry{event_id::entry_draining, "entry-draining", event_level::info},
    event_entry{event_id::entry_stopped, "entry-stopped", event_level::info},
    event_entry{event_id::process_paused, "process-paused", event_level::warning},
    event_entry{event_id::config_in_force, "config-in-force", event_level::info},
    event_entry{event_id::config_older_refused, "config-older-refused", event_level::error},
    event_entry{event_id::config_damaged, "config-damaged", event_level::error},
    event_entry{event_id::fleet_in_force, "fleet-in-force", event_level::debug},
    event_entry{event_id::fleet_older_refused, "fleet-older-refused", event_level::error},
    event_entry{event_id::fleet_damaged, "fleet-damaged", event_level::error},
    event_entry{event_id::registered, "registered", event_level::info},
    event_entry{event_id::registration_failed, "registration-failed", event_level::warning},
    event_entry{event_id::deregistered, "deregistered", event_level::info},
    event_entry{event_id::registration_lost, "registration-lost", event_level::error},
    event_entry{event_id::control_taken, "control-taken", event_level::info},
    event_entry{event_id::control_lost, "control-lost", event_level::warning},
    event_entry{event_id::plan_decision, "plan-decision", event_level::info},
    event_entry{event_id::plan_wait, "plan-wait", event_level::info},
    event_entry{event_id::plan_written, "plan-written", event_level::debug},
    event_entry{event_id::plan_conflict, "plan-conflict", event_level::info},
    event_entry{event_id::pool_breached, "pool-breached", event_level::error},
    event_entry{event_id::vm_reboot_asked, "vm-reboot-asked", event_level::info},
    event_entry{event_id::request_sent, "request-sent", event_level::info},
    event_entry{event_id::request_answered, "request-answered", event_level::debug},
    event_entry{event_id::request_retried, "request-retried", event_level::warning},
    event_entry{event_id::request_refused, "request-refused", event_level::warning},
    event_entry{event_id::request_given_up, "request-given-up", event_level::warning},
    event_entry{event_id::claim_granted, "claim-granted", event_level::debug},
    event_entry{event_id::claim_refused, "claim-refused", event_level::info},
    event_entry{event_id::claim_released, "claim-released", event_level::debug},
    event_entry{event_id::patch_accepted, "patch-accepted", event_level::info},
    event_entry{event_id::patch_refused, "patch-refused", event_level::warning},
    event_entry{event_id::operator_refused, "operator-refused", event_level::warning},
    event_entry{event_id::job_accepted, "job-accepted", event_level::info},
    event_entry{event_id::job_decision, "job-decision", event_level::info},
    event_entry{event_id::task_reported, "task-reported", event_level::info},
    event_entry{event_id::job_refused, "job-refused", event_level::warning},
    event_entry{event_id::worker_set_aside, "worker-set-aside", event_level::warning},
    event_entry{event_id::platform_unreachable, "platform-unreachable", event_level::warning},
    event_entry{event_id::platform_back, "platform-back", event_level::info},
    event_entry{event_id::peer_message_refused, "peer-message-refused", event_level::warning},
};

} // namespace siskinpaddle
