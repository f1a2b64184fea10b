#include "rig/callers.h"
#include "rig/one_engine.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace request = cranberryshed::request;
namespace rig = cranberryshed::rig;
using core::AttemptResult;
using core::ErrorKind;
using rig::find;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t poison = 666;
constexpr std::uint64_t innocent = 42;

std::optional<ErrorKind> errorOrEmpty(const request::Commands& commands)
{
    const auto reject = find<request::Reject>(commands);
    return reject ? std::optional(reject->error) : std::nullopt;
}

std::optional<request::SendAttempt> retried(rig::OneEngine& one, const request::Commands& commands, std::uint64_t id)
{
    const auto wait = find<request::SetTimer>(commands);
    return wait ? find<request::SendAttempt>(one.timer(id, wait->time - one.now)) : std::nullopt;
}

}

// Guards against a fingerprint that changes when the same request is resent, for example with another spelling of the
// host, and against equal fingerprints of different requests.
TEST_CASE("a fingerprint depends on the content only", "[crash]")
{
    const request::RequestContent content { .host = "Stock.example:8080", .method = "GET", .target = "/a", .bodyLength = 3, .bodyPrefix = "abc" };
    const core::Fingerprint base = request::fingerprintOf(content);
    request::RequestContent same = content;
    same.host = "stock.example";
    CHECK(request::fingerprintOf(same) == base);
    request::RequestContent other = content;
    other.target = "/ab";
    other.bodyPrefix = "bc";
    CHECK(request::fingerprintOf(other) != base);
    other = content;
    other.bodyLength = std::nullopt;
    CHECK(request::fingerprintOf(other) != base);
    CHECK(request::classFingerprint(base, "one") != request::classFingerprint(base, "two"));
    const std::string longBody(request::maxFingerprintedBodyBytes + 1, 'x');
    other.bodyPrefix = longBody;
    same = other;
    same.bodyPrefix = std::string_view(longBody).substr(0, request::maxFingerprintedBodyBytes);
    CHECK(request::fingerprintOf(other) == request::fingerprintOf(same));
}

// Guards against a request that crashes one server after another because it is retried, and against the quarantine of
// an innocent request that was in flight on the same server.
TEST_CASE("a poison request is quarantined after an isolated second crash, an innocent one is cleared", "[crash]")
{
    rig::OneEngine one({ .servers = 4, .slots = 2 });
    std::map<std::uint64_t, request::SendAttempt> sent;
    for (std::uint64_t id = 1; id <= 8; ++id)
        sent[id] = *find<request::SendAttempt>(one.arrive(id, false, {}, id == 1 ? poison : id == 5 ? innocent
                                                                                                    : id + 100));
    REQUIRE(sent[1].server == sent[5].server);
    one.end(sent[1], AttemptResult::Broken);
    const request::Commands neighbour = one.end(sent[5], AttemptResult::Broken);
    const std::vector<request::CrashObserved> crashes = rig::all<request::CrashObserved>(one.observations);
    REQUIRE(crashes.size() == 2);
    CHECK(crashes[0].inFlight.size() == 2);
    CHECK_FALSE(crashes[0].isolated);

    // Both wait until a server is idle; no other request is sent there.
    CHECK_FALSE(retried(one, neighbour, 5));
    CHECK_FALSE(find<request::SendAttempt>(one.timer(1, milliseconds(5))));
    std::map<std::uint64_t, request::SendAttempt> isolated;
    for (std::uint64_t id : { 2, 6, 3, 7, 4, 8 }) {
        for (const request::Command& command : one.answer(sent[id])) {
            if (const auto* attempt = std::get_if<request::SendAttempt>(&command))
                isolated[static_cast<std::uint64_t>(attempt->request)] = *attempt;
        }
    }
    REQUIRE(isolated.size() == 2);
    CHECK(isolated[1].server != isolated[5].server);
    for (std::uint64_t id = 20; id < 24; ++id) {
        const auto other = find<request::SendAttempt>(one.arrive(id));
        CHECK((!other || (other->server != isolated[1].server && other->server != isolated[5].server)));
    }

    one.observations.clear();
    CHECK_FALSE(errorOrEmpty(one.end(isolated[1], AttemptResult::Broken))); // the error is delayed by crashErrorDelay
    CHECK(rig::all<request::CrashObserved>(one.observations).front().isolated);
    CHECK(find<request::RelayAnswer>(one.answer(isolated[5])));
    CHECK(rig::all<request::SuspectCleared>(one.observations).size() == 1);
    CHECK(errorOrEmpty(one.arrive(30, false, {}, poison)) == ErrorKind::Quarantined);
    CHECK(errorOrEmpty(one.arrive(31, false, {}, innocent)) != ErrorKind::Quarantined);
    CHECK(errorOrEmpty(one.timer(1, request::EngineOptions().crashErrorDelay)) == ErrorKind::DeadlinePassed);
}

