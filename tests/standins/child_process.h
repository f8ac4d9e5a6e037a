#pragma once

#include "base/ranked_mutex.h"
#include "base/result.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace bronzechute::standins {

/**
 * A program that a test runs. The destructor kills it.
 *
 * The kernel also kills the program when the thread that started it ends, so that an aborted test leaves nothing
 * behind: start programs from a thread that outlives them.
 */
class child_process
{
public:
    static constexpr std::chrono::seconds patience {30};

    /**
     * Starts the program; its standard error is the test's own.
     * @param arguments without the program's name
     */
    static result<std::unique_ptr<child_process>> start(const std::string &program,
                                                        const std::vector<std::string> &arguments);

    /** As start(), then waits for the line "ready key=value …". @returns an error when it does not come. */
    static result<std::unique_ptr<child_process>> startReady(const std::string &program,
                                                             const std::vector<std::string> &arguments);

    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    pid_t pid() const
    {
        return m_pid;
    }

    /** @returns the value of a key of the ready line; empty when it has none. */
    std::string ready(const std::string &key) const;

    /** @returns "http://" and the address that the ready line gives for a key. */
    std::string url(const std::string &key = "http") const;

    /** Waits for a line that begins with the prefix. @returns the line, or nothing when it does not come in time. */
    std::optional<std::string> waitForLine(const std::string &prefix, std::chrono::milliseconds limit = patience);

    /** @returns everything the program has written to standard output. */
    std::string output();

    void signal(int number) const;
    void kill();
    void freeze() const; ///< SIGSTOP.
    void thaw() const; ///< SIGCONT.

    /** @returns the exit status, 128 + signal for a killed program, or nothing when it still runs after the limit. */
    std::optional<int> waitForExit(std::chrono::milliseconds limit = patience);

private:
    child_process(pid_t pid, int output);

    void readOutput();

    pid_t m_pid;
    int m_outputDescriptor;
    std::map<std::string, std::string> m_ready;
    std::optional<int> m_status; ///< Set once the program was waited for.
    ranked_mutex m_mutex {lock_rank::leaf};
    std::condition_variable_any m_changed;
    std::string m_output;
    bool m_outputEnded = false;
    std::thread m_reader;
};

} // namespace bronzechute::standins
