#pragma once

// Stand-in of an upstream (a backend server) as the users' pages describe one.

#include "net.h"
#include "record.h"

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <vector>

namespace review {

class Upstream {
public:
    // How a request is run: how long, and how the answer's body is sent.
    struct Work {
        std::chrono::milliseconds time { 50 }; // until the answer begins
        std::size_t answerBytes = 100;
        std::chrono::milliseconds sendTime {}; // during which the body is sent in pieces
        bool crashes = false; // the upstream crashes when it begins to run the request
    };

    struct Arrival {
        Time at {};
        std::string request; // Request-Id
        bool isOtherInstance = false; // answered 421 and not run
    };

    // The work that an upstream did on one request.
    struct Run {
        std::string request;
        Time begin {};
        Time end {};
    };

    struct Options {
        std::string id;
        std::string service;
        std::string zone;
        unsigned slots = 3;
        unsigned queue = 9; // requests that wait for a slot
        Record* record = nullptr;
        std::function<Work(const Head&)> plan;
    };

    explicit Upstream(Options upstreamOptions)
        : options(std::move(upstreamOptions))
        , born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    {
        this->acceptor = std::thread([this] { this->acceptForever(); });
    }

    ~Upstream()
    {
        this->stop();
        this->acceptor.join();
        for (std::thread& thread : this->threads)
            thread.join();
    }

    const std::string& id() const { return this->options.id; }

    // Its entry in the store. `coldLeft`: how much longer it is cold.
    std::string entry(const std::string& state, std::chrono::milliseconds coldLeft = {})
    {
        return R"({"address":")" + this->listener.address.text() + R"(","born":)" + std::to_string(this->born) + R"(,"info":{"service":")" + this->options.service + R"(","version":"v1","zone":")" + this->options.zone + R"(","slots":)" + std::to_string(this->options.slots)
            + R"(},"status":{"state":")" + state + R"(","born":)" + std::to_string(this->born) + R"(,"sequence":)" + std::to_string(++this->sequence) + R"(,"cold_left":")" + std::to_string(coldLeft.count()) + R"(ms"}})";
    }

    // From now on, all its answers state that it leaves.
    void setLeaving() { this->isLeaving = true; }
    bool leaves() const { return this->isLeaving; }

    // Ends it at once: all connections end without an answer, and the port refuses new ones.
    void stop()
    {
        const std::scoped_lock lock(this->mutex);
        this->isEnded = true;
        this->listener.close();
        for (const int socket : this->open)
            ::shutdown(socket, SHUT_RDWR);
    }
    bool hasEnded() const { return this->isEnded; }

    std::vector<Arrival> arrivals()
    {
        const std::scoped_lock lock(this->mutex);
        return this->arrived;
    }
    std::vector<Run> runs()
    {
        const std::scoped_lock lock(this->mutex);
        return this->ran;
    }

private:
    void acceptForever()
    {
        for (;;) {
            Connection connection = this->listener.accept();
            const std::scoped_lock lock(this->mutex);
            if (this->isEnded)
                return;
            if (connection.isOpen())
                this->threads.emplace_back([this, accepted = std::move(connection)]() mutable { this->serve(accepted); });
        }
    }

    void serve(Connection& connection)
    {
        std::list<int>::iterator position;
        {
            const std::scoped_lock lock(this->mutex);
            position = this->open.insert(this->open.end(), connection.handle());
        }
        while (this->serveRequest(connection)) { }
        const std::scoped_lock lock(this->mutex);
        this->open.erase(position);
        connection.close();
    }

