#pragma once

#include "wire/text_response.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cranberryshed::wire {

// A small HTTP server for operators that runs on the control thread. `GET PATH` calls the function registered for the
// path; the query is ignored. Other methods and paths are answered with NotFound.
class AdminServer {
public:
    using Page = std::function<Task<TextResponse>()>;

    // Starts to listen immediately. Throws boost::system::system_error if the address cannot be bound.
    AdminServer(asio::io_context&, const tcp::endpoint&);

    // Registers the function for a path. Call before the io_context runs.
    void addPage(const std::string& path, Page);
    tcp::endpoint endpoint() const;
    void stop();

private:
    struct State;
    static Task<void> acceptConnections(std::shared_ptr<State>);
    static Task<void> serve(std::shared_ptr<State>, std::shared_ptr<Stream>);

    std::shared_ptr<State> state;
};

}
