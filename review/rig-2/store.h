#pragma once

// Stand-in of the platform's store: objects by kind and name with revisions, lists, watches and creation.

#include "net.h"

#include <algorithm>
#include <condition_variable>
#include <list>
#include <mutex>
#include <vector>

namespace review {

class Store {
public:
    Store()
    {
        this->acceptor = std::thread([this] { this->acceptForever(); });
    }

    ~Store()
    {
        {
            const std::scoped_lock lock(this->mutex);
            this->isEnding = true;
            this->shutDownConnections();
        }
        this->changed.notify_all();
        this->listener.close();
        this->acceptor.join();
        for (std::thread& thread : this->threads)
            thread.join();
    }

    Address address() const { return this->listener.address; }

    // Creates or replaces an object. Returns when the store has accepted it.
    Time put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const std::scoped_lock lock(this->mutex);
        Object& object = this->objects[{ kind, name }];
        object = { .kind = kind, .name = name, .spec = spec, .revision = ++this->revision, .created = object.created == 0 ? this->revision : object.created };
        this->history.push_back(object);
        this->changed.notify_all();
        return Clock::now();
    }

    Time remove(const std::string& kind, const std::string& name)
    {
        const std::scoped_lock lock(this->mutex);
        const auto found = this->objects.find({ kind, name });
        if (found != this->objects.end()) {
            Object removed = found->second;
            removed.revision = ++this->revision;
            removed.isDeleted = true;
            this->history.push_back(removed);
            this->objects.erase(found);
            this->changed.notify_all();
        }
        return Clock::now();
    }

    // While the store is down, it is silent: it accepts connections and calls, and answers none. Calls made meanwhile are
    // never answered; their connections end when the store is back.
    void setDown(bool down)
    {
        const std::scoped_lock lock(this->mutex);
        this->isDown = down;
        this->changed.notify_all();
    }

private:
    struct Object {
        std::string kind;
        std::string name;
        std::string spec;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        bool isDeleted = false;
    };

    static std::string textOf(const Object& object)
    {
        return R"({"metadata":{"name":")" + object.name + R"(","revision":)" + std::to_string(object.revision) + R"(,"create_revision":)" + std::to_string(object.created) + R"(,"finalizers":[],"deleting":false},"spec":)" + object.spec + R"(,"status":null})";
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        for (const char separator : { '?', '&' }) {
            const std::size_t found = target.find(separator + name + '=');
            if (found == std::string::npos)
                continue;
            const std::size_t begin = found + name.size() + 2;
            return target.substr(begin, target.find('&', begin) - begin);
        }
        return {};
    }

    void acceptForever()
    {
        for (;;) {
            Connection connection = this->listener.accept();
            const std::scoped_lock lock(this->mutex);
            if (this->isEnding)
                return;
            if (!connection.isOpen())
                continue;
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
        for (;;) {
            const std::optional<Head> head = connection.readHead(Clock::now() + 120s);
            if (!head)
                break;
            const std::optional<std::string> body = connection.readBody(head->length(), Clock::now() + 10s);
            std::optional<std::pair<int, std::string>> answer;
            if (body)
                answer = this->answer(head->word(0), head->word(1), *body);
            if (!answer || !connection.write("HTTP/1.1 " + std::to_string(answer->first) + " -\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: " + std::to_string(answer->second.size()) + "\r\n\r\n" + answer->second))
                break;
        }
        const std::scoped_lock lock(this->mutex);
        this->open.erase(position);
        connection.close();
    }

    // If the store is down, waits until it is back. Returns whether it was down or ends, so that the call gets no answer.
    bool waitForReturn(std::unique_lock<std::mutex>& lock)
    {
        const bool wasDown = this->isDown;
        this->changed.wait(lock, [this] { return !this->isDown || this->isEnding; });
        return wasDown || this->isEnding;
    }

    // Returns status and body; nothing if the call came while the store was down.
    std::optional<std::pair<int, std::string>> answer(const std::string& method, const std::string& target, const std::string& body)
    {
        std::unique_lock lock(this->mutex);
        const std::string path = target.substr(0, target.find('?'));
        const std::string prefix = "/api/objects/";
        if (this->waitForReturn(lock))
            return std::nullopt;
        if (!path.starts_with(prefix))
            return std::pair { 404, std::string(R"({"error":"no such call"})") };
        const std::string kind = path.substr(prefix.size());
        if (method == "POST")
            return this->create(kind, body);
        if (method != "GET" || kind.find('/') != std::string::npos)
            return std::pair { 404, std::string(R"({"error":"no such call"})") };
        const std::string watch = parameter(target, "watch");
        if (watch.empty())
            return std::pair { 200, this->list(kind, parameter(target, "after")) };
        const std::uint64_t from = std::stoull(watch);
        const Time end = Clock::now() + std::chrono::milliseconds(std::stoul("0" + parameter(target, "wait_ms")));
        const auto isReady = [&] { return this->isDown || this->isEnding || (!this->history.empty() && std::any_of(this->history.begin(), this->history.end(), [&](const Object& object) { return object.kind == kind && object.revision > from; })); };
        this->changed.wait_until(lock, end, isReady);
        if (this->waitForReturn(lock))
            return std::nullopt;
        std::string events;
        for (const Object& object : this->history) {
            if (object.kind == kind && object.revision > from)
                events += (events.empty() ? "" : ",") + std::string(R"({"deleted":)") + (object.isDeleted ? "true" : "false") + R"(,"object":)" + textOf(object) + "}";
        }
        return std::pair { 200, R"({"events":[)" + events + R"(],"at":)" + std::to_string(this->revision) + "}" };
    }

    std::string list(const std::string& kind, const std::string& after) const
    {
        std::string items;
        for (const auto& [key, object] : this->objects) {
            if (key.first == kind && key.second > after)
                items += (items.empty() ? "" : ",") + textOf(object);
        }
        return R"({"items":[)" + items + R"(],"has_more":false,"at":)" + std::to_string(this->revision) + "}";
    }

    // The body is {"metadata":{"name":NAME},"spec":SPEC}, as the system writes it.
    std::pair<int, std::string> create(const std::string& kind, const std::string& body)
    {
        const std::string nameKey = R"("name":")";
        const std::string specKey = R"("spec":)";
        const std::size_t nameBegin = body.find(nameKey) + nameKey.size();
        const std::string name = body.substr(nameBegin, body.find('"', nameBegin) - nameBegin);
        const std::size_t specBegin = body.find(specKey) + specKey.size();
        const auto [found, added] = this->objects.try_emplace({ kind, name });
        if (added) {
            found->second = { .kind = kind, .name = name, .spec = body.substr(specBegin, body.rfind('}') - specBegin), .revision = ++this->revision, .created = this->revision };
            this->history.push_back(found->second);
            this->changed.notify_all();
        }
        return { added ? 200 : 409, textOf(found->second) };
    }

    void shutDownConnections()
    {
        for (const int socket : this->open)
            ::shutdown(socket, SHUT_RDWR);
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::pair<std::string, std::string>, Object> objects; // by kind and name
    std::vector<Object> history;
    std::uint64_t revision = 100;
    bool isDown = false;
    bool isEnding = false;
    std::list<int> open; // sockets
    std::list<std::thread> threads;
    Listener listener;
    std::thread acceptor;
};

}
