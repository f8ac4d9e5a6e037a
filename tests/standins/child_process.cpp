#include "standins/child_process.h"

#include "base/boot_clock.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <mutex>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace bronzechute::standins {

namespace {

constexpr const char *startStep = "child_process.start";
constexpr int execFailedStatus = 127;

/** Runs in the child between fork() and exec(): calls async-signal-safe functions only. */
[[noreturn]] void becomeProgram(const std::vector<char *> &arguments, int output, pid_t parent)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(execFailedStatus); // The parent ended before prctl().
    }
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    dup2(output, STDOUT_FILENO);
    execv(arguments.front(), arguments.data());
    _exit(execFailedStatus);
}

int exitStatusOf(int waitStatus)
{
    constexpr int signalBase = 128; // As a shell reports it.
    return WIFEXITED(waitStatus) ? WEXITSTATUS(waitStatus) : signalBase + WTERMSIG(waitStatus);
}

} // namespace

result<std::unique_ptr<child_process>> child_process::start(const std::string &program,
                                                            const std::vector<std::string> &arguments)
{
    if (access(program.c_str(), X_OK) != 0) {
        return error {errc::not_found, startStep, program, std::strerror(errno)};
    }
    std::vector<char *> argv {const_cast<char *>(program.c_str())};
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    int ends[2] = {};
    if (pipe2(ends, O_CLOEXEC) != 0) {
        return error {errc::unavailable, startStep, program, std::strerror(errno)};
    }
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
        becomeProgram(argv, ends[1], parent);
    }
    close(ends[1]);
    if (pid < 0) {
        close(ends[0]);
        return error {errc::unavailable, startStep, program, std::strerror(errno)};
    }
    return std::unique_ptr<child_process>(new child_process(pid, ends[0]));
}

result<std::unique_ptr<child_process>> child_process::startReady(const std::string &program,
                                                                 const std::vector<std::string> &arguments)
{
    auto started = start(program, arguments);
    if (!started) {
        return started;
    }
    child_process &child = *started.value();
    const auto line = child.waitForLine("ready ");
    if (!line) {
        return error {errc::timed_out, startStep, program, "no ready line; output: " + child.output()};
    }
    std::istringstream words(*line);
    std::string word;
    while (words >> word) {
        const std::size_t equals = word.find('=');
        if (equals != std::string::npos) {
            child.m_ready[word.substr(0, equals)] = word.substr(equals + 1);
        }
    }
    return started;
}

child_process::child_process(pid_t pid, int output) : m_pid(pid), m_outputDescriptor(output)
{
    m_reader = std::thread([this] { readOutput(); });
}

child_process::~child_process()
{
    kill();
    m_reader.join();
    close(m_outputDescriptor);
}

std::string child_process::ready(const std::string &key) const
{
    const auto found = m_ready.find(key);
    return found == m_ready.end() ? "" : found->second;
}

std::string child_process::url(const std::string &key) const
{
    return "http://" + ready(key);
}

std::optional<std::string> child_process::waitForLine(const std::string &prefix, std::chrono::milliseconds limit)
{
    std::optional<std::string> found;
    const auto search = [&] {
        std::istringstream lines(m_output);
        std::string line;
        // A line that getline() ends by the end of the output is not complete yet.
        while (!found && std::getline(lines, line) && !lines.eof()) {
            if (line.starts_with(prefix)) {
                found = line;
            }
        }
        return found.has_value() || m_outputEnded;
    };
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, limit, search);
    return found;
}

std::string child_process::output()
{
    const std::scoped_lock lock(m_mutex);
    return m_output;
}

void child_process::signal(int number) const
{
    if (!m_status) { // Once waited for, the id may belong to another process.
        ::kill(m_pid, number);
    }
}

void child_process::kill()
{
    signal(SIGKILL);
    waitForExit();
}

void child_process::freeze() const
{
    signal(SIGSTOP);
}

void child_process::thaw() const
{
    signal(SIGCONT);
}

std::optional<int> child_process::waitForExit(std::chrono::milliseconds limit)
{
    constexpr std::chrono::milliseconds interval {5};
    const time_point end = boot_clock::now() + limit;
    while (!m_status) {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_status = exitStatusOf(status);
        } else if (boot_clock::now() >= end) {
            break;
        } else {
            std::this_thread::sleep_for(interval);
        }
    }
    return m_status;
}

void child_process::readOutput()
{
    char block[4096];
    ssize_t count = 0;
    while ((count = read(m_outputDescriptor, block, sizeof block)) > 0) {
        const std::scoped_lock lock(m_mutex);
        m_output.append(block, static_cast<std::size_t>(count));
        m_changed.notify_all();
    }
    const std::scoped_lock lock(m_mutex);
    m_outputEnded = true;
    m_changed.notify_all();
}

} // namespace bronzechute::standins
