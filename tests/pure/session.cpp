// Compares the typed events and commands of whole sessions with golden files, byte for byte.

#include "core/hash.h"
#include "lookup/issue_key.h"
#include "request/engine.h"
#include "request/selected_chooser.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>

namespace core = cranberryshed::core;
namespace lookup = cranberryshed::lookup;
namespace request = cranberryshed::request;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 7;
const core::TimePoint start { 1h };

std::shared_ptr<core::SteeringTable> makeTable(bool leaving)
{
    auto table = std::make_shared<core::SteeringTable>();
    table->generation = leaving ? 2 : 1;
    table->regions = { { .name = "jyl" } };
    table->domains = { { .name = "jyl-1", .region = {} } };
    for (std::uint32_t i = 0; i < 2; ++i) {
        const std::string name = "ledger-" + std::to_string(i + 1);
        table->servers.push_back({ .name = name, .address = "10.0.0." + std::to_string(i + 1) + ":80", .service = "ledger", .batch = "first", .isHome = true, .key = core::hashBytes(name), .slotCounter = std::make_shared<core::SlotCounter>() });
    }
    const std::vector<core::ServerIndex> servers = { { 0 }, { 1 } };
    table->classes = {
        { .name = "stock-lookup", .methods = { "GET" }, .pathPrefix = "/stock/", .service = "ledger", .deadline = 2s, .targetLatency = 150ms, .servers = servers, .regionShares = { 1.0 } },
        { .name = "casting-order", .methods = { "POST" }, .pathPrefix = "/orders", .service = "ledger", .idempotency = core::Idempotency::NonIdempotent, .deadline = 5s, .targetLatency = 300ms, .servers = servers, .regionShares = { 1.0 } },
        { .name = "pattern-download", .methods = { "GET" }, .pathPrefix = "/pattern-files/", .service = "ledger", .length = core::WorkLength::Long, .deadline = 600s, .targetLatency = 1500ms, .servers = servers, .regionShares = { 1.0 } },
    };
    table->members = { { .name = "entry-1", .address = "10.0.1.1:8080", .incarnation = core::Incarnation { 11 } } };
    table->leaving = leaving;
    table->siteRanks = lookup::makeSiteRanks(*table, core::Declarations {}, { 1.0 });
    return table;
}

// Records each event and command as one line of text.
class Transcript {
public:
    void in(core::TimePoint now, const std::string& text) { this->line(now, "->", text); }
    void out(core::TimePoint now, const std::string& text) { this->line(now, "<-", text); }
    void title(const std::string& text) { this->lines << "# " << text << '\n'; }
    std::string text() const { return this->lines.str(); }

private:
    void line(core::TimePoint now, const char* arrow, const std::string& text)
    {
        this->lines << (now - start).count() << " us " << arrow << ' ' << text << '\n';
    }

    std::ostringstream lines;
};

std::string idText(core::RequestId request) { return "request " + std::to_string(static_cast<std::uint64_t>(request)); }
std::string idText(core::AttemptId attempt) { return "attempt " + std::to_string(static_cast<std::uint64_t>(attempt)); }

std::string describe(const request::SendAttempt& send)
{
    return "send " + idText(send.request) + ", " + idText(send.attempt) + " to " + send.table->at(send.server).name + ", deadline " + std::to_string((send.deadline - start).count()) + " us";
}
std::string describe(const request::CancelAttempt& cancel) { return "cancel " + idText(cancel.request) + ", " + idText(cancel.attempt); }
std::string describe(const request::RelayAnswer& relay) { return "relay " + idText(relay.request) + ", " + idText(relay.attempt); }
std::string describe(const request::SetTimer& wait) { return "wait " + idText(wait.request) + " until " + std::to_string((wait.time - start).count()) + " us"; }
std::string describe(const request::CheckServer& check) { return "check server " + std::to_string(check.server.value); }
std::string describe(const request::Reject& reject)
{
    const core::ErrorKindInfo& info = core::errorInfo(reject.error);
    std::string text = "reject " + idText(reject.request) + ": " + std::string(info.name) + ", " + std::string(core::nameOf(info.runState));
    if (!reject.key.empty())
        text += ", key " + reject.key;
    if (reject.firstStatus != 0)
        text += ", first status " + std::to_string(reject.firstStatus);
    return text;
}

// One entry VM without I/O, which records its transcript.
class Session {
public:
    Session()
        : table(makeTable(false))
    {
        this->engine.setTable(this->table);
    }

    std::string lookUp(const std::string& className)
    {
        this->transcript.in(this->now, "look up " + className);
        core::Outcome outcome = this->lookups(lookup::Context { .query = { .className = className }, .table = this->table }, this->now);
        if (outcome.ended()) {
            this->transcript.out(this->now, "no entries: " + std::string(core::errorInfo(outcome.answer()).name));
            return {};
        }
        const lookup::Reply& reply = outcome.output().reply;
        std::string text = "entries";
        for (const core::MemberIndex entry : reply.entries)
            text += ' ' + this->table->at(entry).address;
        this->transcript.out(this->now, text + (reply.requestKey.empty() ? "" : ", key " + reply.requestKey));
        return reply.requestKey;
    }

    core::RequestId arrive(const std::string& method, const std::string& target, const std::string& key = {})
    {
        const core::RequestId id { ++this->lastRequest };
        this->transcript.in(this->now, idText(id) + ": " + method + ' ' + target + (key.empty() ? "" : ", key " + key));
        this->handle(request::RequestArrived { .request = id, .host = "foundry", .method = method, .target = target, .key = key, .fingerprint = core::Fingerprint { core::hashBytes(target) } });
        return id;
    }

