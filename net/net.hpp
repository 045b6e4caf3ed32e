#pragma once

/// Public header of the net library: the event loop and sockets over libevent. An event loop and everything
/// created on it belong to the thread that runs the loop; nothing here is thread-safe. Callbacks are called
/// from the loop, never from within the call that requested them, so a task is never re-entered.

#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/http_types.hpp"
#include "net/loop_clock.hpp"
#include "net/stream.hpp"
#include "net/udp_socket.hpp"
