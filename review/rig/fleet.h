#pragma once

// Starts entry VMs as separate processes, with the command of the deploy file and its template's settings.

#include "record.h"
#include "store.h"

#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace rig {

struct EntryVm {
    std::string name;
    std::string ip;
    int port = 0; // for clients
    int readyPort = 0;
    pid_t process = -1;
};

struct Bounds {
    std::string drain = "2500ms";
    std::string configApply = "2500ms";
    std::string grace = "6s";
};

class Fleet {
public:
    Fleet(const Store& store, std::size_t count, Bounds fleetBounds, Record& journal)
        : bounds(std::move(fleetBounds))
        , record(journal)
        , folder(std::filesystem::temp_directory_path() / ("review-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(this->folder);
        const int base = freePortBase(count);
        std::string seeds;
        for (std::size_t i = 0; i < count; ++i)
            seeds += (seeds.empty() ? "" : ", ") + quoted("127.0.0." + std::to_string(2 + i) + ":" + std::to_string(base + 4));
        for (std::size_t i = 0; i < count; ++i)
            this->start(i, base, seeds, store.address());
    }

    ~Fleet()
    {
        for (EntryVm& vm : this->vms)
            this->kill(vm);
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }

    // Waits until all VMs say that they are ready. Returns false after 20 s.
    bool waitUntilReady() const
    {
        for (const EntryVm& vm : this->vms) {
            const Clock::time_point deadline = Clock::now() + std::chrono::seconds(20);
            while (!isReady(vm)) {
                if (Clock::now() > deadline)
                    return false;
                std::this_thread::sleep_for(Ms(50));
            }
        }
        std::this_thread::sleep_for(std::chrono::seconds(4)); // the VMs find one another and the upstreams
        return true;
    }

    static bool isReady(const EntryVm& vm)
    {
        Connection connection;
        if (!connection.open(vm.ip, vm.readyPort) || !connection.write("GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
            return false;
        return connection.read(true, Clock::now() + Ms(1000)).status() == 200;
    }

    void signal(const EntryVm& vm, int number, const std::string& name) const
    {
        this->record.line("operator sends " + name + " to " + vm.name);
        ::kill(vm.process, number);
    }

    // Whether the process has ended; reaps it.
    bool hasEnded(EntryVm& vm) const
    {
        int status = 0;
        if (vm.process < 0)
            return true;
        if (::waitpid(vm.process, &status, WNOHANG) != vm.process)
            return false;
        this->record.line(vm.name + " has ended, " + (WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status)) : "with exit code " + std::to_string(WEXITSTATUS(status))));
        vm.process = -1;
        return true;
    }

    std::vector<EntryVm> vms;

private:
    static std::string quoted(const std::string& text) { return '"' + text + '"'; }

    // The first of 16 ports that are free on the addresses of all VMs.
    static int freePortBase(std::size_t count)
    {
        for (int base = 21000 + ::getpid() % 500 * 16;; base = base > 48000 ? 21000 : base + 16) {
            bool free = true;
            for (std::size_t i = 0; free && i < count; ++i) {
                for (int port = base; free && port < base + 8; ++port) {
                    const int fd = listenOn("127.0.0." + std::to_string(2 + i), port);
                    free = fd >= 0;
                    ::close(fd);
                }
            }
            if (free)
                return base;
        }
    }

    void start(std::size_t index, int base, const std::string& seeds, const std::string& storeAddress)
    {
        EntryVm vm { .name = "front-" + std::to_string(index + 1), .ip = "127.0.0." + std::to_string(2 + index), .port = base + 2, .readyPort = base + 3 };
        const auto at = [&](int port) { return quoted(vm.ip + ":" + std::to_string(port)); };
        const std::filesystem::path settings = this->folder / (vm.name + ".json");
        std::ofstream(settings) << "{\n  \"name\": " << quoted(vm.name) << ",\n  \"failureDomain\": " << quoted(index % 2 == 0 ? "jyl-a" : "jyl-b")
                                << ",\n  \"callerAddress\": " << at(base + 2) << ",\n  \"lookupAddress\": " << at(base + 5) << ",\n  \"readinessAddress\": " << at(base + 3)
                                << ",\n  \"adminAddress\": " << at(base + 1) << ",\n  \"peerAddress\": " << at(base) << ",\n  \"peers\": [" << seeds << "],\n  \"peerPort\": " << base
                                << ",\n  \"storeAddress\": " << quoted(storeAddress) << ",\n  \"domains\": [ { \"name\": \"jyl-a\", \"region\": \"jyl\" }, { \"name\": \"jyl-b\", \"region\": \"jyl\" } ],\n"
                                << "  \"retries\": { \"share\": 0.2, \"slack\": 56 },\n  \"changes\": { \"leavingWithin\": " << quoted(this->bounds.drain) << ", \"configurationWithin\": " << quoted(this->bounds.configApply)
                                << " },\n  \"shutdown\": { \"within\": " << quoted(this->bounds.grace) << " },\n  \"log\": { \"format\": \"json\" }\n}\n";
        const std::string log = (this->folder / (vm.name + ".log")).string();
        const std::string variable = "CRANBERRYSHED_SETTINGS=" + settings.string();
        vm.process = ::fork();
        if (vm.process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this program, however that ends
            const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            const char* arguments[] = { "target/cranberryshed", "serve", nullptr };
            const char* environment[] = { variable.c_str(), "PATH=/usr/bin:/bin", "LANG=C", nullptr };
            ::execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
            ::_exit(127);
        }
        this->vms.push_back(vm);
    }

    static void kill(EntryVm& vm)
    {
        if (vm.process < 0)
            return;
        ::kill(vm.process, SIGKILL);
        ::waitpid(vm.process, nullptr, 0);
        vm.process = -1;
    }

    Bounds bounds;
    Record& record;
    std::filesystem::path folder;
};

}
