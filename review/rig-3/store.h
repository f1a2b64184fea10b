#pragma once

// A small stand-in of the platform's store: objects with revisions, lists, and watches that wait.

#include "net.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace rig {

class Store {
public:
    Store()
        : listener(listenOnFreePort())
    {
        std::thread([this] { this->acceptForever(); }).detach();
    }

    std::uint16_t port() const { return portOf(this->listener); }

    // Writes an object's spec and returns when the store has accepted it.
    Time put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const std::scoped_lock lock(this->mutex);
        Object& object = this->objects[kind][name];
        object = { .name = name, .revision = ++this->revision, .createRevision = object.createRevision == 0 ? this->revision : object.createRevision, .spec = spec };
        this->record(kind, object, false);
        return Clock::now();
    }

    Time remove(const std::string& kind, const std::string& name)
    {
        const std::scoped_lock lock(this->mutex);
        Object object = this->objects[kind][name];
        this->objects[kind].erase(name);
        object.revision = ++this->revision;
        this->record(kind, object, true);
        return Clock::now();
    }

    // Closes the connections of all watches that are waiting.
    std::size_t cutWatches()
    {
        const std::scoped_lock lock(this->mutex);
        ++this->cuts;
        this->changed.notify_all();
        return this->waiting;
    }

    std::size_t count(const std::string& kind)
    {
        const std::scoped_lock lock(this->mutex);
        return this->objects[kind].size();
    }

private:
    struct Object {
        std::string name;
        std::uint64_t revision = 0;
        std::uint64_t createRevision = 0;
        std::string spec = "{}";
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
    };

    static std::string textOf(const Object& object)
    {
        return R"({"metadata":{"name":")" + object.name + R"(","revision":)" + std::to_string(object.revision) + R"(,"create_revision":)" + std::to_string(object.createRevision)
            + R"(,"finalizers":[],"deleting":false},"spec":)" + object.spec + R"(,"status":null})";
    }

    void record(const std::string& kind, const Object& object, bool isDeleted)
    {
        this->events.push_back({ .revision = this->revision, .kind = kind, .text = std::string(R"({"deleted":)") + (isDeleted ? "true" : "false") + R"(,"object":)" + textOf(object) + "}" });
        this->changed.notify_all();
    }

    void acceptForever()
    {
        for (;;) {
            const int accepted = ::accept4(this->listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted >= 0)
                std::thread([this, accepted] { this->serve(Socket(accepted)); }).detach();
        }
    }

    void serve(Socket socket)
    {
        std::string buffer;
        Message request;
        while (readMessage(socket, buffer, request, Clock::now() + std::chrono::minutes(5)) == ReadResult::Complete) {
            int status = 200;
            const std::optional<std::string> body = this->answer(request, status);
            if (!body)
                return;
            const std::string reason = status == 200 ? "OK" : "Error";
            if (!socket.write("HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body->size()) + "\r\n\r\n" + *body))
                return;
        }
    }

    // The answer's body; nothing if the connection has to end without an answer.
    std::optional<std::string> answer(const Message& request, int& status)
    {
        const std::string prefix = "/api/objects/";
        const std::string target = request.secondWord();
        const std::string path = target.substr(0, target.find('?'));
        const std::string query = path.size() == target.size() ? std::string() : target.substr(path.size() + 1);
        std::string kind = path.substr(std::min(path.size(), prefix.size()));
        std::string name;
        if (const std::size_t slash = kind.find('/'); slash != std::string::npos) {
            name = kind.substr(slash + 1);
            kind.resize(slash);
        }
        if (request.firstLine.starts_with("POST"))
            return this->create(kind, request.body, status);
        if (request.firstLine.starts_with("GET") && name.empty())
            return query.find("watch=") == std::string::npos ? this->list(kind) : this->watch(kind, number(query, "watch="), number(query, "wait_ms="));
        status = 404;
        return "{}";
    }

    static std::uint64_t number(const std::string& query, const std::string& key)
    {
        const std::size_t found = query.find(key);
        return found == std::string::npos ? 0 : std::stoull(query.substr(found + key.size()));
    }

    std::optional<std::string> create(const std::string& kind, const std::string& body, int& status)
    {
        const std::size_t nameBegin = body.find(R"("name":")") + 8;
        const std::string name = body.substr(nameBegin, body.find('"', nameBegin) - nameBegin);
        const std::size_t specBegin = body.find(R"("spec":)") + 7;
        std::string spec = body.substr(specBegin, body.rfind('}') - specBegin);
        {
            const std::scoped_lock lock(this->mutex);
            if (const auto known = this->objects[kind].find(name); known != this->objects[kind].end()) {
                status = 409;
                return textOf(known->second);
            }
        }
        this->put(kind, name, spec);
        const std::scoped_lock lock(this->mutex);
        return textOf(this->objects[kind][name]);
    }

    std::optional<std::string> list(const std::string& kind)
    {
        const std::scoped_lock lock(this->mutex);
        std::string items;
        for (const auto& [name, object] : this->objects[kind])
            items += (items.empty() ? "" : ",") + textOf(object);
        return "{\"items\":[" + items + "],\"has_more\":false,\"at\":" + std::to_string(this->revision) + "}";
    }

    std::optional<std::string> watch(const std::string& kind, std::uint64_t from, std::uint64_t waitMs)
    {
        std::unique_lock lock(this->mutex);
        const std::uint64_t cutsBefore = this->cuts;
        const Time end = Clock::now() + milliseconds(waitMs);
        ++this->waiting;
        std::string found;
        for (;;) {
            for (const Event& event : this->events) {
                if (event.revision > from && event.kind == kind)
                    found += (found.empty() ? "" : ",") + event.text;
            }
            if (!found.empty() || this->cuts != cutsBefore || this->changed.wait_until(lock, end) == std::cv_status::timeout)
                break;
        }
        --this->waiting;
        if (found.empty() && this->cuts != cutsBefore)
            return std::nullopt;
        return "{\"events\":[" + found + "],\"at\":" + std::to_string(this->revision) + "}";
    }

    Socket listener;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, Object>> objects; // by kind and name
    std::deque<Event> events;
    std::uint64_t revision = 0;
    std::uint64_t cuts = 0;
    std::size_t waiting = 0;
};

}
