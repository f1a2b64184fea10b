#pragma once

#include "wire/asio.h"

namespace cranberryshed::wire {

class Worker;

// Serves one caller connection in cranberryshed's native dialect.
void serveNativeCaller(Worker&, Socket, const asio::ip::address& caller);

// Answers TooManyConnections and closes the connection. Gives up if the caller doesn't take the answer within one
// second.
Task<void> refuseConnection(Socket);

}
