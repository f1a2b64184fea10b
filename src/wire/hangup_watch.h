#pragma once

#include "wire/asio.h"

#include <functional>
#include <optional>
#include <unordered_map>

namespace cranberryshed::wire {

// Tells when the other side of a connection has closed it, in an orderly way or by a reset. Reading shows that only after
// all bytes before it have been read; this watch sees it at once and leaves the bytes where they are.
//
// An epoll instance of its own is needed, because Asio's reactor reports a close of a socket only as bytes to read. Not
// thread-safe: one for each traffic thread.
class HangupWatch {
public:
    using Callback = std::function<void()>;

    // Throws boost::system::system_error if the system refuses an epoll instance.
    explicit HangupWatch(const Executor&);
    HangupWatch(const HangupWatch&) = delete;
    HangupWatch& operator=(const HangupWatch&) = delete;

    // Calls `onHangup` once, when the other side has closed the connection of this socket. Returns a number for remove().
    std::uint64_t add(int socket, Callback onHangup);

    // Ends the watch of a socket. Call it before the socket is closed.
    void remove(std::uint64_t number) { this->callbacks.erase(number); }

    // Stops waiting for events. Call it before the end of the executor's context.
    void close() { this->epoll.reset(); }

private:
    Task<void> run();
    void handleEvents();

    std::optional<asio::posix::basic_stream_descriptor<Executor>> epoll;
    std::unordered_map<std::uint64_t, Callback> callbacks; // by number
    std::uint64_t lastNumber = 0;
};

// Whether the other side has closed the connection.
bool hasHungUp(int socket);

}
