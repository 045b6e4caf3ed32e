#pragma once

/// Public header of the policy library: decisions on routing, placement and maintenance, as pure functions
/// and small state machines. Time and randomness are passed as arguments and nothing here does I/O, so
/// recorded sessions replay byte for byte. No type is thread-safe; each instance is owned by one task object,
/// such as `peer_task`.

#include "policy/admission.hpp"
#include "policy/answers.hpp"
#include "policy/budget.hpp"
#include "policy/byte_budget.hpp"
#include "policy/claims.hpp"
#include "policy/configuration.hpp"
#include "policy/entry_checks.hpp"
#include "policy/fleet.hpp"
#include "policy/jobs.hpp"
#include "policy/observations.hpp"
#include "policy/patch.hpp"
#include "policy/pause_detector.hpp"
#include "policy/placement.hpp"
#include "policy/planner.hpp"
#include "policy/retry_budget.hpp"
#include "policy/target_table.hpp"
#include "policy/task_reports.hpp"
#include "policy/worker_health_tracker.hpp"