    void answer(core::Duration headAfter, core::Duration bodyAfter)
    {
        const request::SendAttempt sent = *this->lastSent;
        this->now += headAfter;
        this->transcript.in(this->now, idText(sent.attempt) + " answers 200");
        this->handle(request::AnswerStarted { .request = sent.request, .attempt = sent.attempt, .status = 200 });
        this->now += bodyAfter;
        this->end(core::AttemptResult::Answered, 200);
    }

    void end(core::AttemptResult result, std::uint16_t status)
    {
        const request::SendAttempt sent = *this->lastSent;
        this->transcript.in(this->now, idText(sent.attempt) + " ended: " + std::string(core::nameOf(result)));
        this->handle(request::AttemptEnded { .request = sent.request, .attempt = sent.attempt, .result = result, .status = status, .retryAfter = {} });
    }

    void shutDown()
    {
        this->transcript.in(this->now, "a steering table says that this entry VM leaves");
        auto next = makeTable(true);
        next->servers = this->table->servers;
        this->table = next;
        this->engine.setTable(next);
        this->handle(request::CapacityChanged {});
    }

    void due(core::RequestId id)
    {
        this->transcript.in(this->now, "the time of " + idText(id) + " has come");
        this->handle(request::TimerDue { .request = id });
    }

    void pass(core::Duration time) { this->now += time; }

    Transcript transcript;

private:
    void handle(const request::Event& event)
    {
        request::Commands commands;
        request::Observations ignored;
        this->engine.handle(event, this->now, commands, ignored);
        for (const request::Command& command : commands) {
            if (const auto* send = std::get_if<request::SendAttempt>(&command))
                this->lastSent = *send;
            std::visit([&](const auto& typed) { this->transcript.out(this->now, describe(typed)); }, command);
        }
    }

    core::TimePoint now = start;
    std::shared_ptr<core::SteeringTable> table;
    request::SharedState shared = request::makeSharedState("entry-1", core::Incarnation { 11 }, seed);
    request::Engine<request::SelectedChooser> engine { {}, request::SelectedChooser(request::ChooserKind::HomeSubset, 1), shared, seed };
    lookup::KeyedLookupPipe lookups { lookup::FindClass {}, lookup::LocateCaller {}, lookup::RankMembers {}, lookup::IssueKey { *shared.keys } };
    std::optional<request::SendAttempt> lastSent;
    std::uint64_t lastRequest = 0;
};

// Compares with the golden file, or writes it if UPDATE_GOLDEN is set.
void compareWithGolden(const Session& session, const std::string& name)
{
    const std::string path = std::string(SOURCE_DIR) + "/tests/golden/" + name;
    if (std::getenv("UPDATE_GOLDEN"))
        std::ofstream(path) << session.transcript.text();
    std::ifstream file(path);
    CHECK(session.transcript.text() == std::string(std::istreambuf_iterator<char>(file), {}));
}

}

// Guards against unintended changes of the messages to callers and backend servers when a non-idempotent request is
// sent and repeated.
TEST_CASE("golden session: look-up, order, the same order again", "[golden]")
{
    Session session;
    const std::string key = session.lookUp("casting-order");
    session.pass(3ms);
    session.arrive("POST", "/orders/7", key);
    session.arrive("POST", "/orders/7", key);
    session.answer(40ms, 1ms);
    session.pass(1s);
    session.arrive("POST", "/orders/7", key);
    session.arrive("POST", "/orders/8", key);
    session.arrive("POST", "/orders/9");
    compareWithGolden(session, "order.txt");
}

// Guards against unintended changes of the messages of a long download.
TEST_CASE("golden session: pattern download", "[golden]")
{
    Session session;
    session.lookUp("pattern-download");
    session.arrive("GET", "/pattern-files/church-bell");
    session.answer(120ms, 30s);
    compareWithGolden(session, "download.txt");
}

// Guards against a wrong "not run", and against a retry that could run a non-idempotent request twice after its
// connection broke.
TEST_CASE("golden session: refusals and broken connections", "[golden]")
{
    Session session;
    session.lookUp("no-such-class");
    session.arrive("GET", "/nowhere");
    const std::string key = session.lookUp("casting-order");
    const core::RequestId refused = session.arrive("POST", "/orders/7", key);
    session.pass(2ms);
    session.end(core::AttemptResult::Refused, 503);
    session.pass(10ms);
    session.due(refused);
    session.answer(20ms, 1ms);
    const core::RequestId broken = session.arrive("POST", "/orders/10", session.lookUp("casting-order"));
    session.pass(5ms);
    session.end(core::AttemptResult::Broken, 0);
    session.pass(1s);
    session.due(broken);
    compareWithGolden(session, "refusal.txt");
}

// Guards against a shutdown that rejects requests of callers whose cached look-up answer still lists this entry VM, or
// that accepts requests forever.
TEST_CASE("golden session: shutdown", "[golden]")
{
    Session session;
    session.arrive("GET", "/pattern-files/church-bell");
    session.shutDown();
    session.answer(120ms, 2s);
    session.arrive("GET", "/stock/bell-7");
    session.answer(2ms, 100us);
    session.pass(10s);
    session.arrive("GET", "/stock/bell-8");
    compareWithGolden(session, "shutdown.txt");
}
