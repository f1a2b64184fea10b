// Broken answers, as each reader of answers sees them: callers of both interfaces, the store client, health polls and
// the caller that generates load.

#include "app/caller.h"
#include "app/health_poller.h"
#include "net/answer_parser.h"
#include "raw_fixtures.h"
#include "store/http_transport.h"

using namespace cranberryshed;
using namespace cranberryshed::test;
using namespace std::chrono_literals;

namespace {

using Answer = RawServer::Answer;

struct BrokenAnswer {
    std::string name;
    Answer answer;
};

std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts)
        text += part;
    return text;
}

// The same answer on a connection that is closed after it, and on one that stays open.
void addClosedAndOpen(std::vector<BrokenAnswer>& answers, const std::string& name, const std::string& bytes)
{
    answers.push_back({ .name = name + ", closed", .answer = { .bytes = bytes, .closeAfter = true } });
    answers.push_back({ .name = name + ", open", .answer = { .bytes = bytes } });
}

// Answers whose status is none. `fields` are those of each answer that counts.
std::vector<BrokenAnswer> answersWithoutStatus(std::string_view fields)
{
    std::vector<BrokenAnswer> answers;
    for (const std::string status : { "000", "001", "099", "600", "999", "20", "2000", "+20", "-20", "2 0", "" })
        addClosedAndOpen(answers, "status '" + status + "'", "HTTP/1.1 " + status + " OK\r\n" + std::string(fields) + "Content-Length: 2\r\n\r\nok");
    return answers;
}

// Answers in whose head the name of a field contains a blank or a control byte: within the name, at its end, and at its
// start, where the line continues the one before it (RFC 9112, section 5.2).
std::vector<BrokenAnswer> answersWithBadFieldName(std::string_view fields)
{
    using namespace std::string_literals;
    std::vector<BrokenAnswer> answers;
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string required(fields);
    const std::string end = "Content-Length: 2\r\n\r\nok";
    for (const std::string& byte : { " "s, "\t"s, "\0"s, "\x01"s, "\x0b"s, "\x1f"s, "\x7f"s, "\x80"s }) {
        const std::string label = "byte " + std::to_string(static_cast<unsigned char>(byte.front()));
        for (const std::string& line : { byte + "X-Odd: v\r\n", "X-O" + byte + "dd: v\r\n", "X-Odd" + byte + ": v\r\n" }) {
            addClosedAndOpen(answers, label + " in an unknown field", joined({ status, required, line, end }));
            addClosedAndOpen(answers, label + " in the first field", joined({ status, line, required, end }));
            addClosedAndOpen(answers, label + " in the last field", joined({ status, required, "Content-Length: 2\r\n", line, "\r\nok" }));
            answers.push_back({ .name = label + " in an interim answer", .answer = { .bytes = joined({ "HTTP/1.1 103 Early Hints\r\nX-Hint: a\r\n", line, "\r\n", status, required, end }) } });
        }
        for (const std::string& line : { byte + "Content-Length: 2\r\n", "Content" + byte + "-Length: 2\r\n", "Content-Length" + byte + ": 2\r\n" })
            addClosedAndOpen(answers, label + " in Content-Length", joined({ status, required, line, "\r\nok" }));
        for (const std::string& line : { byte + "Transfer-Encoding: chunked\r\n", "Transfer" + byte + "-Encoding: chunked\r\n", "Transfer-Encoding" + byte + ": chunked\r\n" })
            addClosedAndOpen(answers, label + " in Transfer-Encoding", joined({ status, required, line, "\r\n2\r\nok\r\n0\r\n\r\n" }));
    }
    return answers;
}

