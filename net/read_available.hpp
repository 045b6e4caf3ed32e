#pragma once

#include <cstddef>
#include <event2/util.h>
#include <limits>

struct evbuffer;

namespace siskinpaddle {

/// Reads the bytes that `socket` still holds, in the same iteration of the event loop, after `added_bytes`
/// bytes were added to `input`. Reads `max_bytes` at most, and 256 KB, so that other connections are served
/// too. Returns the number of bytes read. Does nothing after a short read. Call only from a callback of
/// `input`, on the loop's thread. Errors and the end of the stream are reported again by libevent's own next
/// read.
///
/// libevent reads 4 KB from a connection per iteration. On a busy node, whose iterations take 75 to 200 ms, a
/// body of 100 KB then takes longer than the timeout of its call: the call is aborted half read and repeated,
/// with a larger body each time, and the copy of the store's items stays outdated for as long as the load
/// lasts.
std::size_t read_available(evbuffer* input, evutil_socket_t socket, std::size_t added_bytes,
                           std::size_t max_bytes = std::numeric_limits<std::size_t>::max());

} // namespace siskinpaddle
