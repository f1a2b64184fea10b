// The era of the store's answers, as the native clients see it.

#include "admin/blocking_admin_client.h"
#include "app/store_sync.h"
#include "io/mocked_store.h"
#include "raw_server.h"

#include <set>
#include <variant>

using namespace cranberryshed;
using namespace cranberryshed::test;
using store::HttpMethod;
using store::HttpRequest;
using store::HttpResponse;

namespace {

std::string answerOfEra(std::uint64_t era, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nStore-Era: " + std::to_string(era) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string pageWith(const std::string& name, bool hasMore)
{
    return R"({"items":[{"metadata":{"name":"site.)" + name + R"(","revision":4},"spec":{"revision":1,"writer":"w","nonce":"1","content":{}}}],"has_more":)" + (hasMore ? "true" : "false") + R"(,"at":9})";
}

core::Object site(const std::string& name, std::uint64_t revision, std::uint64_t version)
{
    return { .kind = "site", .name = name, .version = { .revision = revision, .version = version }, .deleted = false, .content = "{}" };
}

// The target of a request for the list of sites.
const std::string siteList = "/api/objects/cranberryshed?after=site.";

// A store that comes back from a copy between the two pages of a list.
RawServer storeThatReturns()
{
    return RawServer({
        { "GET /api/objects/cranberryshed?after=site.", { .bytes = answerOfEra(1, pageWith("a", true)) } },
        { "GET /api/objects/cranberryshed?after=site.a", { .bytes = answerOfEra(2, pageWith("b", false)) } },
    });
}

}

// Guards against a native client that doesn't read the store's era, and so takes pages of two eras for one list.
TEST_CASE("native clients know the store's era", "[era]")
{
    const RawServer server = storeThatReturns();
    SECTION("the watcher of the store")
    {
        boost::asio::io_context context;
        app::StoreSync sync(
            context, { .endpoint = server.address(), .writer = "test" }, [](const core::Object&) {}, [](const core::ServerList&) {});
        std::future<store::ObjectBatch> list = boost::asio::co_spawn(context, sync.client().list("site"), boost::asio::use_future);
        context.run();
        CHECK_THROWS_AS(list.get(), core::Error);
        CHECK(sync.client().era() == 2);
    }
    SECTION("the client of commands")
    {
        admin::Options options;
        options.storeAddress = server.address();
        CHECK_THROWS_AS(admin::BlockingAdminClient(options).list("site"), core::Error);
    }
}

// Guards against changes that a watch skips: a store that has come back from a copy assigns the revisions up to the one
// that the watch had reached a second time.
TEST_CASE("a watch of native objects doesn't go on from a position of an earlier era", "[era]")
{
    const HttpResponse ofNextEra = GENERATE(
        answeredInEra(2, 200, changesResponse(6, { site("lyngby", 4, 6) })),
        answeredInEra(2, 200, changesResponse(5, {})),
        answeredInEra(2, 503, "{}"),
        answeredInEra(2, 410, "{}"));
    MockTransport transport;
    MockedClient client(transport, { .writer = "me", .seed = 1 });
    std::vector<std::string> targets;
    const std::vector<HttpResponse> replies {
        answeredInEra(1, 200, listResponse(5, { site("randers", 2, 5) })),
        ofNextEra,
        ofNextEra, // the era counts once a second answer states it
        answeredInEra(2, 200, listResponse(6, { site("alp", 3, 4), site("lyngby", 4, 6) })),
    };
    ALLOW_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).LR_SIDE_EFFECT(targets.push_back(_1.target)).LR_RETURN(ready(replies.at(targets.size() - 1)));
    std::set<std::string> received;
    const auto onObjects = [&](const std::vector<core::Object>& objects) {
        for (const core::Object& object : objects)
            received.insert(object.name);
        if (targets.size() == 4)
            throw StopWatching();
    };
    CHECK_THROWS_AS(run(client.watchForever({ "site" }, onObjects)), StopWatching);
    CHECK(received == std::set<std::string> { "alp", "lyngby", "randers" });
    CHECK(targets.at(3) == siteList);
}

// Guards against changes that a watch skips: the position to watch from is that of the first list, which the store's
// return has made invalid by the time of the second one.
TEST_CASE("native objects are listed again if the store returns between two lists", "[era]")
{
    MockTransport transport;
    MockedClient client(transport, { .writer = "me", .seed = 1 });
    std::vector<std::string> targets;
    const std::vector<HttpResponse> replies {
        answeredInEra(1, 200, listResponse(5, { site("randers", 2, 5) })),
        answeredInEra(2, 200, listResponse(3, {})),
        answeredInEra(2, 200, listResponse(3, {})),
    };
    ALLOW_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).LR_WITH(targets.size() < replies.size()).LR_SIDE_EFFECT(targets.push_back(_1.target)).LR_RETURN(ready(replies.at(targets.size() - 1)));
    ALLOW_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).LR_WITH(targets.size() == replies.size()).LR_SIDE_EFFECT(targets.push_back(_1.target)).THROW(StopWatching());
    CHECK_THROWS_AS(run(client.watchForever({ "site", "class" }, [](const auto&) {})), StopWatching);
    CHECK(targets.at(3) == siteList);
}

