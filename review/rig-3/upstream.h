#pragma once

// A stand-in of an upstream: takes requests on its own port, runs them one at a time on a connection, and notes when each
// arrived and whether it ran.

#include "record.h"
#include "store.h"

#include <atomic>
#include <functional>
#include <memory>

namespace rig {

struct Arrival {
    std::string request;
    std::string method;
    Time at {};
    bool hasRun = false; // the upstream began to work on it
    bool isAnswered = false; // the whole answer was written
    std::string end {}; // how it ended, if not with an answer
};

struct UpstreamOptions {
    std::string id;
    std::string service;
    std::string zone;
    milliseconds work { 100 };
    int longEvery = 0; // one request in so many takes longer; 0: none
    int longFactor = 4; // how many times as long
    int slots = 3;
    int queue = 9; // requests that wait for a slot
    int receiveBufferBytes = 0; // of each connection; 0: the system's choice
    // Reads the rest of a body only at the end of its work, not at the beginning.
    bool readsBodyLate = false;
};

class Upstream {
public:
    Upstream(Store& owner, UpstreamOptions upstreamOptions)
        : store(owner)
        , options(std::move(upstreamOptions))
        , listener(listenOnFreePort())
        , port(portOf(this->listener))
    {
        if (this->options.receiveBufferBytes > 0)
            ::setsockopt(this->listener.descriptor(), SOL_SOCKET, SO_RCVBUF, &this->options.receiveBufferBytes, sizeof(int));
        std::thread([this] { this->acceptForever(); }).detach();
    }

    const std::string& id() const { return this->options.id; }

    // Writes its entry into the store.
    Time registerAs(const std::string& state)
    {
        ++this->sequence;
        const std::string status = R"({"state":")" + state + R"(","sequence":)" + std::to_string(this->sequence) + R"(,"cold_left":"0ms"})";
        return this->store.put("servers", this->options.id,
            R"({"address":")" + addressText(this->port) + R"(","info":{"service":")" + this->options.service + R"(","version":"v1","zone":")" + this->options.zone
                + R"(","slots":)" + std::to_string(this->options.slots) + R"(},"status":)" + status + R"(,"born":)" + std::to_string(this->born) + "}");
    }

    Time removeEntry() { return this->store.remove("servers", this->options.id); }

    // From now on, its answers say that it leaves.
    void leave() { this->isLeaving = true; }

    // Ends it: closes the listening socket and all connections.
    void end()
    {
        this->isEnded = true;
        ::shutdown(this->listener.descriptor(), SHUT_RDWR);
        const std::scoped_lock lock(this->mutex);
        for (const int connection : this->connections)
            ::shutdown(connection, SHUT_RDWR);
    }

    std::vector<Arrival> arrivals()
    {
        const std::scoped_lock lock(this->mutex);
        return this->noted;
    }

private:
    void acceptForever()
    {
        while (!this->isEnded) {
            const int accepted = ::accept4(this->listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted >= 0)
                std::thread([this, accepted] { this->serve(Socket(accepted)); }).detach();
        }
        this->listener.close();
    }

    void serve(Socket socket)
    {
        {
            const std::scoped_lock lock(this->mutex);
            this->connections.push_back(socket.descriptor());
        }
        std::string buffer;
        while (!this->isEnded && this->serveRequest(socket, buffer)) { }
        const std::scoped_lock lock(this->mutex);
        std::erase(this->connections, socket.descriptor());
        socket.close();
    }

    // Returns whether the connection can carry another request.
    bool serveRequest(Socket& socket, std::string& buffer)
    {
        const Time end = Clock::now() + std::chrono::minutes(5);
        Message request;
        if (readHead(socket, buffer, request, end) != ReadResult::Complete)
            return false;
        const std::string id = request.field("request-id");
        const std::size_t index = this->note({ .request = id, .method = request.firstLine.substr(0, request.firstLine.find(' ')), .at = Clock::now() });
        const bool isOther = !request.field("expect-instance").empty() && request.field("expect-instance") != this->options.id;
        const bool isFull = !isOther && !this->takePlace();
        if (!isOther && !isFull) {
            this->waitForSlot();
            this->update(index, [](Arrival& arrival) { arrival.hasRun = true; });
            if (this->options.readsBodyLate)
                std::this_thread::sleep_for(this->workOf(id));
        }
        const ReadResult result = readBody(socket, buffer, request, end);
        if (!isOther && !isFull) {
            if (!this->options.readsBodyLate && result == ReadResult::Complete)
                std::this_thread::sleep_for(this->workOf(id));
            this->releaseSlot();
        }
        if (result != ReadResult::Complete) {
            this->update(index, [](Arrival& arrival) { arrival.end = "the connection ended before the whole body"; });
            return false;
        }
        const bool isWritten = !this->isEnded && socket.write(this->answerTo(id, isOther, isFull, request.body.size()));
        this->update(index, [&](Arrival& arrival) {
            arrival.isAnswered = isWritten;
            arrival.end = isWritten ? "" : "the upstream ended";
        });
        return isWritten;
    }

    // Which requests take longer follows from the number at the end of their id.
    milliseconds workOf(const std::string& id) const
    {
        const std::size_t digits = id.find_last_not_of("0123456789") + 1;
        const bool isLong = this->options.longEvery > 0 && digits < id.size() && std::stoi(id.substr(digits)) % this->options.longEvery == 0;
        return isLong ? this->options.work * this->options.longFactor : this->options.work;
    }

    std::string answerTo(const std::string& id, bool isOther, bool isFull, std::size_t bodyBytes) const
    {
        const std::string common = "Request-Id: " + id + "\r\nInstance-Id: " + this->options.id + (this->isLeaving ? "\r\nServer-Leaving: 1\r\n" : "\r\n");
        if (isOther)
            return "HTTP/1.1 421 Misdirected Request\r\n" + common + "Content-Length: 0\r\n\r\n";
        if (isFull)
            return "HTTP/1.1 503 Service Unavailable\r\n" + common + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        const std::string body = "run " + id + " with " + std::to_string(bodyBytes) + " bytes";
        return "HTTP/1.1 200 OK\r\n" + common + "Server-Stamp: " + this->options.id + "." + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::size_t note(Arrival arrival)
    {
        const std::scoped_lock lock(this->mutex);
        this->noted.push_back(std::move(arrival));
        return this->noted.size() - 1;
    }

    void update(std::size_t index, const std::function<void(Arrival&)>& change)
    {
        const std::scoped_lock lock(this->mutex);
        change(this->noted[index]);
    }

    bool takePlace()
    {
        const std::scoped_lock lock(this->slotMutex);
        if (this->present >= this->options.slots + this->options.queue)
            return false;
        ++this->present;
        return true;
    }

    void waitForSlot()
    {
        std::unique_lock lock(this->slotMutex);
        this->slotFreed.wait(lock, [this] { return this->running < this->options.slots; });
        ++this->running;
    }

    void releaseSlot()
    {
        const std::scoped_lock lock(this->slotMutex);
        --this->running;
        --this->present;
        this->slotFreed.notify_one();
    }

    Store& store;
    UpstreamOptions options;
    Socket listener;
    const std::uint16_t port;
    const std::int64_t born = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::atomic<bool> isLeaving = false;
    std::atomic<bool> isEnded = false;
    int sequence = 0;
    std::mutex mutex;
    std::vector<Arrival> noted;
    std::vector<int> connections;
    std::mutex slotMutex;
    std::condition_variable slotFreed;
    int running = 0;
    int present = 0;
};

}
