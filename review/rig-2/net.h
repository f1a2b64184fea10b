#pragma once

// Blocking sockets and HTTP/1.1 messages for the clients, servers and the store of the review's cases.

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using namespace std::chrono_literals;

inline double seconds(Clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// "IP:port", always a loopback address here.
struct Address {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;

    std::string text() const { return this->ip + ":" + std::to_string(this->port); }

    sockaddr_in raw() const
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(this->port);
        inet_pton(AF_INET, this->ip.c_str(), &result.sin_addr);
        return result;
    }
};

struct CaseInsensitive {
    bool operator()(const std::string& left, const std::string& right) const { return strcasecmp(left.c_str(), right.c_str()) < 0; }
};

// The head of a request or an answer.
struct Head {
    std::string firstLine;
    std::map<std::string, std::string, CaseInsensitive> fields;

    std::string field(const std::string& name) const
    {
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? std::string() : found->second;
    }
    // Word `index` of the first line.
    std::string word(int index) const
    {
        std::size_t begin = 0;
        for (int i = 0; i < index; ++i)
            begin = this->firstLine.find(' ', begin) + 1;
        return this->firstLine.substr(begin, this->firstLine.find(' ', begin) - begin);
    }
    int status() const { return std::atoi(this->word(1).c_str()); }
    std::size_t length() const { return std::strtoull(this->field("Content-Length").c_str(), nullptr, 10); }
};

// One TCP connection. Functions that read return nothing, and those that write return false, once it has failed.
class Connection {
public:
    Connection() = default;
    explicit Connection(int openSocket)
        : socket(openSocket)
    {
        const int on = 1;
        ::setsockopt(this->socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Connection(Connection&& other) noexcept
        : socket(std::exchange(other.socket, -1))
        , buffer(std::move(other.buffer))
    {
    }
    Connection& operator=(Connection&& other) noexcept
    {
        this->close();
        this->socket = std::exchange(other.socket, -1);
        this->buffer = std::move(other.buffer);
        return *this;
    }
    ~Connection() { this->close(); }

    static Connection open(const Address& address)
    {
        const int opened = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in raw = address.raw();
        if (::connect(opened, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) == 0)
            return Connection(opened);
        ::close(opened);
        return {};
    }

    bool isOpen() const { return this->socket >= 0; }
    int handle() const { return this->socket; }

    void close()
    {
        if (this->socket >= 0)
            ::close(std::exchange(this->socket, -1));
    }

    // Closes the connection with a reset instead of an orderly end.
    void reset()
    {
        const linger immediate { .l_onoff = 1, .l_linger = 0 };
        ::setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
        this->close();
    }

    bool write(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t count = ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    std::optional<Head> readHead(Time until)
    {
        std::size_t end = std::string::npos;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->readMore(until))
                return std::nullopt;
        }
        Head head;
        std::size_t begin = 0;
        while (begin < end) {
            const std::size_t lineEnd = this->buffer.find("\r\n", begin);
            const std::string line = this->buffer.substr(begin, lineEnd - begin);
            const std::size_t colon = line.find(':');
            if (begin == 0)
                head.firstLine = line;
            else if (colon != std::string::npos)
                head.fields[line.substr(0, colon)] = line.substr(std::min(line.find_first_not_of(' ', colon + 1), line.size()));
            begin = lineEnd + 2;
        }
        this->buffer.erase(0, end + 4);
        return head;
    }

    std::optional<std::string> readBody(std::size_t length, Time until)
    {
        while (this->buffer.size() < length) {
            if (!this->readMore(until))
                return std::nullopt;
        }
        std::string body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return body;
    }

    // Waits until the other side has ended the connection. Returns false if it is still open at `until`.
    bool waitForEnd(Time until)
    {
        while (this->readMore(until)) { }
        return Clock::now() < until;
    }

private:
    bool readMore(Time until)
    {
        pollfd entry { .fd = this->socket, .events = POLLIN, .revents = 0 };
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - Clock::now()).count();
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[65536];
        const ssize_t count = ::recv(this->socket, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int socket = -1;
    std::string buffer;
};

// A listening socket. close() ends a wait in accept().
class Listener {
public:
    // Port 0: a free one.
    explicit Listener(Address wanted = {})
        : address(std::move(wanted))
    {
        this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(this->socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in raw = this->address.raw();
        socklen_t size = sizeof raw;
        this->isBound = ::bind(this->socket, reinterpret_cast<sockaddr*>(&raw), size) == 0 && ::listen(this->socket, 512) == 0;
        ::getsockname(this->socket, reinterpret_cast<sockaddr*>(&raw), &size);
        this->address.port = ntohs(raw.sin_port);
    }
    Listener(const Listener&) = delete;
    ~Listener() { ::close(this->socket); }

    Connection accept() const
    {
        const int accepted = ::accept4(this->socket, nullptr, nullptr, SOCK_CLOEXEC);
        return accepted < 0 ? Connection() : Connection(accepted);
    }
    void close() const { ::shutdown(this->socket, SHUT_RDWR); }

    Address address;
    bool isBound = false;

private:
    int socket = -1;
};

// The first of `count` consecutive ports that are free on an address, below the range of ephemeral ports.
inline std::uint16_t freePorts(const std::string& ip, std::uint16_t count)
{
    std::random_device random;
    for (;;) {
        const auto first = static_cast<std::uint16_t>(20000 + random() % 10000);
        bool areFree = true;
        for (std::uint16_t i = 0; i < count && areFree; ++i)
            areFree = Listener({ .ip = ip, .port = static_cast<std::uint16_t>(first + i) }).isBound;
        if (areFree)
            return first;
    }
}

}
