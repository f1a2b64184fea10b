#include "wire/hangup_watch.h"

#include "wire/log.h"

#include <array>
#include <poll.h>
#include <sys/epoll.h>

namespace cranberryshed::wire {

namespace {

    int createEpoll()
    {
        const int descriptor = ::epoll_create1(EPOLL_CLOEXEC);
        if (descriptor < 0)
            throw boost::system::system_error(errno, boost::system::system_category(), "epoll_create1");
        return descriptor;
    }

}

HangupWatch::HangupWatch(const Executor& executor)
{
    this->epoll.emplace(executor, createEpoll());
    asio::co_spawn(executor, this->run(), asio::detached);
}

std::uint64_t HangupWatch::add(int socket, Callback onHangup)
{
    const std::uint64_t number = ++this->lastNumber;
    epoll_event event { .events = EPOLLRDHUP | EPOLLONESHOT, .data = { .u64 = number } };
    if (::epoll_ctl(this->epoll->native_handle(), EPOLL_CTL_ADD, socket, &event) == 0)
        this->callbacks.emplace(number, std::move(onHangup));
    else
        log(core::LogComponent::Wire, spdlog::level::warn, "cannot watch a connection for its end: {}", error_code(errno, boost::system::system_category()).message());
    return number;
}

Task<void> HangupWatch::run()
{
    for (;;) {
        auto [error] = co_await this->epoll->async_wait(asio::posix::descriptor_base::wait_read, useResult);
        if (error)
            co_return;
        this->handleEvents();
    }
}

void HangupWatch::handleEvents()
{
    std::array<epoll_event, 64> events;
    for (int count = static_cast<int>(events.size()); count == static_cast<int>(events.size());) {
        count = ::epoll_wait(this->epoll->native_handle(), events.data(), static_cast<int>(events.size()), 0);
        for (int i = 0; i < count; ++i) {
            const auto found = this->callbacks.find(events[static_cast<std::size_t>(i)].data.u64);
            if (found == this->callbacks.end())
                continue;
            const Callback onHangup = std::move(found->second);
            this->callbacks.erase(found);
            onHangup();
        }
    }
}

bool hasHungUp(int socket)
{
    pollfd state { .fd = socket, .events = POLLRDHUP, .revents = 0 };
    return ::poll(&state, 1, 0) > 0;
}

}
