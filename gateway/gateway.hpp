#pragma once

/// Public header of the gateway library: the HTTP interfaces for callers and for operators. Both gateways run
/// on the entry's single event loop and are not thread-safe.

#include "gateway/caller_gateway.hpp"
#include "gateway/operator_gateway.hpp"
