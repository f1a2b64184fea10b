#include "wire/session.h"

#include "wire/session_impl.h"

namespace cranberryshed::wire {

void serveNativeCaller(Worker& worker, Socket socket, const asio::ip::address& caller)
{
    serveConnection<NativeDialect>(worker, std::move(socket), caller);
}

Task<void> refuseConnection(Socket socket)
{
    Stream stream(std::move(socket));
    TextResponse response = errorResponse(core::ErrorKind::TooManyConnections);
    response.keep_alive(false);
    response.prepare_payload();
    stream.expires_after(refusalTimeout);
    co_await http::async_write(stream, response, useResult);
    error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

}
