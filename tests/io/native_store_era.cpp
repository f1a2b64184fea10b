// The era of the store's answers, as the native clients see it.

#include "admin/blocking_admin_client.h"
#include "app/store_sync.h"
#include "io/mocked_store.h"
#include "raw_server.h"

using namespace cranberryshed;
using namespace cranberryshed::test;

namespace {

std::string answerOfEra(std::uint64_t era, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nStore-Era: " + std::to_string(era) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string pageWith(const std::string& name, bool hasMore)
{
    return R"({"items":[{"metadata":{"name":"site.)" + name + R"(","revision":4},"spec":{"revision":1,"writer":"w","nonce":"1","content":{}}}],"has_more":)" + (hasMore ? "true" : "false") + R"(,"at":9})";
}

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
