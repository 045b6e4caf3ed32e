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
                             const std::string& log) {
    std::vector<char*> words{const_cast<char*>(program.c_str())}; // NOLINT: posix_spawn changes nothing
    for (const std::string& item : arguments) {
        words.push_back(const_cast<char*>(item.c_str())); // NOLINT: as above
    }
    words.push_back(nullptr);
    posix_spawn_file_actions_t files{};
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     log_mode);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&m_pid, program.c_str(), &files, nullptr, words.data(), environ) != 0) {
        m_pid = -1;
    }
    posix_spawn_file_actions_destroy(&files);
}

child_process::~child_process() {
    kill();
}

void child_process::take_status(int status) {
    m_pid = -1;
    m_exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : signal_exit_base + WTERMSIG(status);
}

bool child_process::running() {
    int status = 0;
    if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        take_status(status);
    }
    return m_pid > 0;
}

void child_process::signal(int number) {
    if (running()) {
        ::kill(m_pid, number);
    }
}

void child_process::kill() {
    if (!running()) {
        return;
    }
    ::kill(m_pid, SIGKILL);
    int status = 0;
    if (waitpid(m_pid, &status, 0) == m_pid) {
        take_status(status);
    }
}

} // namespace siskinpaddle::soak
