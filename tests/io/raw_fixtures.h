#pragma once

#include "platform_fixture.h"
#include "raw_server.h"

#include <catch2/catch.hpp>

namespace cranberryshed::test {

// An answer as a caller sees it that reads up to the end of its connection.
struct ReceivedAnswer {
    RawAnswer answer;
    bool isEndMarked = false; // by a length, by chunks, by an orderly close, or it has no body

    // The status of an answer that looks complete to its caller; 0: it is incomplete, or there is none.
    int completeStatus() const { return this->isEndMarked ? this->answer.status() : 0; }
};

// Reads one answer, whose connection ends with it. The body is returned as it is on the wire.
inline ReceivedAnswer receiveToEnd(RawClient& client, bool isHeadRequest)
{
    const std::string bytes = client.readUntil("no such bytes");
    const bool wasReset = errno == ECONNRESET;
    const std::size_t headEnd = bytes.find("\r\n\r\n");
    ReceivedAnswer received;
    if (headEnd == std::string::npos)
        return received;
    received.answer.head = bytes.substr(0, headEnd + 2);
    received.answer.body = bytes.substr(headEnd + 4);
    const std::string length = received.answer.field("Content-Length");
    if (isHeadRequest)
        received.isEndMarked = true;
    else if (received.answer.field("Transfer-Encoding") == "chunked")
        received.isEndMarked = received.answer.body.ends_with("0\r\n\r\n");
    else
        received.isEndMarked = length.empty() ? !wasReset : received.answer.body.size() == std::stoull(length);
    return received;
}

// Sends a request with a pause after each piece of its body, and reads up to the end of the connection. `line` is method
// and target.
inline ReceivedAnswer sendInPieces(const std::string& address, const std::string& line, const std::string& fields, const std::vector<std::string>& bodyPieces)
{
    constexpr std::chrono::milliseconds pause(10);
    std::size_t length = 0;
    for (const std::string& piece : bodyPieces)
        length += piece.size();
    RawClient client(address);
    client.send(line + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\nContent-Length: " + std::to_string(length) + "\r\n" + fields + "\r\n");
    for (const std::string& piece : bodyPieces) {
        client.send(piece);
        std::this_thread::sleep_for(pause);
    }
    return receiveToEnd(client, line.starts_with("HEAD "));
}

// One RawServer behind an entry VM with the platform's interface.
class PlatformRawFixture {
public:
    static constexpr std::string_view answerFields = "Request-Id: r\r\nServer-Stamp: s\r\n"; // of each answer that counts

    explicit PlatformRawFixture(std::map<std::string, RawServer::Answer> answers)
        : server(withWholeAnswer(std::move(answers)))
    {
        this->fixture.writeServerEntry("i-raw", this->server.address(), "ready");
        this->callers = this->fixture.startVm("front-1").callers;
        REQUIRE(timeUntil([&] { return this->isServed(); }, std::chrono::seconds(5)) < std::chrono::seconds(5));
    }

    ReceivedAnswer ask(const std::string& line, const std::vector<std::string>& bodyPieces = {}) const
    {
        return sendInPieces(this->callers, line, "Request-Id: r\r\nDeadline-Ms: 2000\r\n", bodyPieces);
    }

    // Whether the backend server's whole answer arrives. Leaves an idle connection to it.
    bool isServed() const { return this->ask("GET /read/whole").completeStatus() == 200; }

    static std::string getLine(const std::string& name) { return "GET /read/" + name; }
    static std::string headLine(const std::string& name) { return "HEAD /read/" + name; }
    static std::string uploadLine(const std::string& name) { return "POST /write/" + name; }

private:
    static std::map<std::string, RawServer::Answer> withWholeAnswer(std::map<std::string, RawServer::Answer> answers)
    {
        answers.emplace("GET /read/whole", RawServer::Answer { .bytes = "HTTP/1.1 200 OK\r\n" + std::string(answerFields) + "Content-Length: 2\r\n\r\nok" });
        return answers;
    }

    PlatformFixture fixture { 0 };
    RawServer server;
    std::string callers;
};

// One RawServer behind an entry VM with the native interface, which relays bodies while they arrive.
class NativeRawFixture {
public:
    static constexpr std::string_view answerFields {};

    explicit NativeRawFixture(std::map<std::string, RawServer::Answer> answers)
        : server(withWholeAnswer(std::move(answers)))
    {
        this->fixture.declareClass("heads", "HEAD", "/stock/", "idempotent", "short");
        this->fixture.store.setServers({ { .name = "raw", .address = this->server.address(), .service = "shop", .batch = "first", .domain = "north-1" } });
        this->callers = this->fixture.startVm(this->fixture.vmOptions("vm-1")).callerAddress();
        VmFixture::waitForLookup(this->callers);
        REQUIRE(timeUntil([&] { return this->isServed(); }, std::chrono::seconds(5)) < std::chrono::seconds(5));
    }

    ReceivedAnswer ask(const std::string& line, const std::vector<std::string>& bodyPieces = {}) const
    {
        return sendInPieces(this->callers, line, "X-Deadline-Ms: 2000\r\n", bodyPieces);
    }

    bool isServed() const { return this->ask("GET /stock/whole").completeStatus() == 200; }

    static std::string getLine(const std::string& name) { return "GET /stock/" + name; }
    static std::string headLine(const std::string& name) { return "HEAD /stock/" + name; }
    static std::string uploadLine(const std::string& name) { return "PUT /uploads/" + name; }

private:
    static std::map<std::string, RawServer::Answer> withWholeAnswer(std::map<std::string, RawServer::Answer> answers)
    {
        answers.emplace("GET /stock/whole", RawServer::Answer { .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" });
        return answers;
    }

    VmFixture fixture { 0 };
    RawServer server;
    std::string callers;
};

}
