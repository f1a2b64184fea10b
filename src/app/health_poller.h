#pragma once

#include "control/pipeline_types.h"
#include "wire/asio.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cranberryshed::app {

// Asks the health endpoints of some backend servers at an interval, each on a connection of its own.
// Runs on the control thread.
class HealthPoller {
public:
    struct Options {
        core::Duration interval = std::chrono::seconds(1);
        core::Duration timeout = std::chrono::seconds(1);
        std::string path = "/health";
    };

    using ReportCallback = std::function<void(control::HealthReport)>;

    HealthPoller(wire::asio::io_context&, Options, ReportCallback);
    ~HealthPoller();
    HealthPoller(const HealthPoller&) = delete;
    HealthPoller& operator=(const HealthPoller&) = delete;

    // Polls exactly these servers from now on: name to "IP:port".
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