// Guards against a second run of a non-idempotent request that became a suspect when the server broke the connection.
TEST_CASE("a suspect that may have run is not retried when it is non-idempotent", "[crash]")
{
    rig::OneEngine one;
    const auto sent = find<request::SendAttempt>(one.arrive(1, true, one.shared.keys->issue(one.now), poison));
    CHECK_FALSE(find<request::SetTimer>(one.end(*sent, AttemptResult::Broken)));
    CHECK(errorOrEmpty(one.timer(1, std::chrono::seconds(1))) == ErrorKind::DeadlinePassed);
    const auto again = find<request::SendAttempt>(one.arrive(2, true, one.shared.keys->issue(one.now), poison));
    REQUIRE(again); // another key makes it another request, which runs isolated
    one.end(*again, AttemptResult::Broken);
    CHECK(errorOrEmpty(one.arrive(3, true, one.shared.keys->issue(one.now), poison)) == ErrorKind::Quarantined);
}

// Guards against a quarantine that one entry VM keeps up without confirmation by control, and against suspects that
// never expire.
TEST_CASE("suspicion and an unconfirmed quarantine expire", "[crash]")
{
    const core::SteeringTable table;
    const request::CrashOptions options;
    request::CrashRegistry registry(options);
    const core::TimePoint start { std::chrono::hours(1) };
    const core::Fingerprint fingerprint { poison };
    using request::Suspicion;
    for (int i = 0; i < 5; ++i)
        CHECK(registry.onCrash(fingerprint, false, start) == Suspicion::Suspect);
    CHECK(registry.onCrash(fingerprint, true, start) == Suspicion::Quarantined);
    CHECK_FALSE(registry.onSuccess(fingerprint, table, start));
    const core::TimePoint unconfirmed = start + options.quarantineTime;
    CHECK(registry.suspicion(fingerprint, table, unconfirmed) == Suspicion::Suspect);
    core::SteeringTable confirmed;
    confirmed.quarantinedFingerprints.insert(poison);
    CHECK(registry.suspicion(fingerprint, confirmed, unconfirmed) == Suspicion::Quarantined);
    const core::TimePoint end = unconfirmed + options.suspectTime;
    CHECK(registry.suspicion(fingerprint, table, end) == Suspicion::Clear);
    core::SteeringTable peers;
    peers.suspectFingerprints.insert(poison);
    CHECK(registry.suspicion(fingerprint, peers, end) == Suspicion::Suspect);
    CHECK(registry.onSuccess(fingerprint, peers, end));
}

// Guards against a poison request that crashes a server at each entry VM to which its caller resends it, and against
// rejections of innocent requests: exactly two servers crash and all other requests are answered.
TEST_CASE("a poison request sent again through other entry VMs is recognised", "[crash]")
{
    using RealEngine = request::Engine<request::HomeSubset>;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        rig::WorldOptions options { .table = { .servers = 9, .domains = 3 } };
        rig::World<RealEngine> world(options, seed, [&](std::size_t vm, const request::SharedState& shared) { return std::make_unique<RealEngine>(request::EngineOptions {}, request::HomeSubset(), shared, seed * 10 + vm); });
        world.publishEvery(milliseconds(100));
        rig::Callers<RealEngine> callers(world, { .jobs = 600, .spread = std::chrono::seconds(1), .writes = 0, .duplicates = 0 });
        callers.jobs[0].poison = true;
        // The caller's normal retries come within milliseconds; these come after the quarantine has been published.
        for (int i = 0; i < 20; ++i)
            world.scheduler.after(milliseconds(1500 + 100 * i), [&, i] { callers.repeat(0, static_cast<std::size_t>(i) % world.vms.size()); });
        world.scheduler.runUntil(world.scheduler.now() + std::chrono::seconds(5));
        unsigned crashes = 0;
        for (const auto& server : world.servers)
            crashes += server->crashes;
        CHECK(crashes == 2);
        CHECK(world.quarantined.size() == 1);
        CHECK(callers.answeredPercent(false) == 100);
    }
}
