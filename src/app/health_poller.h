#pragma once

#include "control/pipeline_types.h"
#include "wire/asio.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cranberryshed::app {

// Polls the health endpoints of some backend servers, each over its own connection, and reports every result: a server
// that does not answer within the timeout is reported as unhealthy. Runs on the control thread.
class HealthPoller {
public:
    struct Options {
        core::Duration interval = std::chrono::seconds(1); // from the end of one poll to the start of the next
        core::Duration timeout = std::chrono::seconds(1); // of one poll, including the connection's setup
        std::string path = "/health";
    };

    using ReportCallback = std::function<void(control::HealthReport)>;

    HealthPoller(wire::asio::io_context&, Options, ReportCallback);
    ~HealthPoller();
    HealthPoller(const HealthPoller&) = delete;
    HealthPoller& operator=(const HealthPoller&) = delete;

    // Replaces the set of servers to poll: "IP:port" by name.
    void setServers(const std::map<std::string, std::string>&);

private:
    struct PolledServer;

    wire::Task<void> poll(std::shared_ptr<PolledServer>);

    wire::asio::io_context& context;
    Options options;
    ReportCallback onReport;
    std::map<std::string, std::shared_ptr<PolledServer>> polledServers;
};

}
