#pragma once

// Stand-in of a backend server, as PROTOCOL.md describes it, with hooks for the disruptions of the cases.

#include "record.h"
#include "store.h"

#include <atomic>
#include <functional>

namespace rig {

class Upstream {
public:
    struct Options {
        std::string id;
        std::string service;
        std::string zone;
        int slots = 3;
        int queue = 9;
        std::function<Ms(const Message&)> work = [](const Message&) { return Ms(50); };
        std::function<bool()> refuses = [] { return false; }; // sheds this request: 503 with Not-Executed
        std::function<bool()> fails = [] { return false; }; // runs this request and answers 500 with an empty body
        std::function<bool()> repeatsAnswer = [] { return false; }; // a second copy of this answer arrives late
    };

    Upstream(Options upstreamOptions, Store& store, Record& journal)
        : options(std::move(upstreamOptions))
        , record(journal)
        , listener(listenOn("127.0.0.1", 0))
        , born(std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count())
    {
        std::thread([this] {
            for (;;) {
                const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    return;
                std::thread([this, fd] { this->serve(fd); }).detach();
            }
        }).detach();
        std::thread([this, &store] {
            for (int sequence = 1;; ++sequence) {
                store.put("servers", this->options.id, this->entry(sequence));
                std::this_thread::sleep_for(Ms(1500));
            }
        }).detach();
    }

private:
    std::string entry(int sequence) const
    {
        const std::string start = std::to_string(this->born);
        return R"({"address":"127.0.0.1:)" + std::to_string(portOf(this->listener)) + R"(","born":)" + start + R"(,"info":{"service":")" + this->options.service + R"(","version":"v1","zone":")" + this->options.zone + R"(","slots":)" + std::to_string(this->options.slots) + R"(},"status":{"state":"ready","sequence":)" + std::to_string(sequence) + R"(,"cold_left":"0ms","born":)" + start + "}}";
    }

    std::string load() const
    {
        const int all = this->present.load();
        const int running = std::min(all, this->options.slots);
        return std::to_string(running) + "," + std::to_string(all - running) + "," + std::to_string(this->options.slots) + ",100";
    }

    std::string response(const std::string& status, const Message& request, const std::string& fields, const std::string& body) const
    {
        return "HTTP/1.1 " + status + "\r\nRequest-Id: " + request.field("Request-Id") + "\r\nServer-Load: " + this->load() + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    void serve(int fd)
    {
        Connection connection(fd);
        std::string lateCopy; // sent where the next answer is expected
        for (;;) {
            const Message request = connection.read(false, Clock::now() + std::chrono::seconds(10));
            if (!request.complete)
                return;
            if (!lateCopy.empty() && !connection.write(std::exchange(lateCopy, {})))
                return;
            const std::string answer = this->handle(request, connection);
            if (answer.empty() || !connection.write(answer))
                return;
            if (this->options.repeatsAnswer()) {
                lateCopy = answer;
                this->record.line("upstream " + this->options.id + " will repeat its answer \"" + answer.substr(9, 3) + "\" to " + request.field("Request-Id"));
            }
        }
    }

    // Returns the answer; empty if the connection was closed meanwhile.
    std::string handle(const Message& request, Connection& connection)
    {
        const std::string id = request.field("Request-Id");
        const std::string expected = request.field("Expect-Instance");
        if (!expected.empty() && expected != this->options.id)
            return this->response("421 Misdirected Request", request, "Instance-Id: " + this->options.id + "\r\n", "");
        if (id.empty())
            return this->response("400 Bad Request", request, "Not-Executed: 1\r\n", "");
        if (this->options.refuses())
            return this->response("503 Service Unavailable", request, "Not-Executed: 1\r\n", "");
        if (this->present.fetch_add(1) >= this->options.slots + this->options.queue) {
            --this->present;
            return this->response("503 Service Unavailable", request, "Not-Executed: 1\r\n", "");
        }
        std::string answer;
        if (this->takeSlot(connection))
            answer = this->run(request, connection);
        --this->present;
        return answer;
    }

    bool takeSlot(Connection& connection)
    {
        std::unique_lock lock(this->mutex);
        while (this->running >= this->options.slots) {
            this->freed.wait_for(lock, Ms(20));
            if (connection.isClosedByPeer())
                return false;
        }
        ++this->running;
        return true;
    }

    std::string run(const Message& request, Connection& connection)
    {
        this->record.ran(this->options.id, request);
        const Clock::time_point end = Clock::now() + this->options.work(request);
        bool dropped = false;
        while (!dropped && Clock::now() < end) {
            std::this_thread::sleep_for(std::min<Clock::duration>(Ms(10), end - Clock::now()));
            dropped = connection.isClosedByPeer();
        }
        {
            const std::scoped_lock lock(this->mutex);
            --this->running;
        }
        this->freed.notify_one();
        if (dropped) {
            this->record.line("upstream " + this->options.id + " dropped " + request.field("Request-Id") + ": its connection was closed");
            return {};
        }
        this->record.finished(this->options.id, request.field("Request-Id"));
        const std::string stamp = "Server-Stamp: stamp." + this->options.id + "." + request.field("Request-Id") + "\r\n";
        if (this->options.fails())
            return this->response("500 Internal Server Error", request, stamp, "");
        return this->response("200 OK", request, stamp, "answer to " + request.field("Request-Id"));
    }

    Options options;
    Record& record;
    int listener;
    std::int64_t born;
    std::atomic<int> present = 0; // running and waiting
    std::mutex mutex;
    std::condition_variable freed;
    int running = 0;
};

}
