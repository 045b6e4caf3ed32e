#pragma once

#include "jobs/jobs.hpp"

#include <string>

namespace siskinpaddle::tests {

/// The queue "quotes" of the pool "p".
inline jobs::queue_settings quotes_queue(const std::string& prefix = "/quotes/") {
    jobs::queue_settings queue;
    queue.name = "quotes";
    queue.host = "h.example";
    queue.prefix = prefix;
    queue.pool = "p";
    queue.max_attempts = 3;
    queue.stretch_factor = 1.6;
    queue.target_latency = 5s;
    return queue;
}

} // namespace siskinpaddle::tests
