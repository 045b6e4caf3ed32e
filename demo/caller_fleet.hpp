#pragma once

#include "net/net.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace siskinpaddle::demo {

/// What a caller knows of one of its requests at the end.
enum class caller_outcome : std::uint8_t { pending, answered, not_run, unknown };

/// One request as its caller remembers it.
struct request_record {
    std::string pool;
    bool is_repeatable = false;
    caller_outcome outcome = caller_outcome::pending;
    bool answer_matches = true; ///< The answer names this very request and carries its body.
};

/// A path that callers use, and the pool that must run it.
struct caller_path {
    std::string method;
    std::string target;
    std::string pool;
    bool is_repeatable = false;
};

/// Callers behind a balancer: sends requests at fixed times to entries that say that they are ready, and
/// notes what each caller was told. A caller that is told not-run does not ask again here, so every note is
/// about one request.
class caller_fleet {
  public:
    caller_fleet(event_loop& loop, std::vector<endpoint> entries, std::vector<caller_path> paths,
                 milliseconds interval);

    /// Begins to ask the entries for their health, and goes on doing so.
    void check_entries();
    void start();
    void stop() { m_stopped = true; }

    [[nodiscard]] const std::map<std::string, request_record>& requests() const noexcept {
        return m_requests;
    }
    [[nodiscard]] std::size_t count_pending() const;
    [[nodiscard]] std::size_t count_ready_entries() const;
    /// Configuration number that each ready entry reported last.
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
