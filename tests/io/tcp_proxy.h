#pragma once

#include "vm_fixture.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <list>

namespace cranberryshed::test {

// A TCP proxy on loopback that harms the connections through it. Both ends still acknowledge all bytes, so keep-alive
// probes notice nothing.
class TcpProxy {
public:
    TcpProxy(asio::io_context& owner, const std::string& targetAddress)
        : state(std::make_shared<State>(owner, targetAddress))
    {
        asio::co_spawn(owner, accept(this->state), asio::detached);
    }

    TcpProxy(const TcpProxy&) = delete;
    TcpProxy& operator=(const TcpProxy&) = delete;

    ~TcpProxy()
    {
        asio::post(this->state->context, [state = this->state] { state->acceptor.close(); });
    }

    std::string address() const { return this->state->address; }

    // All connections that are open now pass no more bytes, in both directions, and stay open. New ones work.
    void silence() { ++this->state->generation; }

    // While held, bytes wait in the proxy, on open and on new connections. Without `toTarget`, only answers do.
    void hold(bool held, bool toTarget = true)
    {
        this->state->holdsAnswers = held;
        this->state->holdsRequests = held && toTarget;
    }

    // While truncating, a connection is reset after the first bytes of an answer.
    void truncateAnswers(bool truncates) { this->state->truncates = truncates; }

    // Closes all connections that are open now, with a reset.
    void reset()
    {
        asio::post(this->state->context, [state = this->state] {
            for (const auto& weak : state->links) {
                if (const std::shared_ptr<Link> link = weak.lock())
                    link->reset();
            }
            state->links.clear();
        });
    }

private:
    static constexpr std::size_t keptAnswerBytes = 100; // of a truncated answer

    struct Link {
        Link(asio::io_context& context, asio::ip::tcp::socket caller, unsigned openedIn)
            : client(std::move(caller))
            , server(context)
            , generation(openedIn)
        {
        }

        void reset()
        {
            boost::system::error_code ignored;
            for (asio::ip::tcp::socket* socket : { &this->client, &this->server }) {
                socket->set_option(asio::socket_base::linger(true, 0), ignored);
                socket->close(ignored);
            }
        }

        asio::ip::tcp::socket client;
        asio::ip::tcp::socket server;
        unsigned generation;
    };

    // Shared by the coroutines, which can outlive the proxy. Apart from the atomic members, it belongs to the context's
    // thread.
    struct State {
        State(asio::io_context& owner, const std::string& targetAddress)
            : context(owner)
            , acceptor(owner, { asio::ip::address_v4::loopback(), 0 })
            , address("127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()))
        {
            const std::size_t colon = targetAddress.rfind(':');
            this->target = { asio::ip::make_address(targetAddress.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(targetAddress.substr(colon + 1))) };
        }

        asio::io_context& context;
        asio::ip::tcp::acceptor acceptor;
        const std::string address;
        asio::ip::tcp::endpoint target;
        std::atomic<unsigned> generation = 0; // links of an earlier one are silent
        std::atomic<bool> holdsRequests = false;
        std::atomic<bool> holdsAnswers = false;
        std::atomic<bool> truncates = false;
        std::list<std::weak_ptr<Link>> links;
        std::list<std::shared_ptr<Link>> silenced;
    };

    static asio::awaitable<void> accept(std::shared_ptr<State> state)
    {
        for (boost::system::error_code error;;) {
            asio::ip::tcp::socket socket = co_await state->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            const auto link = std::make_shared<Link>(state->context, std::move(socket), state->generation);
            state->links.push_back(link);
            asio::co_spawn(state->context, serve(state, link), asio::detached);
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<State> state, std::shared_ptr<Link> link)
    {
        boost::system::error_code error;
        co_await link->server.async_connect(state->target, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return link->reset();
        asio::co_spawn(state->context, forward(state, link, Direction::ToTarget), asio::detached);
        asio::co_spawn(state->context, forward(state, link, Direction::ToClient), asio::detached);
    }

    enum class Direction : std::uint8_t { ToTarget,
        ToClient };

    static asio::awaitable<void> forward(std::shared_ptr<State> state, std::shared_ptr<Link> link, Direction direction)
    {
        const bool isAnswer = direction == Direction::ToClient;
        asio::ip::tcp::socket& from = isAnswer ? link->server : link->client;
        asio::ip::tcp::socket& to = isAnswer ? link->client : link->server;
        const std::atomic<bool>& isHeld = isAnswer ? state->holdsAnswers : state->holdsRequests;
        const auto isSilent = [&] { return link->generation != state->generation; };
        std::array<char, 65536> chunk;
        boost::system::error_code error;
        asio::steady_timer pause(state->context);
        while (!error) {
            const std::size_t count = co_await from.async_read_some(asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
            while (isHeld && !isSilent()) {
                pause.expires_after(std::chrono::milliseconds(5));
                co_await pause.async_wait(asio::use_awaitable);
            }
            if (isSilent()) {
                if (error)
                    state->silenced.push_back(link); // the other end must not notice the close
                continue;
            }
            const bool isTruncated = isAnswer && state->truncates && count > 0;
            if (count > 0)
                co_await asio::async_write(to, asio::buffer(chunk, isTruncated ? std::min(count, keptAnswerBytes) : count), asio::redirect_error(asio::use_awaitable, error));
            if (isTruncated)
                co_return link->reset();
        }
        boost::system::error_code ignored;
        if (!isSilent())
            to.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }

    std::shared_ptr<State> state;
};

}
