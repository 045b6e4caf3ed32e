#pragma once

/// Public header of the peer library: the protocol between the entries of a deployment. Heartbeats are sent
/// over UDP, values over TCP. Both are encoded with cereal, limited in size, versioned and authenticated by a
/// shared key. `replica` and `fanout` do no I/O; `peer_task` owns the sockets and must only be used on the
/// thread of its event loop.

#include "peer/fanout.hpp"
#include "peer/messages.hpp"
#include "peer/peer_task.hpp"
#include "peer/replica.hpp"
#include "peer/seal.hpp"
