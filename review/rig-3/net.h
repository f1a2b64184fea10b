#pragma once

// Blocking HTTP/1.1 over loopback sockets, as far as the cases need it.

#include <algorithm>
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
#include <set>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace rig {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using std::chrono::milliseconds;

inline double secondsBetween(Time from, Time to)
{
    return std::chrono::duration<double>(to - from).count();
}

// A connected or listening TCP socket. Moved, never copied.
class Socket {
public:
    Socket() = default;
    explicit Socket(int descriptor)
        : handle(descriptor)
    {
    }
    Socket(Socket&& other) noexcept
        : handle(std::exchange(other.handle, -1))
    {
    }
    Socket& operator=(Socket&& other) noexcept
    {
        std::swap(this->handle, other.handle);
        return *this;
    }
    ~Socket() { this->close(); }

    bool isOpen() const { return this->handle >= 0; }
    int descriptor() const { return this->handle; }

    void close()
    {
        if (this->handle >= 0)
            ::close(std::exchange(this->handle, -1));
    }

    // Closes the connection with a reset.
    void reset()
    {
        const linger immediately { .l_onoff = 1, .l_linger = 0 };
        if (this->handle >= 0)
            ::setsockopt(this->handle, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
        this->close();
    }

    bool write(const std::string& bytes) const
    {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t count = ::send(this->handle, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            done += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Waits for bytes, an end or an error until `end`. Returns false if there was none.
    bool waitReadable(Time end) const
    {
        pollfd state { .fd = this->handle, .events = POLLIN, .revents = 0 };
        const auto left = std::chrono::duration_cast<milliseconds>(end - Clock::now()).count();
        return ::poll(&state, 1, static_cast<int>(std::max<std::int64_t>(0, left))) > 0;
    }

    // Appends what has arrived by `end`. Returns false after an end, an error or no byte by then.
    bool readSome(std::string& text, Time end) const
    {
        char chunk[16384];
        if (!this->waitReadable(end))
            return false;
        const ssize_t count = ::recv(this->handle, chunk, sizeof(chunk), 0);
        if (count <= 0)
            return false;
        text.append(chunk, static_cast<std::size_t>(count));
        return true;
    }

private:
    int handle = -1;
};

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline std::string addressText(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

inline std::uint16_t portOf(const Socket& socket)
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    ::getsockname(socket.descriptor(), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

// Listens on a port that the kernel chooses.
inline Socket listenOnFreePort()
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = loopback(0);
    if (::bind(socket.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 || ::listen(socket.descriptor(), 512) != 0)
        throw std::runtime_error("cannot listen on a loopback port");
    return socket;
}

// A port that nothing uses at the moment, for TCP and UDP. The entry VMs bind it themselves, so it lies below the ports that the
// kernel gives to outgoing connections.
inline std::uint16_t freePort()
{
    static std::mt19937 random(std::random_device {}());
    static std::set<std::uint16_t> taken; // by earlier calls
    std::uniform_int_distribution<int> ports(20000, 32000);
    for (;;) {
        const auto port = static_cast<std::uint16_t>(ports(random));
        const sockaddr_in address = loopback(port);
        const Socket stream(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        const Socket datagram(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
        const bool isFree = ::bind(stream.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0
            && ::bind(datagram.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        if (isFree && taken.insert(port).second)
            return port;
    }
}

inline Socket connectTo(std::uint16_t port)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = loopback(port);
    if (::connect(socket.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
        return {};
    const int enabled = 1;
    ::setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    return socket;
}

// The header and body of a request or an answer.
struct Message {
    std::string firstLine;
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;

    std::string field(const std::string& name) const
    {
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? std::string() : found->second;
    }

    // The second word of the first line: the target of a request, the status of an answer.
    std::string secondWord() const
    {
        const std::size_t begin = this->firstLine.find(' ') + 1;
        return this->firstLine.substr(begin, this->firstLine.find(' ', begin) - begin);
    }
};

enum class ReadResult {
    Complete,
    Nothing, // the connection ended or the time passed before the first byte
    Broken, // the same, after the first byte
};

// Parses the first line and the fields of a message that ends with an empty line.
inline Message parseHead(const std::string& head)
{
    Message message;
    std::size_t position = head.find("\r\n");
    message.firstLine = head.substr(0, position);
    while (position + 4 < head.size()) {
        const std::size_t begin = position + 2;
        position = head.find("\r\n", begin);
        const std::string line = head.substr(begin, position - begin);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        std::ranges::transform(name, name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.fields[name] = value == std::string::npos ? std::string() : line.substr(value);
    }
    return message;
}

// Reads the head of a message and takes it from the buffer. Nothing after it is read more than needed.
inline ReadResult readHead(const Socket& socket, std::string& buffer, Message& message, Time end)
{
    std::size_t headEnd = 0;
    while ((headEnd = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!socket.readSome(buffer, end))
            return buffer.empty() ? ReadResult::Nothing : ReadResult::Broken;
    }
    message = parseHead(buffer.substr(0, headEnd + 4));
    buffer.erase(0, headEnd + 4);
    return ReadResult::Complete;
}

// Reads the body of a message with a stated length. Bytes after it stay in the buffer.
inline ReadResult readBody(const Socket& socket, std::string& buffer, Message& message, Time end)
{
    const std::string length = message.field("content-length");
    const std::size_t bytes = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < bytes) {
        if (!socket.readSome(buffer, end)) {
            message.body = buffer;
            return ReadResult::Broken;
        }
    }
    message.body = buffer.substr(0, bytes);
    buffer.erase(0, bytes);
    return ReadResult::Complete;
}

// Reads one message with a stated length from the connection.
inline ReadResult readMessage(const Socket& socket, std::string& buffer, Message& message, Time end)
{
    const ReadResult head = readHead(socket, buffer, message, end);
    return head == ReadResult::Complete ? readBody(socket, buffer, message, end) : head;
}

}
