#pragma once

/// Public header of the peer library: what the entries of a deployment tell each other. Heartbeats go over
/// UDP, values over TCP; both are cereal, bounded, versioned and authenticated by a shared key. `replica` and
/// `fanout` are pure decisions; `peer_task` owns the sockets and belongs to the thread of its loop.

#include "peer/fanout.hpp"
#include "peer/messages.hpp"
#include "peer/peer_task.hpp"
#include "peer/replica.hpp"
#include "peer/seal.hpp"