namespace {

// A client that has seen an answer of era 1, and the writes that it sends after that.
struct WriteOfEarlierEra {
    WriteOfEarlierEra()
    {
        REQUIRE_CALL(this->transport, exchange(trompeloeil::_, trompeloeil::_)).RETURN(ready(answeredInEra(1, 404, "{}")));
        run(this->client.get("target", "clone"));
    }

    // Makes a write whose calls get these answers. Returns its result, or the kind of its error.
    std::variant<store::WriteResult, core::ErrorKind> put(const std::vector<HttpResponse>& replies, std::uint64_t ifVersion)
    {
        ALLOW_CALL(this->transport, exchange(trompeloeil::_, trompeloeil::_)).LR_SIDE_EFFECT(this->methods.push_back(_1.method)).LR_RETURN(ready(replies.at(this->methods.size() - 1)));
        try {
            return run(this->client.put(target(3), ifVersion));
        } catch (const core::Error& error) {
            return error.kind();
        }
    }

    MockTransport transport;
    MockedClient client { this->transport, { .writer = "me", .seed = 1 } };
    std::vector<HttpMethod> methods;
};

}

// Guards against a write that is reported as done although the store lost it when it came back from a copy.
TEST_CASE("a write whose answer is of an earlier era is read back", "[era]")
{
    WriteOfEarlierEra write;
    {
        REQUIRE_CALL(write.transport, exchange(trompeloeil::_, trompeloeil::_)).TIMES(2).RETURN(ready(answeredInEra(2, 404, "{}")));
        run(write.client.get("target", "clone"));
    }
    const std::string ownObject = objectText({ .object = target(3, 7), .writeId = {} });
    const auto result = write.put({ answeredInEra(1, 200, ownObject), answeredInEra(2, 200, objectOfOtherWriter(5)) }, 6);
    CHECK(write.methods == std::vector { HttpMethod::Put, HttpMethod::Get });
    CHECK(std::get<core::ErrorKind>(result) == core::ErrorKind::WriteUnclear);
}

// Guards against a write that replaces another writer's object: after the store's return, the object can have the
// version that the write expects by accident.
TEST_CASE("a write is not repeated on the condition of an earlier era", "[era]")
{
    WriteOfEarlierEra write;
    SECTION("the store lost the answer")
    {
        const auto result = write.put({ lost, answeredInEra(2, 503, "{}"), answeredInEra(2, 200, objectOfOtherWriter(6)) }, 6);
        CHECK(write.methods == std::vector { HttpMethod::Put, HttpMethod::Get, HttpMethod::Get });
        CHECK(std::get<core::ErrorKind>(result) == core::ErrorKind::WriteUnclear);
    }
    SECTION("the store refused the write")
    {
        const auto result = write.put({ answeredInEra(2, 503, "{}"), answeredInEra(2, 200, objectOfOtherWriter(6)) }, 6);
        CHECK(write.methods == std::vector { HttpMethod::Put, HttpMethod::Get });
        CHECK(std::get<core::ErrorKind>(result) == core::ErrorKind::WriteUnclear);
    }
    SECTION("a creation is repeated, since its condition doesn't depend on a version")
    {
        const std::string created = objectText({ .object = target(3, 4), .writeId = {} });
        const auto result = write.put({ answeredInEra(2, 503, "{}"), answeredInEra(2, 404, "{}"), answeredInEra(2, 201, created) }, 0);
        CHECK(write.methods == std::vector { HttpMethod::Post, HttpMethod::Get, HttpMethod::Post });
        CHECK(std::get<store::WriteResult>(result).written);
    }
}

// Guards against a list of backend servers that is ignored after the store's return, since its version has gone back.
TEST_CASE("a list of backend servers of a later era is newer", "[era]")
{
    MockTransport transport;
    MockedClient client(transport, { .writer = "me", .seed = 1 });
    const auto listOf = [&](std::uint64_t era, std::uint64_t version) {
        const std::string spec = R"({"version":)" + std::to_string(version) + R"(,"vms":[]})";
        const std::string body = R"({"metadata":{"name":"all","revision":1},"spec":)" + spec + '}';
        REQUIRE_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).TIMES(AT_LEAST(1)).LR_RETURN(ready(answeredInEra(era, 200, body)));
        return run(client.fetchServerList()).version;
    };
    const std::uint64_t first = listOf(1, 7);
    CHECK(listOf(1, 8) > first);
    CHECK(listOf(2, 2) > first);
}
