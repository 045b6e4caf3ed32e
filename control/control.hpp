#pragma once

/// Public header of the control library: the tasks of an entry that keep its knowledge in force, its
/// registration, the planner, the tasks' leases and the health checks. Each task owns its state; all run on
/// one loop and are not thread-safe.

#include "control/claim_task.hpp"
#include "control/entry_settings.hpp"
#include "control/health_task.hpp"
#include "control/planner_task.hpp"
#include "control/registration_task.hpp"
#include "control/runner_task.hpp"
#include "control/state_task.hpp"
