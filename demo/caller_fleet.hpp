#pragma once

#include "net/net.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace siskinpaddle::demo {

/// Outcome of a request as far as its caller knows.
enum class caller_outcome : std::uint8_t { pending, answered, not_run, unknown };

/// A caller's record of one request.
struct request_record {
    std::string pool;
    bool is_repeatable = false;
    caller_outcome outcome = caller_outcome::pending;
    bool answer_matches = true; ///< The answer has code 200 and begins with the request's id.
};

/// A path that callers request, and the pool whose VMs must run its requests.
struct caller_path {
    std::string method;
    std::string target;
    std::string pool;
    bool is_repeatable = false;
};

/// Simulates callers behind a load balancer: sends requests at a fixed interval to entries that report ready,
/// and records the outcome of each. Callers don't retry a request with the outcome not-run, so each record
/// covers one request.
class caller_fleet {
  public:
    caller_fleet(event_loop& loop, std::vector<endpoint> entries, std::vector<caller_path> paths,
                 milliseconds interval);

    /// Starts polling the entries' health; the polling continues while the event loop runs.
    void check_entries();
    void start();
    void stop() { m_stopped = true; }

    [[nodiscard]] const std::map<std::string, request_record>& requests() const noexcept {
        return m_requests;
    }
    [[nodiscard]] std::size_t count_pending() const;
    [[nodiscard]] std::size_t count_ready_entries() const;
    /// Configuration number that each ready entry reported in its last health answer.
    [[nodiscard]] const std::map<endpoint, std::int64_t>& config_numbers() const noexcept {
        return m_config_numbers;
    }

  private:
    void send_next();
    void send(const std::string& id, const caller_path& path, int attempt);
    void record_answer(const std::string& id, const http_answer& answer);

    std::vector<endpoint> m_entries;
    std::vector<caller_path> m_paths;
    milliseconds m_interval;
    http_client m_client;
    random_source m_random;
    std::map<endpoint, std::int64_t> m_config_numbers;
    std::map<std::string, request_record> m_requests;
    std::uint64_t m_next_id = 0;
    bool m_stopped = false;
    std::unique_ptr<timer> m_send_timer;
    std::unique_ptr<timer> m_check_timer;
};

} // namespace siskinpaddle::demo
