#pragma once

#include "platform_fixture.h"
#include "process.h"

namespace cranberryshed::test {

struct VmProcessOptions {
    std::string name;
    std::string peerAddress; // "IP:port"
    std::vector<std::string> peers; // addresses of the VMs to join through
    std::vector<std::string> domains { "north-1" }; // failure domains of the region
    std::string storeAddress {}; // empty: that of the fixture's store
    std::string logLevel = "info"; // with "error", decisions are not logged either
    std::string logFile {}; // to which the log is appended; empty: it is read by logUntil()
    double retryShare = 0.2; // extra attempts per request, over all VMs
    double retrySlack = 50; // further extra attempts per window, over all VMs
    std::chrono::milliseconds changesWithin = std::chrono::seconds(2); // bound of configurations and leaving servers
};

// An entry VM with the platform's setup, as a process. It keeps its addresses when it is restarted.
class VmProcess {
public:
    VmProcess(PlatformFixture& fixture, const VmProcessOptions& options)
        : callers(fixture.freeAddress())
        , readiness(fixture.freeAddress())
        , admin(fixture.freeAddress())
        , settings(this->settingsText(fixture, options))
        , logFile(options.logFile)
    {
        this->start();
    }

    void start() { this->process = std::make_unique<Process>(std::vector<std::string> { "serve", "--settings", this->settings.path() }, this->logFile); }

    // Kills the process and starts another one.
    void restart()
    {
        this->process.reset();
        this->start();
    }

    // Whether the process listens and has a configuration.
    bool isReady() const
    {
        try {
            return PlatformFixture::isReady({ .callers = this->callers, .lookups = {}, .readiness = this->readiness });
        } catch (const boost::system::system_error&) {
            return false;
        }
    }

    void signal(int number) const { this->process->signal(number); }

    // The output of the present process until it contains `text`, for at most about `seconds`.
    std::string logUntil(const std::string& text, int seconds = 10) { return this->process->readUntil(text, seconds); }

    const std::string callers;
    const std::string readiness;
    const std::string admin;

private:
    std::string settingsText(PlatformFixture& fixture, const VmProcessOptions& options) const
    {
        namespace json = boost::json;
        json::array domains;
        for (const std::string& domain : options.domains)
            domains.push_back(json::object { { "name", domain }, { "region", "north" } });
        const std::string within = std::to_string(options.changesWithin.count()) + "ms";
        return json::serialize(json::object {
            { "name", options.name },
            { "failureDomain", "north-1" },
            { "callerAddress", this->callers },
            { "lookupAddress", fixture.freeAddress() },
            { "readinessAddress", this->readiness },
            { "adminAddress", this->admin },
            { "peerAddress", options.peerAddress },
            { "storeAddress", options.storeAddress.empty() ? fixture.store.endpoint() : options.storeAddress },
            { "peers", json::array(options.peers.begin(), options.peers.end()) },
            { "domains", std::move(domains) },
            { "log", json::object { { "level", options.logLevel }, { "format", "json" } } },
            { "retries", json::object { { "share", options.retryShare }, { "slack", options.retrySlack } } },
            { "changes", json::object { { "leavingWithin", within }, { "configurationWithin", within } } },
        });
    }

    TemporaryFile settings;
    std::string logFile;
    std::unique_ptr<Process> process;
};

}
