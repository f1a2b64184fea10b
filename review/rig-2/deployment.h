#pragma once

// A small deployment: a store, upstreams, entry VMs and clients. The figures are those of the pages for
// scholika-repo, unless a case states others.

#include "fleet.h"
#include "record.h"
#include "store.h"
#include "upstream.h"

namespace review {

inline constexpr std::string_view hostName = "ficu95.example";

struct Route {
    std::string name;
    std::string prefix;
    std::string type; // safe, unsafe or download
    std::string service;
    std::string timeout;
};

inline std::string configurationText(unsigned version, const std::vector<Route>& routes, const std::vector<std::string>& services)
{
    std::string resources;
    for (const Route& route : routes)
        resources += R"({"resource_kind":"routes","metadata":{"name":")" + route.name + R"("},"spec":{"host":")" + std::string(hostName) + R"(","path_prefix":")" + route.prefix + R"(","route_type":")" + route.type + R"(","timeout":")" + route.timeout + R"(","target_latency":"400ms","priority":1,"service":")" + route.service + R"(","max_attempts":2,"session_affinity":true,"allowed_regions":[]}},)";
    for (const std::string& service : services)
        resources += R"({"resource_kind":"services","metadata":{"name":")" + service + R"("},"spec":{"health_path":"/health","max_connections":330,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":3.6}},)";
    return R"({"version":"r)" + std::to_string(version) + R"(","resources":[)" + resources + R"({"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}]})";
}

// One attempt of a client.
struct Attempt {
    std::string request; // Request-Id
    std::string path {};
    std::size_t vm = 0; // the entry VM to which it was sent
    Time sentAt {};
    Time closedAt {}; // when the client closed its connection
    int status = 0; // 0: no answer
    std::optional<Time> headAt {};
    std::string server {}; // that made the answer, by its stamp
    bool statesLeaving = false; // the answer bears Server-Leaving
    bool isComplete = false;
};

struct Message {
    std::string method = "GET";
    std::string path;
    std::string key; // Affinity-Key
    std::chrono::milliseconds deadline { 3000 };
    std::optional<std::chrono::milliseconds> leaveAfter {}; // the client closes its connection that long after it has sent the request
    bool leavesByReset = false;
};

// What goes on in a case, on threads of its own.
class Clients {
public:
    Clients(Fleet& entryVms, Record& caseRecord)
        : fleet(entryVms)
        , record(caseRecord)
    {
    }
    ~Clients() { this->wait(); }

    // Sends a request to an entry VM on a new connection.
    void send(std::size_t vm, Message message)
    {
        std::string request = this->newId();
        this->threads.emplace_back([this, vm, message = std::move(message), request] { this->run(vm, message, request); });
    }

    // Waits for all clients and returns their attempts.
    const std::vector<Attempt>& wait()
    {
        for (std::thread& thread : this->threads)
            thread.join();
        this->threads.clear();
        return this->attempts;
    }

private:
    std::string newId()
    {
        char text[17];
        std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(this->random()), ++this->count);
        return text;
    }

    void run(std::size_t vm, const Message& message, const std::string& request)
    {
        Attempt attempt { .request = request, .path = message.path, .vm = vm };
        Connection connection = Connection::open(this->fleet.at(vm).frontend);
        attempt.sentAt = Clock::now();
        this->record.add("client sends", request, message.method, message.path, "to", this->fleet.at(vm).name);
        const bool isSent = connection.isOpen() && connection.write(message.method + " " + message.path + " HTTP/1.1\r\nHost: " + std::string(hostName) + "\r\nRequest-Id: " + request + "\r\nAffinity-Key: " + message.key + "\r\nDeadline-Ms: " + std::to_string(message.deadline.count()) + (message.method == "POST" ? "\r\nContent-Length: 0\r\n\r\n" : "\r\n\r\n"));
        const Time end = attempt.sentAt + message.leaveAfter.value_or(message.deadline);
        if (isSent)
            this->readAnswer(connection, attempt, end);
        attempt.closedAt = Clock::now();
        if (attempt.status == 0 && message.leavesByReset)
            connection.reset();
        else
            connection.close();
        if (attempt.status != 0)
            this->record.add("client gets", request, attempt.status, attempt.server, attempt.isComplete ? "complete" : "incomplete", attempt.statesLeaving ? "server leaving" : "");
        else
            this->record.add("client leaves", request, message.leavesByReset ? "with a reset" : "");
        const std::scoped_lock lock(this->mutex);
        this->attempts.push_back(std::move(attempt));
    }

    static void readAnswer(Connection& connection, Attempt& attempt, Time end)
    {
        const std::optional<Head> head = connection.readHead(end);
        if (!head)
            return;
        attempt.headAt = Clock::now();
        attempt.status = head->status();
        attempt.server = head->field("Server-Stamp").substr(0, head->field("Server-Stamp").find('.'));
        attempt.statesLeaving = head->field("Server-Leaving") == "1";
        attempt.isComplete = connection.readBody(head->length(), end).has_value();
    }

    Fleet& fleet;
    Record& record;
    std::mt19937 random { std::random_device {}() };
    unsigned count = 0;
    std::list<std::thread> threads;
    std::mutex mutex;
    std::vector<Attempt> attempts;
};

}
