#pragma once

#include "core/names.h"
#include "vm_fixture.h"

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cranberryshed::test {

// How a caller leaves.
enum class Leave : std::uint8_t { Close, // it closes its connection
    Reset, // it resets its connection
    Kill }; // its process is killed

}

template <>
struct cranberryshed::core::Names<cranberryshed::test::Leave> {
    static constexpr std::array<std::string_view, 3> values = { "close", "reset", "kill" };
};

namespace cranberryshed::test {

// A caller that sends bytes, as many as its connection takes, and leaves when it is told to.
class LeavingCaller {
public:
    LeavingCaller(const std::string& address, const std::string& bytes, Leave wayToLeave)
        : way(wayToLeave)
    {
        if (this->way == Leave::Kill)
            this->startProcess(address, bytes);
        else
            this->socket = connectAndSend(address, bytes);
    }

    LeavingCaller(const LeavingCaller&) = delete;
    LeavingCaller& operator=(const LeavingCaller&) = delete;

    ~LeavingCaller() { this->leave(); }

    // Whether the other side has sent anything or closed the connection. Not known of a process.
    bool hasAnswer() const
    {
        char byte = 0;
        return this->socket >= 0 && ::recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
    }

    void leave()
    {
        if (this->process > 0) {
            ::kill(this->process, SIGKILL);
            ::waitpid(this->process, nullptr, 0);
            this->process = 0;
        }
        if (this->socket < 0)
            return;
        if (this->way == Leave::Reset) {
            const linger abort { .l_onoff = 1, .l_linger = 0 };
            ::setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
        } else
            this->drain(); // a close with unread bytes would be a reset
        ::close(this->socket);
        this->socket = -1;
    }

private:
    // Makes system calls only, because it also runs in the child of a process with threads.
    static int connectAndSend(const std::string& address, const std::string& bytes)
    {
        const std::size_t colon = address.find(':');
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        target.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (::connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0)
            return socket;
        for (std::size_t sent = 0; sent < bytes.size();) {
            const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
            if (count <= 0)
                break;
            sent += static_cast<std::size_t>(count);
        }
        return socket;
    }

    void startProcess(const std::string& address, const std::string& bytes)
    {
        this->process = ::fork();
        if (this->process != 0)
            return;
        ::close_range(STDERR_FILENO + 1, ~0U, 0); // the sockets of this process must not stay open in the child
        connectAndSend(address, bytes);
        for (;;)
            ::pause();
    }

    void drain() const
    {
        std::array<char, 65536> dropped;
        while (::recv(this->socket, dropped.data(), dropped.size(), MSG_DONTWAIT) > 0) {
        }
    }

    const Leave way;
    int socket = -1;
    pid_t process = 0;
};

}
