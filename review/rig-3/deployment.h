#pragma once

// The entry VMs of a case: processes of the deployed program with the settings of a small deployment.

#include "record.h"
#include "store.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <spawn.h>
#include <sys/wait.h>

namespace rig {

// The bounds that the settings of a deployment state.
struct Bounds {
    std::string drain = "2000ms";
    std::string configApply = "2000ms";
    std::string grace = "6s";
    double retryShare = 0.2;
    int retrySlack = 58;
};

struct Zone {
    std::string name;
    std::string region;
};

// The ports of one entry VM, all on the loopback address.
struct VmAddresses {
    std::uint16_t callers = freePort();
    std::uint16_t lookups = freePort();
    std::uint16_t readiness = freePort();
    std::uint16_t admin = freePort();
    std::uint16_t peers = freePort();
};

// One entry VM. Ends its process in the destructor.
class Vm {
public:
    Vm(std::string vmName, std::string vmZone, const VmAddresses& vmAddresses)
        : name(std::move(vmName))
        , zone(std::move(vmZone))
        , addresses(vmAddresses)
    {
    }
    Vm(Vm&&) = delete;
    ~Vm() { this->signal(SIGKILL); }

    void start(const std::filesystem::path& folder, const std::string& settings)
    {
        const std::string path = folder / (this->name + ".json");
        std::ofstream(path) << settings;
        const std::string log = folder / (this->name + ".log");
        const std::string variable = "CRANBERRYSHED_SETTINGS=" + path;
        const std::string searchPath = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
        char* const environment[] = { const_cast<char*>(variable.c_str()), const_cast<char*>(searchPath.c_str()), nullptr };
        char* const arguments[] = { const_cast<char*>("target/cranberryshed"), const_cast<char*>("serve"), nullptr };
        posix_spawn_file_actions_t actions;
        ::posix_spawn_file_actions_init(&actions);
        ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        if (::posix_spawn(&this->process, arguments[0], &actions, nullptr, arguments, environment) != 0)
            throw std::runtime_error("cannot start target/cranberryshed");
        ::posix_spawn_file_actions_destroy(&actions);
    }

    void signal(int number)
    {
        if (this->process <= 0)
            return;
        ::kill(this->process, number);
        if (number == SIGKILL) {
            ::waitpid(this->process, nullptr, 0);
            this->process = 0;
        }
    }

    // Whether the process has ended, and its exit code, or 128 plus the signal that ended it.
    std::optional<int> ended()
    {
        int status = 0;
        if (this->process <= 0 || ::waitpid(this->process, &status, WNOHANG) != this->process)
            return std::nullopt;
        this->process = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }

    bool isReady() const
    {
        const Socket socket = connectTo(this->addresses.readiness);
        std::string buffer;
        Message answer;
        return socket.isOpen() && socket.write("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            && readMessage(socket, buffer, answer, Clock::now() + std::chrono::seconds(1)) == ReadResult::Complete && answer.secondWord() == "200";
    }

    const std::string name;
    const std::string zone;
    const VmAddresses addresses;

private:
    pid_t process = 0;
};

class Deployment {
public:
    Deployment(Store& platformStore, std::vector<Zone> allZones, Bounds allBounds)
        : store(platformStore)
        , zones(std::move(allZones))
        , bounds(std::move(allBounds))
    {
        char name[] = "/tmp/cranberryshed-review-XXXXXX";
        if (!::mkdtemp(name))
            throw std::runtime_error("cannot make a temporary folder");
        this->folder = name;
    }
    ~Deployment()
    {
        this->vms.clear();
        std::error_code ignored;
        if (!std::getenv("KEEP_LOGS"))
            std::filesystem::remove_all(this->folder, ignored);
    }

    Vm& add(const std::string& name, const std::string& zone, const VmAddresses& addresses = {}) { return *this->vms.emplace_back(std::make_unique<Vm>(name, zone, addresses)); }

    void start(Vm& vm) { vm.start(this->folder, this->settingsOf(vm)); }

    // Starts all of them and waits until they are ready. Returns whether they are.
    bool startAll(milliseconds limit = std::chrono::seconds(15))
    {
        for (const auto& vm : this->vms)
            this->start(*vm);
        const Time end = Clock::now() + limit;
        for (const auto& vm : this->vms) {
            while (!vm->isReady()) {
                if (Clock::now() > end)
                    return false;
                std::this_thread::sleep_for(milliseconds(50));
            }
        }
        return true;
    }

    std::vector<std::unique_ptr<Vm>> vms;
    std::filesystem::path folder;
    std::string extraSeed; // another address that each VM is given as a seed; empty: none

private:
    // As deploy/settings.json states it. All VMs have the same address here, so the seeds state their ports for peers.
    std::string settingsOf(const Vm& vm) const
    {
        std::string peers;
        for (std::size_t i = 0; i < std::min<std::size_t>(3, this->vms.size()); ++i)
            peers += (i == 0 ? "\"" : ",\"") + addressText(this->vms[i]->addresses.peers) + "\"";
        if (!this->extraSeed.empty())
            peers += ",\"" + this->extraSeed + "\"";
        std::string domains;
        for (const Zone& zone : this->zones)
            domains += (domains.empty() ? "" : ",") + (R"({"name":")" + zone.name + R"(","region":")" + zone.region + "\"}");
        const VmAddresses& own = vm.addresses;
        return R"({"name":")" + vm.name + R"(","failureDomain":")" + vm.zone + R"(","callerAddress":")" + addressText(own.callers) + R"(","lookupAddress":")" + addressText(own.lookups)
            + R"(","readinessAddress":")" + addressText(own.readiness) + R"(","adminAddress":")" + addressText(own.admin) + R"(","peerAddress":")" + addressText(own.peers)
            + R"(","peers":[)" + peers + R"(],"storeAddress":")" + addressText(this->store.port()) + R"(","domains":[)" + domains + R"(],"retries":{"share":)"
            + std::to_string(this->bounds.retryShare) + R"(,"slack":)" + std::to_string(this->bounds.retrySlack) + R"(},"changes":{"leavingWithin":")" + this->bounds.drain
            + R"(","configurationWithin":")" + this->bounds.configApply + R"("},"shutdown":{"within":")" + this->bounds.grace + R"("},"log":{"format":"json"}})";
    }

    Store& store;
    std::vector<Zone> zones;
    Bounds bounds;
};

}
