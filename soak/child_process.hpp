#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace siskinpaddle::soak {

/// A process started by the soak. The soak sends signals to such processes only. The destructor kills the
/// process. Not thread-safe.
class child_process {
  public:
    /// Starts `program` and appends its standard output and error to the file `log_path`. is_running()
    /// returns false if the start failed.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& log_path);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Whether the process is running. Collects the exit status of a process that has ended.
    [[nodiscard]] bool is_running();
    /// Sends a signal. Has no effect once the process has ended.
    void signal(int signal_number);
    /// Sends SIGKILL and waits until the process has ended.
    void kill();
    /// -1 once the process has ended.
    [[nodiscard]] pid_t process_id() const noexcept { return m_pid; }
    /// Exit code, or 128 plus the signal number. Precondition: !is_running().
    [[nodiscard]] int exit_code() const noexcept { return m_exit_code; }

  private:
    void record_exit_status(int status);

    pid_t m_pid = -1;
    int m_exit_code = 0;
};

} // namespace siskinpaddle::soak
