#pragma once

#include <cstddef>
#include <event2/util.h>

struct evbuffer;

namespace siskinpaddle {

/// Reads on what `socket` holds, in the same turn of the loop, after `added` bytes have come into `input`;
/// 256 KB at most, so that other connections have their turn. Does nothing after a short read. To be called
/// from a callback of `input` only, on the loop's thread. Errors and ends of the socket show again at
/// libevent's own next read.
///
/// libevent reads 4 KB of a connection in one turn. On a busy node (75 to 200 ms a turn) a body of 100 KB
/// took longer than its call may: it was given up half read and asked for again, larger each time, and a copy
/// of the store's items stayed old for as long as the load lasted.
void read_available(evbuffer* input, evutil_socket_t socket, std::size_t added_bytes);

} // namespace siskinpaddle
