#pragma once

// Clients and the operator's configuration.

#include "record.h"
#include "store.h"

#include <atomic>
#include <functional>

namespace rig {

struct Reply {
    ReadResult result = ReadResult::Nothing;
    bool isWritten = false; // the whole request was written
    Message message;
    Time writtenAt {}; // the last byte of the request
    Time endedAt {};

    // The status, or how the connection ended.
    std::string text() const
    {
        if (this->result == ReadResult::Complete)
            return this->message.secondWord();
        return this->result == ReadResult::Broken ? "broken answer" : "connection ended";
    }
};

struct Request {
    std::string method = "GET";
    std::string path;
    std::string id;
    std::string key {};
    int deadlineMs = 4000;
    std::string body {};
    std::string host = "ficu95.example";
};

inline constexpr const char* hostName = "ficu95.example";

inline std::string headOf(const Request& request)
{
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + request.host + "\r\nRequest-Id: " + request.id + "\r\nDeadline-Ms: " + std::to_string(request.deadlineMs) + "\r\n";
    if (!request.key.empty())
        text += "Affinity-Key: " + request.key + "\r\n";
    if (request.method != "GET")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text + "\r\n";
}

// A connection of a client, opened when it is needed.
class ClientConnection {
public:
    explicit ClientConnection(std::uint16_t vmPort)
        : port(vmPort)
    {
    }

    Reply send(const Request& request)
    {
        if (!this->socket.isOpen())
            this->socket = connectTo(this->port);
        Reply reply;
        reply.isWritten = this->socket.isOpen() && this->socket.write(headOf(request) + request.body);
        reply.writtenAt = Clock::now();
        if (this->socket.isOpen())
            reply.result = readMessage(this->socket, this->buffer, reply.message, reply.writtenAt + milliseconds(request.deadlineMs + 1500));
        reply.endedAt = Clock::now();
        if (reply.result != ReadResult::Complete || reply.message.field("connection") == "close") {
            this->socket.close();
            this->buffer.clear();
        }
        return reply;
    }

private:
    std::uint16_t port;
    Socket socket;
    std::string buffer;
};

inline std::string routeText(const std::string& name, const std::string& path, const std::string& type, int timeoutMs, const std::string& service, const std::string& host)
{
    return R"({"resource_kind":"routes","metadata":{"name":")" + name + R"("},"spec":{"host":")" + host + R"(","path_prefix":")" + path + R"(","route_type":")" + type + R"(","timeout":")"
        + std::to_string(timeoutMs) + R"(ms","target_latency":"400ms","priority":2,"service":")" + service + R"(","max_attempts":2,"session_affinity":true,"allowed_regions":[]}})";
}

// The configuration of one service with a route for safe and one for unsafe requests.
inline std::string configurationText(const std::string& version, const std::string& service, const std::string& host = hostName)
{
    return R"({"version":")" + version + R"(","resources":[)" + routeText("r-fetch", "/fetch/", "safe", 3000, service, host) + "," + routeText("r-submit", "/submit/", "unsafe", 4000, service, host)
        + R"(,{"resource_kind":"services","metadata":{"name":")" + service
        + R"("},"spec":{"health_path":"/health","max_connections":330,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":3.6}},)"
        + R"({"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}]})";
}

// Clients that keep one connection each and send one request after the other until stop().
class Load {
public:
    struct Sent {
        Request request;
        Reply reply;
        std::uint16_t vm = 0;
    };

    Load(std::vector<std::uint16_t> vmPorts, int clientsPerVm, milliseconds pause)
    {
        int number = 0;
        for (const std::uint16_t port : vmPorts) {
            for (int i = 0; i < clientsPerVm; ++i)
                this->threads.emplace_back([this, port, pause, client = ++number] { this->run(port, client, pause); });
        }
    }
    ~Load() { this->stop(); }

    void stop()
    {
        this->isStopped = true;
        for (std::thread& thread : this->threads)
            thread.join();
        this->threads.clear();
    }

    std::vector<Sent> sent()
    {
        const std::scoped_lock lock(this->mutex);
        return this->done;
    }

private:
    static constexpr int maxRequestsPerClient = 3000;

    void run(std::uint16_t port, int client, milliseconds pause)
    {
        ClientConnection connection(port);
        for (int i = 0; i < maxRequestsPerClient && !this->isStopped; ++i) {
            const bool isUnsafe = i % 2 == 0;
            Request request { .method = isUnsafe ? "POST" : "GET", .path = isUnsafe ? "/submit/x" : "/fetch/x", .id = "c" + std::to_string(client) + "-" + std::to_string(i), .key = std::to_string((client * 7 + i) % 61) };
            if (isUnsafe)
                request.body = "homework " + request.id;
            Reply reply = connection.send(request);
            {
                const std::scoped_lock lock(this->mutex);
                this->done.push_back({ .request = std::move(request), .reply = std::move(reply), .vm = port });
            }
            std::this_thread::sleep_for(pause);
        }
    }

    std::atomic<bool> isStopped = false;
    std::mutex mutex;
    std::vector<Sent> done;
    std::vector<std::thread> threads;
};

}
