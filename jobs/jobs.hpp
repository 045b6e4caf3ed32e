#pragma once

/// Public header of the jobs library: scheduling decisions about jobs and the VMs of one pool. The library
/// does no I/O: its inputs are state, events and clock readings, its outputs are orders. Each object may be
/// used from one thread at a time.

#include "jobs/access.hpp"
#include "jobs/account_ledger.hpp"
#include "jobs/advice.hpp"
#include "jobs/allowances.hpp"
#include "jobs/balance.hpp"
#include "jobs/client_account.hpp"
#include "jobs/commitments.hpp"
#include "jobs/evacuation_list.hpp"
#include "jobs/fleet_configuration.hpp"
#include "jobs/job.hpp"
#include "jobs/job_admission.hpp"
#include "jobs/job_state.hpp"
#include "jobs/label_meters.hpp"
#include "jobs/maintenance.hpp"
#include "jobs/placement.hpp"
#include "jobs/pool_report.hpp"
#include "jobs/pool_reserves.hpp"
#include "jobs/queue_count.hpp"
#include "jobs/run_times.hpp"
#include "jobs/scheduler.hpp"
#include "jobs/start_window.hpp"
#include "jobs/suspicion.hpp"
#include "jobs/vm.hpp"
#include "jobs/vm_end.hpp"
#include "jobs/vm_record.hpp"
#include "jobs/vm_state.hpp"
#include "jobs/work_gauge.hpp"
#include "jobs/zone_ranking.hpp"
