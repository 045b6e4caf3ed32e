#pragma once

/// Public header of the telemetry library: numbered log events over Boost.Log and metrics over
/// Boost.Histogram.

#include "telemetry/event_catalogue.hpp"
#include "telemetry/event_log.hpp"
#include "telemetry/metrics.hpp"
