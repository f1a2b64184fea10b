#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <map>
#include <string>
#include <thread>

namespace cranberryshed::test {

// A backend server that answers with fixed bytes. The answer is looked up by method and target, such as "GET /stock/1";
// without one, the server sends an empty 200. It answers one request after the other and ignores request bodies.
class RawServer {
public:
    struct Answer {
        std::string bytes;
        bool closeAfter = false; // the end of the connection marks the end of the answer
        std::string endless {}; // sent after `bytes` again and again, until the other side closes the connection
        std::chrono::milliseconds endlessInterval {}; // between two pieces of `endless`
        bool resetAfter = false; // the connection is reset once the bytes have had time to arrive
        std::chrono::milliseconds resetDelay { 5 };
    };

    explicit RawServer(std::map<std::string, Answer> fixedAnswers)
        : answers(std::move(fixedAnswers))
        , acceptor(this->context, { boost::asio::ip::address_v4::loopback(), 0 })
    {
        boost::asio::co_spawn(this->context, this->accept(), boost::asio::detached);
        this->thread = std::thread([this] { this->context.run(); });
    }

    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    ~RawServer()
    {
        this->context.stop();
        this->thread.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()); }

private:
    using Socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept()
    {
        for (;;) {
            Socket socket = co_await this->acceptor.async_accept(boost::asio::use_awaitable);
            boost::asio::co_spawn(this->context, this->serve(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(Socket socket)
    {
        std::string pending;
        for (;;) {
            const std::size_t size = co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(pending), "\r\n\r\n", boost::asio::use_awaitable);
            const std::string line = pending.substr(0, pending.find(" HTTP"));
            pending.erase(0, size);
            const auto found = this->answers.find(line);
            const Answer answer = found == this->answers.end() ? Answer { .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" } : found->second;
            co_await boost::asio::async_write(socket, boost::asio::buffer(answer.bytes), boost::asio::use_awaitable);
            if (answer.closeAfter)
                co_return;
            if (answer.resetAfter)
                co_return co_await this->reset(socket, answer.resetDelay);
            if (!answer.endless.empty())
                co_await this->sendEndless(socket, answer);
        }
    }

    boost::asio::awaitable<void> reset(Socket& socket, std::chrono::milliseconds delay)
    {
        boost::asio::steady_timer timer(this->context, delay);
        co_await timer.async_wait(boost::asio::use_awaitable);
        socket.set_option(boost::asio::socket_base::linger(true, 0));
        socket.close();
    }

    // Returns, by an exception, once the other side has closed the connection.
    boost::asio::awaitable<void> sendEndless(Socket& socket, const Answer& answer)
    {
        boost::asio::steady_timer timer(this->context);
        for (;;) {
            co_await boost::asio::async_write(socket, boost::asio::buffer(answer.endless), boost::asio::use_awaitable);
            if (answer.endlessInterval == std::chrono::milliseconds::zero())
                continue;
            timer.expires_after(answer.endlessInterval);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
    }

    std::map<std::string, Answer> answers;
    boost::asio::io_context context { 1 };
    boost::asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};

}
