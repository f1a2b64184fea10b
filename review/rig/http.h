#pragma once

// Blocking HTTP/1.1 over loopback sockets, for the stand-ins and clients of the review cases.

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline bool sameName(const std::string& a, const std::string& b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool complete = false; // the whole message was read
    bool delimited = true; // its end was marked by a length or by chunks, not by the end of the connection

    std::string field(const std::string& name) const
    {
        for (const auto& [key, value] : this->fields) {
            if (sameName(key, name))
                return value;
        }
        return {};
    }
    bool has(const std::string& name) const
    {
        return std::any_of(this->fields.begin(), this->fields.end(), [&](const auto& entry) { return sameName(entry.first, name); });
    }
    // Word `index` of the start line.
    std::string word(int index) const
    {
        std::size_t begin = 0;
        for (int i = 0; i < index; ++i) {
            begin = this->startLine.find(' ', begin);
            if (begin == std::string::npos)
                return {};
            ++begin;
        }
        return this->startLine.substr(begin, this->startLine.find(' ', begin) - begin);
    }
    int status() const { return std::atoi(this->word(1).c_str()); }
};

class Connection {
public:
    explicit Connection(int socket = -1)
        : fd(socket)
    {
        const int on = 1;
        if (socket >= 0)
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() { this->close(); }

    bool open(const std::string& ip, int port)
    {
        this->close();
        this->buffer.clear();
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        if (::connect(this->fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0)
            return true;
        this->close();
        return false;
    }
    void close()
    {
        if (this->fd >= 0)
            ::close(this->fd);
        this->fd = -1;
    }
    bool isOpen() const { return this->fd >= 0; }

    bool write(const std::string& text)
    {
        std::size_t done = 0;
        while (done < text.size()) {
            const ssize_t count = ::send(this->fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            done += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Reads more bytes. Returns false at the end of the stream, after an error, or at the deadline.
    bool readMore(Clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<Ms>(deadline - Clock::now()).count();
        pollfd entry { this->fd, POLLIN, 0 };
        if (left < 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
            this->timedOut = true;
            return false;
        }
        char chunk[16384];
        const ssize_t count = ::recv(this->fd, chunk, sizeof(chunk), 0);
        if (count <= 0) {
            this->ended = count == 0;
            return false;
        }
        this->buffer.append(chunk, static_cast<std::size_t>(count));
        return true;
    }

    // Whether the peer has closed the connection, without reading.
    bool isClosedByPeer()
    {
        char byte = 0;
        const ssize_t count = ::recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    // Reads one message. A response without a length or chunks ends with the connection.
    Message read(bool isResponse, Clock::time_point deadline)
    {
        Message message;
        this->timedOut = this->ended = false;
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->readMore(deadline))
                return message;
        }
        this->parseHead(message, this->buffer.substr(0, end + 2));
        this->buffer.erase(0, end + 4);
        if (sameName(message.field("Transfer-Encoding"), "chunked"))
            message.complete = this->readChunks(message, deadline);
        else if (message.has("Content-Length"))
            message.complete = this->readBytes(message.body, std::stoul(message.field("Content-Length")), deadline);
        else if (isResponse && message.status() != 204 && message.status() != 304) {
            message.delimited = false;
            while (this->readMore(deadline)) { }
            message.body = std::exchange(this->buffer, {});
            message.complete = this->ended;
        } else
            message.complete = true;
        return message;
    }

    std::string buffer; // received, not used yet
    bool timedOut = false;
    bool ended = false; // the peer closed the connection in order
    int fd;

private:
    static void parseHead(Message& message, const std::string& head)
    {
        std::size_t begin = head.find("\r\n");
        message.startLine = head.substr(0, begin);
        for (begin += 2; begin < head.size();) {
            const std::size_t end = head.find("\r\n", begin);
            const std::string line = head.substr(begin, end - begin);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                std::size_t value = line.find_first_not_of(" \t", colon + 1);
                message.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
            }
            begin = end + 2;
        }
    }
    bool readBytes(std::string& target, std::size_t count, Clock::time_point deadline)
    {
        while (this->buffer.size() < count) {
            if (!this->readMore(deadline)) {
                target += std::exchange(this->buffer, {});
                return false;
            }
        }
        target += this->buffer.substr(0, count);
        this->buffer.erase(0, count);
        return true;
    }
    bool readChunks(Message& message, Clock::time_point deadline)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->readMore(deadline))
                    return false;
            }
            const std::size_t size = std::strtoul(this->buffer.c_str(), nullptr, 16);
            this->buffer.erase(0, end + 2);
            std::string crlf;
            if (!this->readBytes(message.body, size, deadline) || !this->readBytes(crlf, 2, deadline))
                return false;
            if (size == 0)
                return true;
        }
    }
};

// Listens on a port of this address. Returns the socket, or -1.
inline int listenOn(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 && ::listen(fd, 512) == 0)
        return fd;
    ::close(fd);
    return -1;
}

inline int portOf(int fd)
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

}
