#pragma once

#include "wire/asio.h"

namespace cranberryshed::wire {

class Worker;

// Serves the requests of one caller connection until either side closes it.
void serveConnection(Worker&, Socket);

}
