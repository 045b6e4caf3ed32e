#pragma once

#include "core/core.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace siskinpaddle::soak {

/// When the clients of refused jobs return: as the Retry-After header of the refusal says, a few times. Not
/// thread-safe.
class retry_schedule {
  public:
    static constexpr std::size_t max_returns = 3;

    /// `retry_after`: the header's value, seconds. Without a valid one, or after `max_returns`, the client
    /// doesn't return.
    void add(const std::string& job, std::string_view retry_after, timestamp answered);
    /// Removes and returns the jobs whose time has come.
    [[nodiscard]] std::vector<std::string> take_due(timestamp now);

  private:
    std::multimap<timestamp, std::string> m_due;
    std::map<std::string, std::size_t> m_returns; ///< Number of returns by job.
};

} // namespace siskinpaddle::soak
