#include "soak/child_process.hpp"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ; // NOLINT: the C library's name

namespace siskinpaddle::soak {

namespace {

constexpr int signal_exit_base = 128;
constexpr mode_t log_mode = 0644;

} // namespace

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& log_path) {
    std::vector<char*> argv_pointers{
        const_cast<char*>(program.c_str())}; // NOLINT: posix_spawn does not modify it
    for (const std::string& item : arguments) {
        argv_pointers.push_back(const_cast<char*>(item.c_str())); // NOLINT: as above
    }
    argv_pointers.push_back(nullptr);
    posix_spawn_file_actions_t file_actions{};
    posix_spawn_file_actions_init(&file_actions);
    posix_spawn_file_actions_addopen(&file_actions, STDOUT_FILENO, log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, log_mode);
    posix_spawn_file_actions_adddup2(&file_actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&m_pid, program.c_str(), &file_actions, nullptr, argv_pointers.data(), environ) != 0) {
        m_pid = -1;
    }
    posix_spawn_file_actions_destroy(&file_actions);
}

child_process::~child_process() {
    kill();
}

void child_process::record_exit_status(int status) {
    m_pid = -1;
    m_exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : signal_exit_base + WTERMSIG(status);
}

bool child_process::is_running() {
    int status = 0;
    if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        record_exit_status(status);
    }
    return m_pid > 0;
}

void child_process::signal(int signal_number) {
    if (is_running()) {
        ::kill(m_pid, signal_number);
    }
}

void child_process::kill() {
    if (!is_running()) {
        return;
    }
    ::kill(m_pid, SIGKILL);
    int status = 0;
    if (waitpid(m_pid, &status, 0) == m_pid) {
        record_exit_status(status);
    }
}

} // namespace siskinpaddle::soak
