#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace siskinpaddle::soak {

/// A process that this one started, and the only kind that it sends signals to. Killed when destroyed. Not
/// thread-safe.
class child_process {
  public:
    /// Starts `program`; its standard output and error are appended to `log`. running() is false if that
    /// failed.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& log_path);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Whether it has not ended yet.
    [[nodiscard]] bool is_running();
    /// Does nothing once the process has ended.
    void signal(int signal_number);
    /// Ends it at once and waits for that.
    void kill();
    /// Exit code, or 128 and the signal's number. Precondition: !running().
    [[nodiscard]] int exit_code() const noexcept { return m_exit_code; }

  private:
    void record_exit_status(int status);

    pid_t m_pid = -1;
    int m_exit_code = 0;
};

} // namespace siskinpaddle::soak
