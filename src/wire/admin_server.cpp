#include "wire/admin_server.h"

#include "wire/header.h"
#include "wire/log.h"

namespace cranberryshed::wire {

namespace {

    constexpr std::uint32_t maxHeaderBytes = 8 * 1024;
    constexpr std::chrono::milliseconds acceptRetryDelay(100); // after an error of accept()
    constexpr std::chrono::seconds ioTimeout(10); // for reading a request and for writing an answer

}

struct AdminServer::State {
    explicit State(asio::io_context& owner)
        : context(owner)
        , acceptor(owner.get_executor())
    {
    }

    asio::io_context& context;
    Acceptor acceptor;
    std::map<std::string, Page> pages;
};

AdminServer::AdminServer(asio::io_context& context, const tcp::endpoint& endpoint)
    : state(std::make_shared<State>(context))
{
    this->state->acceptor.open(endpoint.protocol());
    this->state->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->state->acceptor.bind(endpoint);
    this->state->acceptor.listen();
    asio::co_spawn(context, acceptConnections(this->state), asio::detached);
}

void AdminServer::addPage(const std::string& path, Page page)
{
    this->state->pages.emplace(path, std::move(page));
}

tcp::endpoint AdminServer::endpoint() const
{
    return this->state->acceptor.local_endpoint();
}

void AdminServer::stop()
{
    error_code ignored;
    this->state->acceptor.close(ignored);
}

Task<void> AdminServer::acceptConnections(std::shared_ptr<State> state)
{
    for (;;) {
        Socket socket(state->context.get_executor());
        auto [error] = co_await state->acceptor.async_accept(socket, useResult);
        if (error == asio::error::operation_aborted || !state->acceptor.is_open())
            co_return;
        if (error) {
            log(core::LogComponent::Wire, spdlog::level::warn, "cannot accept a connection to the admin pages: {}", error.message());
            Timer timer(state->context.get_executor());
            timer.expires_after(acceptRetryDelay);
            co_await timer.async_wait(useResult);
            continue;
        }
        asio::co_spawn(state->context, serve(state, std::make_shared<Stream>(std::move(socket))), asio::detached);
    }
}

Task<void> AdminServer::serve(std::shared_ptr<State> state, std::shared_ptr<Stream> stream)
{
    beast::flat_buffer buffer;
    for (bool keepAlive = true; keepAlive;) {
        http::request_parser<http::empty_body> parser;
        parser.header_limit(maxHeaderBytes);
        stream->expires_after(ioTimeout);
        auto [readError, readCount] = co_await http::async_read(*stream, buffer, parser, useResult);
        if (readError)
            co_return;
        const std::string target(parser.get().target());
        const auto found = state->pages.find(target.substr(0, target.find('?')));
        TextResponse response = errorResponse(core::ErrorKind::NotFound);
        if (found != state->pages.end() && parser.get().method() == http::verb::get)
            response = co_await found->second();
        response.keep_alive(parser.keep_alive());
        response.prepare_payload();
        stream->expires_after(ioTimeout);
        auto [writeError, writeCount] = co_await http::async_write(*stream, response, useResult);
        keepAlive = !writeError && parser.keep_alive();
    }
}

}
