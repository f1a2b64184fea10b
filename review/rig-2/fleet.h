#pragma once

// The entry VMs of a small deployment, as separate processes with the command of the deploy file.

#include "net.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <vector>

namespace review {

// The case couldn't run.
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// A temporary folder that is removed at the end.
class Folder {
public:
    Folder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (!::mkdtemp(pattern.data()))
            throw CannotRun("no temporary folder");
        this->path = pattern;
    }
    ~Folder() { std::filesystem::remove_all(this->path); }

    std::filesystem::path path;
};

// The words of the line `run` of the deploy file.
inline std::vector<std::string> deployedCommand()
{
    std::ifstream file("deploy/system.toml");
    const std::string key = "run = \"";
    for (std::string line; std::getline(file, line);) {
        if (!line.starts_with(key))
            continue;
        std::istringstream text(line.substr(key.size(), line.rfind('"') - key.size()));
        std::vector<std::string> words;
        for (std::string word; text >> word;)
            words.push_back(word);
        return words;
    }
    throw CannotRun("deploy/system.toml has no command");
}

// The bounds that the settings state.
struct Bounds {
    std::chrono::milliseconds drain { 2000 };
    std::chrono::milliseconds configuration { 2000 };
    double retryRatio = 0.2;
    unsigned retrySlack = 58;
};

class EntryVm {
public:
    EntryVm(const Folder& folder, unsigned index, unsigned count, std::uint16_t firstPort, const Address& store, const std::vector<std::pair<std::string, std::string>>& zones, const Bounds& bounds)
        : name("front-" + zones[index % zones.size()].first + "-" + std::to_string(index + 1))
        , ip(ipOf(index))
        , frontend { .ip = this->ip, .port = firstPort }
        , ready { .ip = this->ip, .port = static_cast<std::uint16_t>(firstPort + 1) }
        , settingsPath((folder.path / (this->name + ".json")).string())
        , logPath((folder.path / (this->name + ".log")).string())
    {
        const auto at = [&](int offset) { return this->ip + ":" + std::to_string(firstPort + offset); };
        std::string seeds;
        for (unsigned i = 0; i < std::min(count, 3U); ++i)
            seeds += (i > 0 ? "," : "") + std::string("\"") + ipOf(i) + ":" + std::to_string(firstPort + 5) + "\"";
        std::string domains;
        for (const auto& [zone, region] : zones)
            domains += (domains.empty() ? "" : ",") + std::string(R"({"name":")") + zone + R"(","region":")" + region + R"("})";
        std::ofstream(this->settingsPath) << R"({"name":")" << this->name << R"(","failureDomain":")" << zones[index % zones.size()].first
                                          << R"(","callerAddress":")" << at(0) << R"(","readinessAddress":")" << at(1) << R"(","lookupAddress":")" << at(2)
                                          << R"(","adminAddress":")" << at(3) << R"(","peerAddress":")" << at(4) << R"(","peers":[)" << seeds << R"(],"peerPort":)" << firstPort + 4
                                          << R"(,"storeAddress":")" << store.text() << R"(","domains":[)" << domains << R"(],"retries":{"share":)" << bounds.retryRatio << R"(,"slack":)" << bounds.retrySlack
                                          << R"(},"changes":{"leavingWithin":")" << bounds.drain.count() << R"(ms","configurationWithin":")" << bounds.configuration.count()
                                          << R"(ms"},"shutdown":{"within":"6s"},"log":{"format":"json"}})";
    }

    ~EntryVm()
    {
        if (this->process <= 0 || ::waitpid(this->process, nullptr, WNOHANG) != 0)
            return; // not started, or ended and its id given back
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
    }

    void start()
    {
        const std::vector<std::string> words = deployedCommand();
        const std::string settings = "CRANBERRYSHED_SETTINGS=" + this->settingsPath;
        const std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin:/bin");
        std::vector<char*> arguments;
        for (const std::string& word : words)
            arguments.push_back(const_cast<char*>(word.c_str()));
        arguments.push_back(nullptr);
        char* environment[] = { const_cast<char*>(settings.c_str()), const_cast<char*>(path.c_str()), nullptr };
        const int log = ::open(this->logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        const pid_t parent = ::getpid();
        this->process = ::fork();
        if (this->process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // so that it ends with this program, however that ends
            if (::getppid() != parent)
                ::_exit(127);
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            ::execve(arguments[0], arguments.data(), environment);
            ::_exit(127);
        }
        ::close(log);
    }

    void signal(int number) const { ::kill(this->process, number); }

    bool isRunning() const { return ::waitpid(this->process, nullptr, WNOHANG) == 0; }

    bool isReady() const
    {
        Connection connection = Connection::open(this->ready);
        if (!connection.isOpen() || !connection.write("GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"))
            return false;
        const std::optional<Head> head = connection.readHead(Clock::now() + 1s);
        return head && head->status() == 200;
    }

    const std::string name;
    const std::string ip;
    const Address frontend;
    const Address ready;

private:
    static std::string ipOf(unsigned index) { return "127.0.1." + std::to_string(index + 1); }

    const std::string settingsPath;
    const std::string logPath;
    pid_t process = 0;
};

class Fleet {
public:
    Fleet(unsigned count, const Address& store, const std::vector<std::pair<std::string, std::string>>& zones, const Bounds& bounds)
    {
        const std::uint16_t firstPort = freePorts("127.0.1.1", 6);
        for (unsigned i = 0; i < count; ++i)
            this->vms.push_back(std::make_unique<EntryVm>(this->folder, i, count, firstPort, store, zones, bounds));
        for (const auto& vm : this->vms)
            vm->start();
    }

    void waitUntilReady() const
    {
        const Time end = Clock::now() + 15s;
        for (const auto& vm : this->vms) {
            while (!vm->isReady()) {
                if (Clock::now() > end || !vm->isRunning())
                    throw CannotRun(vm->name + " doesn't become ready");
                std::this_thread::sleep_for(50ms);
            }
        }
    }

    EntryVm& at(std::size_t index) { return *this->vms[index % this->vms.size()]; }
    std::size_t size() const { return this->vms.size(); }
    // Throws if a process has ended.
    void requireRunning() const
    {
        for (const auto& vm : this->vms) {
            if (!vm->isRunning())
                throw CannotRun(vm->name + " has ended");
        }
    }

private:
    Folder folder;
    std::vector<std::unique_ptr<EntryVm>> vms;
};

}
