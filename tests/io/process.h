#pragma once

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <fstream>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace cranberryshed::test {

// A child process that runs the program under test. Its standard output and standard error are read through a pipe, or
// appended to a file if one is named.
class Process {
public:
    explicit Process(const std::vector<std::string>& arguments, const std::string& outputFile = {})
    {
        int ends[2] = {};
        if (::pipe(ends) != 0)
            std::abort();
        this->child = ::fork();
        if (this->child == 0) {
            if (!outputFile.empty())
                ends[1] = ::open(outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(ends[1], STDOUT_FILENO);
            ::dup2(ends[1], STDERR_FILENO);
            // Without this, the sockets of this process stay open in the child after this process has closed them.
            ::close_range(STDERR_FILENO + 1, ~0U, 0);
            std::vector<char*> list { const_cast<char*>(PROGRAM) };
            for (const std::string& argument : arguments)
                list.push_back(const_cast<char*>(argument.c_str()));
            list.push_back(nullptr);
            ::execv(PROGRAM, list.data());
            ::_exit(127);
        }
        ::close(ends[1]);
        this->output = ends[0];
    }

    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    ~Process()
    {
        if (this->child > 0) {
            ::kill(this->child, SIGCONT);
            ::kill(this->child, SIGKILL);
            ::waitpid(this->child, nullptr, 0);
        }
        ::close(this->output);
    }

    void signal(int number) const { ::kill(this->child, number); }

    // Stops the process and returns once all of its threads have stopped.
    void stop() const
    {
        int status = 0;
        ::kill(this->child, SIGSTOP);
        ::waitpid(this->child, &status, WUNTRACED);
    }

    // Waits for the end of the process and returns its exit code, or 128 plus the signal that ended it.
    int wait()
    {
        int status = 0;
        ::waitpid(this->child, &status, 0);
        this->child = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }

    // Reads the output until it contains `text` or ends, for at most about `seconds`. Returns all output so far.
    std::string readUntil(const std::string& text, int seconds = 10)
    {
        const std::time_t end = std::time(nullptr) + seconds;
        while (this->received.find(text) == std::string::npos && std::time(nullptr) <= end) {
            pollfd waiting { .fd = this->output, .events = POLLIN, .revents = 0 };
            if (::poll(&waiting, 1, 200) <= 0)
                continue;
            char chunk[4096];
            const ssize_t count = ::read(this->output, chunk, sizeof(chunk));
            if (count <= 0)
                break;
            this->received.append(chunk, static_cast<std::size_t>(count));
        }
        return this->received;
    }

    std::string readAll() { return this->readUntil(std::string(1, '\0')); }

private:
    pid_t child = 0;
    int output = -1;
    std::string received;
};

// A file that is removed with this object.
class TemporaryFile {
public:
    explicit TemporaryFile(const std::string& content)
    {
        char name[] = "/tmp/cranberryshed-test-XXXXXX";
        const int descriptor = ::mkstemp(name);
        ::close(descriptor);
        this->filePath = name;
        std::ofstream(this->filePath) << content;
    }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;
    ~TemporaryFile() { ::unlink(this->filePath.c_str()); }

    const std::string& path() const { return this->filePath; }

private:
    std::string filePath;
};

}
