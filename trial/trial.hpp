#pragma once

/// Public header of the platform library: the client of the platform's key-value service, VM list, reboots
/// and workers, by the HTTP protocol in docs/PLATFORM.md. It belongs to the thread of its event loop.

#include "trial/platform_client.hpp"
#include "trial/task_protocol.hpp"
#include "trial/worker_client.hpp"
