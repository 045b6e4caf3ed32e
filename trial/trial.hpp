#pragma once

/// Public header of the platform client library: clients of the platform's key-value service, VM list,
/// reboots and workers. The HTTP protocol is described in docs/PLATFORM.md. Not thread-safe: each client must
/// be used only from the thread of its event loop.

#include "trial/platform_client.hpp"
#include "trial/task_protocol.hpp"
#include "trial/worker_client.hpp"