// Answers with a transfer coding that was not asked for: what arrives is not the server's body.
std::vector<BrokenAnswer> answersWithOtherCoding(std::string_view fields)
{
    std::vector<BrokenAnswer> answers;
    const std::string start = "HTTP/1.1 200 OK\r\n" + std::string(fields);
    const std::string chunks = "\r\n2\r\nok\r\n0\r\n\r\n";
    for (const std::string coding : { "gzip", "identity", "gzip, chunked", "chunked, gzip", "chunked, chunked", "chunked;q=1", "\"chunked\"", "" })
        addClosedAndOpen(answers, "coding '" + coding + "'", joined({ start, "Transfer-Encoding: ", coding, "\r\n", chunks }));
    addClosedAndOpen(answers, "two codings", start + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" + chunks);
    addClosedAndOpen(answers, "one coding twice", start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + chunks);
    addClosedAndOpen(answers, "a coding and a length", start + "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok");
    addClosedAndOpen(answers, "a length and a coding", start + "Content-Length: 2\r\nTransfer-Encoding: gzip\r\n\r\nok");
    addClosedAndOpen(answers, "chunks and a length", start + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n" + chunks);
    addClosedAndOpen(answers, "chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + std::string(fields) + "Transfer-Encoding: chunked\r\n" + chunks);
    return answers;
}

std::vector<BrokenAnswer> answersWithBrokenHeader()
{
    std::vector<BrokenAnswer> all;
    for (const std::vector<BrokenAnswer>& answers : { answersWithoutStatus("X-Field: v\r\n"), answersWithBadFieldName("X-Field: v\r\n"), answersWithOtherCoding("X-Field: v\r\n") })
        all.insert(all.end(), answers.begin(), answers.end());
    return all;
}

// Parses the first piece, and then the rest together with what the parser has not used yet. Returns the last error, or
// none if the header is complete.
boost::system::error_code parseInTwoPieces(net::AnswerParser<wire::http::string_body>& parser, std::string_view bytes, std::size_t split)
{
    boost::system::error_code error;
    const std::size_t used = parser.put(asio::buffer(bytes.substr(0, split)), error);
    if (!parser.is_header_done() && error == wire::http::error::need_more)
        parser.put(asio::buffer(bytes.substr(used)), error);
    return error;
}

// Sends a GET with the store client's transport.
store::HttpResponse ask(asio::io_context& context, store::HttpTransport& transport, const std::string& target)
{
    auto exchange = asio::co_spawn(context, transport.exchange({ .method = store::HttpMethod::Get, .target = target, .body = {} }, transport.now() + 2s), asio::use_future);
    context.restart();
    context.run();
    return exchange.get();
}

store::ExchangeOutcome storeOutcome(const std::string& address, const std::string& target)
{
    asio::io_context context;
    store::HttpTransport transport(context, address);
    return ask(context, transport, target).outcome;
}

bool isHealthy(const std::string& address, const std::string& path)
{
    asio::io_context context;
    bool isHealthy = false;
    std::optional<app::HealthPoller> poller;
    poller.emplace(context, app::HealthPoller::Options { .interval = 1ms, .timeout = 1s, .path = path }, [&](const control::HealthReport& report) {
        isHealthy = report.healthy;
        poller->setServers({});
    });
    poller->setServers({ { "raw", address } });
    context.run();
    return isHealthy;
}

std::string loadOutcome(const std::string& address, const app::RequestTemplate& requestTemplate, const std::string& workId)
{
    asio::io_context context;
    app::Caller caller(context, { .directAddress = address, .maxTries = 1, .timeout = 2s });
    std::string outcome;
    asio::co_spawn(
        context, [&]() -> wire::Task<void> { outcome = (co_await caller.send(requestTemplate, workId)).outcome; }, asio::detached);
    context.run();
    return outcome;
}

// Whether this is the entry VM's own error in place of an answer: the server was asked, and its answer doesn't count. The
// native interface sends an idempotent request again, which can take until its deadline.
bool isBrokenAnswerError(const ReceivedAnswer& received)
{
    return received.completeStatus() == 502 || received.completeStatus() == 504;
}

// Asks for each answer with GET, HEAD and an upload.
template <typename Fixture>
void checkCallers(const std::vector<BrokenAnswer>& broken)
{
    std::map<std::string, Answer> answers;
    for (std::size_t i = 0; i < broken.size(); ++i) {
        for (const auto& makeLine : { Fixture::getLine, Fixture::headLine, Fixture::uploadLine })
            answers.emplace(makeLine(std::to_string(i)), broken[i].answer);
    }
    const Fixture fixture(answers);
    for (const auto& [line, answer] : answers) {
        const ReceivedAnswer received = fixture.ask(line);
        INFO(line << " answered with\n"
                  << answer.bytes << "\ncaller got\n"
                  << received.answer.head << received.answer.body);
        CHECK(isBrokenAnswerError(received));
    }
}

// The pieces of a body that is still being sent when its answer arrives.
std::vector<std::string> longUpload()
{
    return std::vector<std::string>(10, std::string(90'000, 'u'));
}

// Sends long uploads to a server that answers at once, sends a part of a body without a length and resets the connection
// after a delay. No caller may take that part for a complete answer.
template <typename Fixture>
void checkResetDuringUpload(const std::vector<std::chrono::milliseconds>& delays)
{
    std::map<std::string, Answer> answers;
    for (const std::size_t size : { 0, 5, 3000 }) {
        for (const std::chrono::milliseconds delay : delays) {
            const std::string bytes = "HTTP/1.1 200 OK\r\n" + std::string(Fixture::answerFields) + "\r\n" + std::string(size, 'x');
            answers.emplace(Fixture::uploadLine(std::to_string(size) + "-" + std::to_string(delay.count())), Answer { .bytes = bytes, .resetAfter = true, .resetDelay = delay });
        }
    }
    const Fixture fixture(answers);
    for (const auto& [line, answer] : answers) {
        const ReceivedAnswer received = fixture.ask(line, longUpload());
        INFO(line << "\ncaller got\n"
                  << received.answer.head);
        CHECK(isBrokenAnswerError(received));
    }
}

// Asks for each answer with the store client's transport, a health poll and the caller that generates load.
void checkOtherReaders(const std::vector<BrokenAnswer>& broken)
{
    std::map<std::string, Answer> answers;
    for (std::size_t i = 0; i < broken.size(); ++i)
        answers.emplace("GET /" + std::to_string(i), broken[i].answer);
    const RawServer server(answers);
    for (std::size_t i = 0; i < broken.size(); ++i) {
        INFO(broken[i].name);
        CHECK(storeOutcome(server.address(), "/" + std::to_string(i)) == store::ExchangeOutcome::Lost);
        CHECK_FALSE(isHealthy(server.address(), "/" + std::to_string(i)));
        CHECK(loadOutcome(server.address(), { .path = "/" }, std::to_string(i)) == "broken");
    }
}

}

// Guards against a status outside 100 to 599 that reaches the caller as an answer.
TEST_CASE("an answer whose status is none is a failure for the caller", "[broken-answers]")
{
    checkCallers<PlatformRawFixture>(answersWithoutStatus(PlatformRawFixture::answerFields));
    checkCallers<NativeRawFixture>({ answersWithoutStatus(NativeRawFixture::answerFields).front() }); // each takes a second
}

TEST_CASE("the store client, health polls and the load's caller don't take an answer whose status is none for one", "[broken-answers]")
{
    checkOtherReaders(answersWithoutStatus("X-Field: v\r\n"));
}

// Guards against a reset that looks like the orderly end of an answer without a length: the write of the request has
// taken the connection's error before the answer is read.
TEST_CASE("an answer without a length that is reset during a long upload doesn't look complete", "[broken-answers]")
{
    checkResetDuringUpload<PlatformRawFixture>({ 0ms, 5ms, 60ms });
    checkResetDuringUpload<NativeRawFixture>({ 5ms }); // each takes a second
}

// Guards against the same fault in the caller that generates load, which sends each request with one write.
TEST_CASE("the load's caller doesn't take an answer that is reset during its upload for a complete one", "[broken-answers]")
{
    constexpr std::size_t uploadBytes = 16 * 1024 * 1024; // more than the kernel buffers
    const RawServer server({ { "PUT /work", { .bytes = "HTTP/1.1 200 OK\r\n\r\nwork", .resetAfter = true } } });
    CHECK(loadOutcome(server.address(), { .method = "PUT", .path = "/", .bodyBytes = uploadBytes }, "work") == "broken");
}

// Guards against too much caution: an answer whose end is marked, and a refusal, which needs no body, still count after
// the upload has failed.
TEST_CASE("a whole early answer and a refusal reach the caller although the connection is reset", "[broken-answers]")
{
    const std::string fields(PlatformRawFixture::answerFields);
    const std::map<std::string, int> statuses = { { "sized", 413 }, { "chunked", 413 }, { "refused", 503 } };
    const PlatformRawFixture fixture({
        { "POST /write/sized", { .bytes = "HTTP/1.1 413 Too Large\r\n" + fields + "Content-Length: 2\r\n\r\nno", .resetAfter = true } },
        { "POST /write/chunked", { .bytes = "HTTP/1.1 413 Too Large\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", .resetAfter = true } },
        { "POST /write/refused", { .bytes = "HTTP/1.1 503 Busy\r\nRequest-Id: r\r\nNot-Executed: 1\r\n\r\nno", .resetAfter = true } },
    });
    for (const auto& [name, status] : statuses) {
        INFO(name);
        CHECK(fixture.ask("POST /write/" + name, longUpload()).completeStatus() == status);
    }
}

// Guards against a line that is passed on, joined to the field before it or not, and against a body whose length or
// coding stood in such a line.
TEST_CASE("an answer with a blank or control byte in the name of a field is a failure for the caller", "[broken-answers]")
{
    checkCallers<PlatformRawFixture>(answersWithBadFieldName(PlatformRawFixture::answerFields));
    checkCallers<NativeRawFixture>({ answersWithBadFieldName(NativeRawFixture::answerFields).front() }); // each takes a second
}

TEST_CASE("the store client, health polls and the load's caller don't take an answer with a blank or control byte in the name of a field for one", "[broken-answers]")
{
    checkOtherReaders(answersWithBadFieldName("X-Field: v\r\n"));
}

// Guards against a broken header that passes when it arrives in two pieces, wherever it is split.
TEST_CASE("a broken header is found wherever its bytes are split", "[broken-answers]")
{
    const auto isHeaderTaken = [](std::string_view bytes, std::size_t split) {
        net::AnswerParser<wire::http::string_body> parser;
        return !parseInTwoPieces(parser, bytes, split).failed();
    };
    const std::string whole = "HTTP/1.1 200 OK\r\nX-Field: v\r\nContent-Length: 2\r\n\r\nok";
    for (std::size_t split = 1; split < whole.size(); ++split)
        CHECK(isHeaderTaken(whole, split));
    for (const BrokenAnswer& broken : answersWithBrokenHeader()) {
        for (std::size_t split = 1; split < broken.answer.bytes.size(); ++split) {
            INFO(broken.name << ", split after byte " << split);
            CHECK_FALSE(isHeaderTaken(broken.answer.bytes, split));
        }
    }
}

// Guards against a body that reaches the caller as it was encoded for the connection to the server, as a complete answer.
TEST_CASE("an answer with a transfer coding other than chunked is a failure for the caller", "[broken-answers]")
{
    checkCallers<PlatformRawFixture>(answersWithOtherCoding(PlatformRawFixture::answerFields));
    checkCallers<NativeRawFixture>({ answersWithOtherCoding(NativeRawFixture::answerFields).front() }); // each takes a second
}

TEST_CASE("the store client, health polls and the load's caller don't take an answer with a transfer coding other than chunked for one", "[broken-answers]")
{
    checkOtherReaders(answersWithOtherCoding("X-Field: v\r\n"));
}

// Guards against too strict a check: case and empty elements of the list don't matter.
TEST_CASE("an answer with the coding chunked reaches the caller whichever way it is written", "[broken-answers]")
{
    std::map<std::string, Answer> answers;
    for (const std::string coding : { "chunked", "Chunked", "chunked,", ", chunked", ",chunked , " })
        answers.emplace(PlatformRawFixture::getLine(std::to_string(answers.size())), Answer { .bytes = "HTTP/1.1 200 OK\r\n" + std::string(PlatformRawFixture::answerFields) + "Transfer-Encoding: " + coding + "\r\n\r\n2\r\nok\r\n0\r\n\r\n" });
    const PlatformRawFixture fixture(answers);
    for (const auto& [line, answer] : answers) {
        const ReceivedAnswer received = fixture.ask(line);
        INFO(answer.bytes << "\ncaller got\n"
                          << received.answer.head);
        CHECK(received.completeStatus() == 200);
        CHECK(received.answer.field("Transfer-Encoding").empty());
        CHECK(received.answer.body == "ok");
    }
}

// Guards against trailer fields that reach the caller as if they stood in the header, beside or in place of it.
TEST_CASE("trailer fields of an answer don't become fields of its header", "[broken-answers]")
{
    const std::string chunked = "HTTP/1.1 200 OK\r\n" + std::string(PlatformRawFixture::answerFields) + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
    const PlatformRawFixture fixture({
        { "GET /read/fields", { .bytes = chunked + "Server-Stamp: t\r\nRequest-Id: t\r\nContent-Encoding: gzip\r\nX-Trailer: t\r\nX-Folded: t\r\n X-Odd: t\r\n\r\n" } },
        { "GET /read/bad", { .bytes = chunked + "X-Tra iler: t\r\n\r\n" } },
        { "GET /read/length", { .bytes = chunked + "Content-Length: 5\r\n\r\n" } },
        { "GET /read/coding", { .bytes = chunked + "Transfer-Encoding: gzip\r\n\r\n" } },
    });
    const ReceivedAnswer received = fixture.ask("GET /read/fields");
    INFO(received.answer.head);
    CHECK(received.completeStatus() == 200);
    CHECK(received.answer.body == "ok");
    CHECK(received.answer.field("Server-Stamp") == "s");
    CHECK(received.answer.head.find(": t") == std::string::npos);
    for (const std::string name : { "bad", "length", "coding" })
        CHECK(fixture.ask("GET /read/" + name).completeStatus() == 502);
    // The whole answer has been parsed before its header is relayed, although the native interface does not buffer.
    const NativeRawFixture native({ { "GET /stock/empty", { .bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: t\r\n\r\n" } } });
    const ReceivedAnswer empty = native.ask("GET /stock/empty");
    CHECK(empty.completeStatus() == 200);
    CHECK(empty.answer.field("X-Trailer").empty());
}

// Guards against an interim answer that is taken for the final one, which the next call on the connection then takes for
// its own.
TEST_CASE("the store client, health polls and the load's caller skip interim answers", "[broken-answers]")
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    const RawServer server({
        { "GET /first", { .bytes = interim + "HTTP/1.1 200 OK\r\nX-Work-Id: first\r\nContent-Length: 5\r\n\r\nfirst" } },
        { "GET /second", { .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond" } },
    });
    asio::io_context context;
    store::HttpTransport transport(context, server.address());
    for (const std::string name : { "first", "second" }) {
        const store::HttpResponse response = ask(context, transport, "/" + name);
        CHECK(response.status == 200);
        CHECK(response.body == name);
    }
    CHECK(isHealthy(server.address(), "/first"));
    CHECK(loadOutcome(server.address(), { .path = "/" }, "first") == "200");
}
