#pragma once

/// Public header of the gateway library: what callers and operators speak to. Both gateways run on the
/// entry's one loop and are not thread-safe.

#include "gateway/caller_gateway.hpp"
#include "gateway/operator_gateway.hpp"
