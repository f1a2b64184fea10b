#pragma once

#include "wire/asio.h"

namespace cranberryshed::wire {

class Worker;

// Serves one caller connection in cranberryshed's own dialect.
void serveNativeCaller(Worker&, Socket, const asio::ip::address& caller);

// Answers TooManyConnections and closes the connection.
Task<void> refuseConnection(Socket);

}