    bool serveRequest(Connection& connection)
    {
        const std::optional<Head> head = connection.readHead(Clock::now() + 10s); // idle connections are closed after this time
        if (!head || !connection.readBody(head->length(), Clock::now() + 10s))
            return false;
        const std::string request = head->field("Request-Id");
        const bool isOther = head->field("Expect-Instance") != this->options.id;
        {
            const std::scoped_lock lock(this->mutex);
            this->arrived.push_back({ .at = Clock::now(), .request = request, .isOtherInstance = isOther });
        }
        this->options.record->add(this->options.id, isOther ? "gets for another instance" : "gets", request);
        if (isOther)
            return this->answer(connection, request, "421 Misdirected Request", "Instance-Id: " + this->options.id + "\r\n");
        if (!this->enter())
            return this->answer(connection, request, "503 Service Unavailable", "Not-Executed: 1\r\n");
        const bool goesOn = this->run(connection, *head, request);
        --this->running;
        return goesOn;
    }

    // Waits for a slot. Returns false if too many requests wait already.
    bool enter()
    {
        if (this->waiting.fetch_add(1) >= this->options.queue) {
            --this->waiting;
            return false;
        }
        for (unsigned current = this->running; !this->isEnded; current = this->running) {
            if (current < this->options.slots && this->running.compare_exchange_strong(current, current + 1)) {
                --this->waiting;
                return true;
            }
            std::this_thread::sleep_for(2ms);
        }
        --this->waiting;
        return false;
    }

    // Runs the request. Drops it when its connection ends.
    bool run(Connection& connection, const Head& head, const std::string& request)
    {
        const Work work = this->options.plan(head);
        const Time begin = Clock::now();
        this->options.record->add(this->options.id, "runs", request);
        bool isDropped = false;
        if (work.crashes) {
            this->options.record->add(this->options.id, "crashes at", request);
            this->stop();
            isDropped = true;
        } else
            isDropped = connection.waitForEnd(begin + work.time);
        const bool isSent = !isDropped && this->sendAnswer(connection, request, work);
        const std::scoped_lock lock(this->mutex);
        this->ran.push_back({ .request = request, .begin = begin, .end = Clock::now() });
        this->options.record->add(this->options.id, isSent ? "has answered" : "drops", request);
        return isSent;
    }

    bool sendAnswer(const Connection& connection, const std::string& request, const Work& work) const
    {
        constexpr std::size_t pieces = 20;
        const std::size_t piece = work.answerBytes / pieces;
        const std::string fields = "Server-Stamp: " + this->options.id + "." + request + "\r\nContent-Length: " + std::to_string(work.answerBytes) + "\r\n";
        if (!connection.write("HTTP/1.1 200 OK\r\n" + this->commonFields(request) + fields + "\r\n"))
            return false;
        if (work.sendTime == 0ms)
            return connection.write(std::string(work.answerBytes, 'x'));
        for (std::size_t i = 0; i < pieces; ++i) {
            if (!connection.write(std::string(piece, 'x')))
                return false;
            std::this_thread::sleep_for(work.sendTime / pieces);
        }
        return connection.write(std::string(work.answerBytes - pieces * piece, 'x'));
    }

    bool answer(const Connection& connection, const std::string& request, const std::string& status, const std::string& fields) const
    {
        return connection.write("HTTP/1.1 " + status + "\r\n" + this->commonFields(request) + fields + "Content-Length: 0\r\n\r\n");
    }

    std::string commonFields(const std::string& request) const
    {
        return "Request-Id: " + request + "\r\nServer-Load: " + std::to_string(this->running) + "," + std::to_string(this->waiting) + "," + std::to_string(this->options.slots) + ",100\r\n" + (this->isLeaving ? "Server-Leaving: 1\r\n" : "");
    }

    Options options;
    const std::int64_t born; // Unix time in milliseconds
    std::atomic<unsigned> sequence = 0;
    std::atomic<unsigned> running = 0;
    std::atomic<unsigned> waiting = 0;
    std::atomic<bool> isLeaving = false;
    std::atomic<bool> isEnded = false;
    std::mutex mutex;
    std::vector<Arrival> arrived;
    std::vector<Run> ran;
    std::list<int> open; // sockets
    std::list<std::thread> threads;
    Listener listener;
    std::thread acceptor;
};

}
