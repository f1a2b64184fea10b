#pragma once

#include "wire/asio.h"

namespace cranberryshed::wire {

class Worker;

// Serves the requests of one caller connection until either side closes it. The connection is counted in the
// worker's connection limit for this address and is taken out when it ends.
void serveConnection(Worker&, Socket, const asio::ip::address& caller);

// Answers TooManyConnections and closes the connection.
Task<void> refuseConnection(Socket);

}
