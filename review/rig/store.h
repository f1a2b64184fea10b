#pragma once

// Stand-in of the platform's store: lists, watches and creates objects, as PROTOCOL.md describes.

#include "http.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace rig {

class Store {
public:
    Store()
        : listener(listenOn("127.0.0.1", 0))
    {
        std::thread([this] {
            for (;;) {
                const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    return;
                std::thread([this, fd] { this->serve(fd); }).detach();
            }
        }).detach();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(portOf(this->listener)); }

    // Creates or replaces an object whose spec is this JSON text.
    void put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const std::scoped_lock lock(this->mutex);
        this->putLocked(kind, name, spec);
    }

    void remove(const std::string& kind, const std::string& name)
    {
        const std::scoped_lock lock(this->mutex);
        const auto found = this->objects[kind].find(name);
        if (found == this->objects[kind].end())
            return;
        ++this->revision;
        this->events.push_back({ this->revision, kind, R"({"deleted":true,"object":)" + found->second + "}" });
        this->objects[kind].erase(found);
        this->changed.notify_all();
    }

private:
    struct Event {
        std::uint64_t revision;
        std::string kind;
        std::string text;
    };

    void putLocked(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const std::string rev = std::to_string(++this->revision);
        const std::string created = std::to_string(this->created.try_emplace(kind + '/' + name, this->revision).first->second);
        const std::string text = R"({"metadata":{"name":")" + name + R"(","revision":)" + rev + R"(,"create_revision":)" + created + R"(,"finalizers":[],"deleting":false},"spec":)" + spec + R"(,"status":null})";
        this->objects[kind][name] = text;
        this->events.push_back({ this->revision, kind, R"({"deleted":false,"object":)" + text + "}" });
        this->changed.notify_all();
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const std::size_t found = target.find(name + "=");
        return found == std::string::npos ? "" : target.substr(found + name.size() + 1, target.find('&', found) - found - name.size() - 1);
    }

    static std::string respond(int status, const std::string& body)
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::string list(const std::string& kind, const std::string& name)
    {
        const std::scoped_lock lock(this->mutex);
        if (!name.empty()) {
            const auto found = this->objects[kind].find(name);
            return found == this->objects[kind].end() ? respond(404, "{}") : respond(200, found->second);
        }
        std::string items;
        for (const auto& [key, text] : this->objects[kind])
            items += (items.empty() ? "" : ",") + text;
        return respond(200, R"({"items":[)" + items + R"(],"has_more":false,"at":)" + std::to_string(this->revision) + "}");
    }

    std::string watch(const std::string& kind, std::uint64_t from, Ms wait)
    {
        std::unique_lock lock(this->mutex);
        const auto collect = [&] {
            std::string text;
            for (const Event& event : this->events) {
                if (event.revision > from && event.kind == kind)
                    text += (text.empty() ? "" : ",") + event.text;
            }
            return text;
        };
        std::string text = collect();
        const Clock::time_point deadline = Clock::now() + wait;
        while (text.empty() && this->changed.wait_until(lock, deadline) == std::cv_status::no_timeout)
            text = collect();
        return respond(200, R"({"events":[)" + text + R"(],"at":)" + std::to_string(this->revision) + "}");
    }

    std::string create(const std::string& kind, const std::string& body)
    {
        const std::size_t begin = body.find("\"name\":\"") + 8;
        const std::string name = body.substr(begin, body.find('"', begin) - begin);
        const std::string spec = body.substr(body.find("\"spec\":") + 7);
        const std::scoped_lock lock(this->mutex);
        if (this->objects[kind].contains(name))
            return respond(409, this->objects[kind][name]);
        this->putLocked(kind, name, spec.substr(0, spec.size() - 1));
        return respond(201, this->objects[kind][name]);
    }

    void serve(int fd)
    {
        Connection connection(fd);
        for (;;) {
            const Message request = connection.read(false, Clock::now() + std::chrono::minutes(5));
            if (!request.complete)
                return;
            const std::string target = request.word(1);
            const std::string prefix = "/api/objects/";
            if (!target.starts_with(prefix))
                return;
            const std::string path = target.substr(prefix.size(), target.find('?') - prefix.size());
            const std::string kind = path.substr(0, path.find('/'));
            const std::string name = path.find('/') == std::string::npos ? "" : path.substr(path.find('/') + 1);
            const std::string from = parameter(target, "watch");
            const std::string wait = parameter(target, "wait_ms");
            std::string answer;
            if (request.word(0) == "POST")
                answer = this->create(kind, request.body);
            else if (!from.empty())
                answer = this->watch(kind, std::stoull(from), Ms(wait.empty() ? 0 : std::stol(wait)));
            else
                answer = this->list(kind, name);
            if (!connection.write(answer))
                return;
        }
    }

    int listener;
    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision = 100;
    std::map<std::string, std::map<std::string, std::string>> objects;
    std::map<std::string, std::uint64_t> created;
    std::vector<Event> events;
};

}
