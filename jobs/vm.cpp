#include "jobs/vm.hpp"

#include <charconv>

namespace siskinpaddle::jobs {

namespace {

constexpr char start_separator = '/';

} // namespace

std::string make_incarnation(std::string_view id, std::int64_t started_ms) {
    return started_ms > 0 ? incarnation_prefix(id) + std::to_string(started_ms) : std::string(id);
}

std::string incarnation_prefix(std::string_view id) {
    return std::string(id) + start_separator;
}

std::string_view vm_id_of(std::string_view incarnation) noexcept {
    return incarnation.substr(0, incarnation.find(start_separator));
}

std::int64_t start_time_of(std::string_view incarnation) noexcept {
    const std::size_t separator = incarnation.find(start_separator);
    if (separator == std::string_view::npos) {
        return 0;
    }
    std::int64_t started_ms = 0;
    std::from_chars(incarnation.data() + separator + 1, incarnation.data() + incarnation.size(), started_ms);
    return started_ms;
}

} // namespace siskinpaddle::jobs
