#include "rig/callers.h"
#include "rig/engine_harness.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace request = cranberryshed::request;
namespace rig = cranberryshed::rig;
using core::AttemptResult;
using core::ErrorKind;
using rig::findCommand;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t poison = 666;
constexpr std::uint64_t innocent = 42;

std::optional<ErrorKind> errorOrEmpty(const request::Commands& commands)
{
    const auto reject = findCommand<request::Reject>(commands);
    return reject ? std::optional(reject->error) : std::nullopt;
}

std::optional<request::SendAttempt> retried(rig::EngineHarness& harness, const request::Commands& commands, std::uint64_t id)
{
    const auto wait = findCommand<request::SetTimer>(commands);
    return wait ? findCommand<request::SendAttempt>(harness.fireTimer(id, wait->time - harness.now)) : std::nullopt;
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
    rig::EngineHarness harness({ .servers = 4, .slots = 2 });
    std::map<std::uint64_t, request::SendAttempt> sent;
    for (std::uint64_t id = 1; id <= 8; ++id)
        sent[id] = *findCommand<request::SendAttempt>(harness.arrive(id, false, {}, id == 1 ? poison : id == 5 ? innocent
                                                                                                               : id + 100));
    REQUIRE(sent[1].server == sent[5].server);
    harness.endAttempt(sent[1], AttemptResult::Broken);
    const request::Commands neighbour = harness.endAttempt(sent[5], AttemptResult::Broken);
    const std::vector<request::CrashObserved> crashes = rig::observationsOf<request::CrashObserved>(harness.observations);
    REQUIRE(crashes.size() == 2);
    CHECK(crashes[0].inFlight.size() == 2);
    CHECK_FALSE(crashes[0].isolated);

    // Both wait until a server is idle; no other request is sent there.
    CHECK_FALSE(retried(harness, neighbour, 5));
    CHECK_FALSE(findCommand<request::SendAttempt>(harness.fireTimer(1, milliseconds(5))));
    std::map<std::uint64_t, request::SendAttempt> isolated;
    for (std::uint64_t id : { 2, 6, 3, 7, 4, 8 }) {
        for (const request::Command& command : harness.answer(sent[id])) {
            if (const auto* attempt = std::get_if<request::SendAttempt>(&command))
                isolated[static_cast<std::uint64_t>(attempt->request)] = *attempt;
        }
    }
    REQUIRE(isolated.size() == 2);
    CHECK(isolated[1].server != isolated[5].server);
    for (std::uint64_t id = 20; id < 24; ++id) {
        const auto other = findCommand<request::SendAttempt>(harness.arrive(id));
        CHECK((!other || (other->server != isolated[1].server && other->server != isolated[5].server)));
    }

    harness.observations.clear();
    CHECK_FALSE(errorOrEmpty(harness.endAttempt(isolated[1], AttemptResult::Broken))); // the error is delayed by crashErrorDelay
    CHECK(rig::observationsOf<request::CrashObserved>(harness.observations).front().isolated);
    CHECK(findCommand<request::RelayAnswer>(harness.answer(isolated[5])));
    CHECK(rig::observationsOf<request::SuspectCleared>(harness.observations).size() == 1);
    CHECK(errorOrEmpty(harness.arrive(30, false, {}, poison)) == ErrorKind::Quarantined);
    CHECK(errorOrEmpty(harness.arrive(31, false, {}, innocent)) != ErrorKind::Quarantined);
    CHECK(errorOrEmpty(harness.fireTimer(1, request::EngineOptions().crashErrorDelay)) == ErrorKind::DeadlinePassed);
}

// Guards against a second run of a non-idempotent request that became a suspect when the server broke the connection.
TEST_CASE("a suspect that may have run is not retried when it is non-idempotent", "[crash]")
{
    rig::EngineHarness harness;
    const auto sent = findCommand<request::SendAttempt>(harness.arrive(1, true, harness.shared.keys->issue(harness.now), poison));
    CHECK_FALSE(findCommand<request::SetTimer>(harness.endAttempt(*sent, AttemptResult::Broken)));
    CHECK(errorOrEmpty(harness.fireTimer(1, std::chrono::seconds(1))) == ErrorKind::DeadlinePassed);
    const auto again = findCommand<request::SendAttempt>(harness.arrive(2, true, harness.shared.keys->issue(harness.now), poison));
    REQUIRE(again); // another key makes it another request, which runs isolated
    harness.endAttempt(*again, AttemptResult::Broken);
    CHECK(errorOrEmpty(harness.arrive(3, true, harness.shared.keys->issue(harness.now), poison)) == ErrorKind::Quarantined);
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
        rig::EngineSimulationOptions options { .table = { .servers = 9, .domains = 3 } };
        rig::EngineSimulation<RealEngine> simulation(options, seed, [&](std::size_t vm, const request::SharedState& shared) { return std::make_unique<RealEngine>(request::EngineOptions {}, request::HomeSubset(), shared, seed * 10 + vm); });
        simulation.publishTablesEvery(milliseconds(100));
        rig::Callers<RealEngine> callers(simulation, { .jobCount = 600, .startPeriod = std::chrono::seconds(1), .nonIdempotentShare = 0, .duplicateShare = 0 });
        callers.jobs[0].isPoison = true;
        // The caller's normal retries come within milliseconds; these come after the quarantine has been published.
        for (int i = 0; i < 20; ++i)
            simulation.scheduler.after(milliseconds(1500 + 100 * i), [&, i] { callers.resend(0, static_cast<std::size_t>(i) % simulation.vms.size()); });
        simulation.scheduler.runUntil(simulation.scheduler.now() + std::chrono::seconds(5));
        unsigned crashes = 0;
        for (const auto& server : simulation.servers)
            crashes += server->crashCount;
        CHECK(crashes == 2);
        CHECK(simulation.quarantinedFingerprints.size() == 1);
        CHECK(callers.answeredPercent(false) == 100);
    }
}
