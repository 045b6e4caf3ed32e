#include "jobs/job_place.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

std::uint64_t address_of(const queue_settings& queue) noexcept {
    return std::max<std::uint64_t>(1, hash64(queue.prefix, hash64(queue.host)));
}

bool is_job_of_queue(const job_place& place, std::string_view queue, std::uint64_t address) noexcept {
    return place.queue == queue || (place.address != 0 && place.address == address);
}

} // namespace siskinpaddle::jobs
