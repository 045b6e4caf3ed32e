#pragma once

/// Public header of the control library: the tasks of an entry that replicate the platform's values, claim
/// idempotency keys, register the entry, plan the fleet, renew task leases and check the health of targets.
/// Each task owns its state. All tasks run on one event loop and are not thread-safe.

#include "control/claim_task.hpp"
#include "control/entry_settings.hpp"
#include "control/health_task.hpp"
#include "control/planner_task.hpp"
#include "control/registration_task.hpp"
#include "control/runner_task.hpp"
#include "control/state_task.hpp"
