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
        : context(owner)
        , acceptor(owner, { asio::ip::address_v4::loopback(), 0 })
    {
        const std::size_t colon = targetAddress.rfind(':');
        this->target = { asio::ip::make_address(targetAddress.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(targetAddress.substr(colon + 1))) };
        asio::co_spawn(owner, this->accept(), asio::detached);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()); }

    // All connections that are open now pass no more bytes, in both directions, and stay open. New ones work.
    void silence() { ++this->generation; }

    // While held, bytes wait in the proxy, on open and on new connections. Without `toTarget`, only answers do.
    void hold(bool held, bool toTarget = true)
    {
        this->holdsAnswers = held;
        this->holdsRequests = held && toTarget;
    }

    // Closes all connections that are open now, with a reset.
    void reset()
    {
        asio::post(this->context, [this] {
            for (const auto& weak : this->links) {
                if (const std::shared_ptr<Link> link = weak.lock())
                    link->reset();
            }
            this->links.clear();
        });
    }

private:
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

    asio::awaitable<void> accept()
    {
        for (;;) {
            asio::ip::tcp::socket socket = co_await this->acceptor.async_accept(asio::use_awaitable);
            const auto link = std::make_shared<Link>(this->context, std::move(socket), this->generation);
            this->links.push_back(link);
            asio::co_spawn(this->context, this->serve(link), asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<Link> link)
    {
        boost::system::error_code error;
        co_await link->server.async_connect(this->target, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return link->reset();
        asio::co_spawn(this->context, this->forward(link, link->client, link->server, this->holdsRequests), asio::detached);
        asio::co_spawn(this->context, this->forward(link, link->server, link->client, this->holdsAnswers), asio::detached);
    }

    asio::awaitable<void> forward(std::shared_ptr<Link> link, asio::ip::tcp::socket& from, asio::ip::tcp::socket& to, const std::atomic<bool>& isHeld)
    {
        std::array<char, 65536> chunk;
        boost::system::error_code error;
        asio::steady_timer pause(this->context);
        while (!error) {
            const std::size_t count = co_await from.async_read_some(asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
            while (isHeld && link->generation == this->generation) {
                pause.expires_after(std::chrono::milliseconds(5));
                co_await pause.async_wait(asio::use_awaitable);
            }
            if (link->generation != this->generation) {
                if (error)
                    this->silenced.push_back(link); // the other end must not notice the close
                continue;
            }
            if (count > 0)
                co_await asio::async_write(to, asio::buffer(chunk, count), asio::redirect_error(asio::use_awaitable, error));
        }
        boost::system::error_code ignored;
        if (link->generation == this->generation)
            to.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }

    asio::io_context& context;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::endpoint target;
    std::atomic<unsigned> generation = 0; // links of an earlier one are silent
    std::atomic<bool> holdsRequests = false;
    std::atomic<bool> holdsAnswers = false;
    std::list<std::weak_ptr<Link>> links;
    std::list<std::shared_ptr<Link>> silenced;
};

}
