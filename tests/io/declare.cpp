#include "declare/consistency.h"
#include "declare/files.h"
#include "declare/fleet_status.h"
#include "declare/parse.h"
#include "declare/serialize.h"
#include "declare/text_formats.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <random>
#include <sstream>

namespace core = cranberryshed::core;
namespace declare = cranberryshed::declare;
namespace json = boost::json;
using declare::Kind;
using declare::UnknownKeys;

namespace {

const core::WallTime now = *declare::parseTime("2026-12-04T12:00:00Z");

std::string exampleText(const std::string& file)
{
    std::ostringstream text;
    text << std::ifstream(SOURCE_DIR "/examples/" + file).rdbuf();
    return text.str();
}

core::Declarations foundryDeclarations()
{
    return declare::parseDeclarations(declare::readFiles({ SOURCE_DIR "/examples/foundry" }).objects);
}

// Changes a copy of the foundry's declarations and returns its problems, one per line.
template <typename ChangeType>
std::string problemsAfter(const ChangeType& change, const declare::ConsistencyOptions& options = { .now = now, .unchanged = {}, .servers = nullptr })
{
    core::Declarations declarations = foundryDeclarations();
    change(declarations);
    std::string text;
    for (const declare::Problem& problem : declare::checkConsistency(declarations, options))
        text += problem.path + ": " + problem.text + '\n';
    return text;
}

// Runs all checks of commands and members on the text of a file. Requires that each problem has a path and a text.
// Returns the number of problems.
std::size_t checkText(const std::string& text)
{
    declare::FileObjects files;
    declare::readText(text, "fuzz.json", files);
    std::vector<declare::Problem> problems = files.problems;
    for (const core::Object& object : files.objects) {
        std::vector<declare::Problem> contentProblems = declare::checkContent(*core::parseName<Kind>(object.kind), object.name, json::parse(object.content), UnknownKeys::Refuse);
        problems.insert(problems.end(), contentProblems.begin(), contentProblems.end());
    }
    core::Declarations loaded = declare::parseDeclarations(files.objects, &problems);
    std::vector<declare::Problem> consistencyProblems = declare::checkConsistency(loaded, { .now = now, .unchanged = {}, .servers = nullptr });
    problems.insert(problems.end(), consistencyProblems.begin(), consistencyProblems.end());
    for (const declare::Problem& problem : problems)
        REQUIRE((!problem.path.empty() && !problem.text.empty()));
    return problems.size();
}

json::value randomValue(core::RandomEngine& random)
{
    switch (random() % 9) {
    case 0:
        return nullptr;
    case 1:
        return random() % 2 == 0;
    case 2:
        return static_cast<std::int64_t>(random());
    case 3:
        return -1.5e300;
    case 4:
        return json::array { "x", 1, nullptr };
    case 5:
        return json::object { { "to", 5 } };
    case 6:
        return "";
    case 7:
        return json::string(random() % 200, 'a');
    default:
        return "no-such-name";
    }
}

}

// Guards against a problem that is reported without its path or the allowed values, or only after another one has been
// corrected.
TEST_CASE("all problems of an object are reported at once", "[declare]")
{
    json::value content = json::parse(R"({ "service": "a b", "methods": [ "GET", "get" ], "pathPrefix": "x", "repeat": "sometimes", "length": 3, "deadlineMs": 0, "typicalBytes": 1.5, "deadline": 5 })");
    std::vector<declare::Problem> problems = declare::checkContent(Kind::Class, "clone", content, UnknownKeys::Refuse);
    std::vector<std::string> paths;
    paths.reserve(problems.size());
    for (const declare::Problem& problem : problems)
        paths.push_back(problem.path);
    CHECK(paths == std::vector<std::string> { "class/clone service", "class/clone methods[1]", "class/clone pathPrefix", "class/clone repeat", "class/clone length", "class/clone deadlineMs", "class/clone typicalBytes", "class/clone deadline" });
    CHECK(problems.at(3).text == "must be one of idempotent, non-idempotent");
    CHECK(problems.at(5).text == "must be a number from 1 to 86400000");
    std::vector<declare::Problem> link = declare::checkContent(Kind::Region, "jyl", json::parse(R"({ "links": [ { "to": "sjl", "delayMs": -1, "capacityMbit": 280 } ] })"), UnknownKeys::Refuse);
    REQUIRE(link.size() == 1);
    CHECK(link[0].path == "region/jyl links[0].delayMs");
}

// Guards against a member that ignores a declaration because a newer version of the program added a key to it.
TEST_CASE("commands refuse unknown keys and members ignore them", "[declare]")
{
    core::Object site { .kind = "site", .name = "randers", .version = { .revision = 3, .version = 1 }, .deleted = false, .content = R"({"nearestDomains":["jyl-1"],"newKey":1})" };
    CHECK(declare::checkContent(Kind::Site, "randers", json::parse(site.content), UnknownKeys::Refuse).size() == 1);
    std::vector<declare::Problem> problems;
    core::Declarations loaded = declare::parseDeclarations(std::vector<core::Object> { site }, &problems);
    CHECK(loaded.sites.size() == 1);
    CHECK(loaded.revision == 3);
    CHECK(problems.empty());
}

// Guards against one malformed object in the store that makes all declarations unusable.
TEST_CASE("a malformed object is skipped and the others are loaded", "[declare]")
{
    std::vector<core::Object> objects {
        { .kind = "region", .name = "jyl", .version = {}, .deleted = false, .content = "{}" },
        { .kind = "region", .name = "sjl", .version = {}, .deleted = false, .content = "{" },
        { .kind = "region", .name = "alp", .version = {}, .deleted = true, .content = "" },
        { .kind = "class", .name = "clone", .version = {}, .deleted = false, .content = "[]" },
        { .kind = "no-such-kind", .name = "x", .version = {}, .deleted = false, .content = "{}" },
    };
    std::vector<declare::Problem> problems;
    core::Declarations loaded = declare::parseDeclarations(objects, &problems);
    CHECK(loaded.regions.size() == 1);
    CHECK(loaded.classes.empty());
    CHECK(problems.size() == 2);
}

// Guards against a target that is accepted although it can't be met, and against a problem reported without its reason.
TEST_CASE("a target that can't be satisfied is refused with its reason", "[declare]")
{
    CHECK(problemsAfter([](core::Declarations&) {}).empty());
    CHECK(problemsAfter([](core::Declarations& d) { d.targets[0].headroom = 1; }) == "target/stock-lookup headroomPercent: can't be satisfied: 100 % leaves no capacity for the class\n");
    CHECK(problemsAfter([](core::Declarations& d) { d.targets[0].className = "bell-polish"; }) == "target/bell-polish class: \"bell-polish\" is not declared\n");
    CHECK(problemsAfter([](core::Declarations& d) { d.targets[0].allowedRegions = { "fyn" }; }) == "target/stock-lookup allowedRegions: \"fyn\" is not declared\ntarget/stock-lookup allowedRegions: can't be satisfied: no allowed region has a failure domain\n");
    CHECK(problemsAfter([](core::Declarations& d) { d.targets.push_back(d.targets[0]); }) == "target/stock-lookup class: \"stock-lookup\" has more than one target\n");
    CHECK(problemsAfter([](core::Declarations& d) { d.batches[0].contractEnd = now; }) == "batch/ledger-2024 contractEnd: 2026-12-04T12:00:00Z is in the past\n");
    CHECK(problemsAfter([](core::Declarations& d) { d.batches[0].replacement = "mould-2025"; }) == "batch/ledger-2024 replacement: \"mould-2025\" belongs to service \"mould\"\n");
    CHECK(problemsAfter([](core::Declarations& d) { d.domains[0].region = "fyn"; }) == "domain/jyl-1 region: \"fyn\" is not declared\n");
    CHECK(problemsAfter([](core::Declarations& d) { d.sites[0].nearestDomains = { "fyn-1" }; }) == "site/randers-farm-coop nearestDomains: \"fyn-1\" is not declared\n");
    CHECK(problemsAfter([](core::Declarations& d) { d.blocks[0].site = "fyn"; }) == "blocks of fyn site: \"fyn\" is not declared\n");
    CHECK(problemsAfter([](core::Declarations& d) { d.blocks[1].firstAddress = d.blocks[0].firstAddress; d.blocks[1].prefixLength = d.blocks[0].prefixLength; d.blocks[1].site = "roskilde-dealers"; }).find("also belongs to site") != std::string::npos);
}

// Guards against an accepted shift cap under which a batch can't be drained before its contract ends.
TEST_CASE("a shift cap is refused if a drain can't end before the contract", "[declare]")
{
    // At 2 % per minute, the drain takes 50 minutes. The last order can then run for 5 s.
    auto endsIn = [](core::Duration left) {
        return [left](core::Declarations& d) { d.batches[0].contractEnd = now + std::chrono::duration_cast<std::chrono::milliseconds>(left); };
    };
    CHECK(problemsAfter(endsIn(std::chrono::minutes(51))).empty());
    std::string refused = problemsAfter(endsIn(std::chrono::minutes(40)));
    CHECK(refused.find("target/casting-order shiftCapPercentPerMinute: can't be satisfied: draining batch \"ledger-2024\" takes 51 min under this cap, but its contract ends in 40 min\n") != std::string::npos);
    // A batch with a quarter of the service's slots needs a quarter of the time.
    core::ServerList servers;
    for (int i = 0; i < 4; ++i)
        servers.servers.push_back({ .name = std::to_string(i), .address = {}, .service = "ledger", .batch = i == 0 ? "ledger-2024" : "ledger-2027", .domain = {} });
    CHECK(problemsAfter(endsIn(std::chrono::minutes(40)), { .now = now, .unchanged = {}, .servers = &servers }).empty());
    // Declarations that were accepted before are not refused because time has passed.
    std::set<std::string> unchanged { "batch/ledger-2024", "target/casting-order", "target/stock-lookup" };
    CHECK(problemsAfter(endsIn(std::chrono::minutes(-1)), { .now = now, .unchanged = unchanged, .servers = nullptr }).empty());
    CHECK(problemsAfter(endsIn(std::chrono::minutes(40)), { .now = now, .unchanged = unchanged, .servers = nullptr }).empty());
}

// Guards against a crash, or a problem without a path or a text, when a file is damaged: bytes are changed, removed or
// repeated at random.
TEST_CASE("a damaged file never causes a crash or a problem without a reason", "[declare]")
{
    for (std::string file : { "foundry/classes.json", "foundry/batches.json", "foundry/regions.json", "schools/sites.json" }) {
        const std::string text = exampleText(file);
        for (std::uint64_t seed = 1; seed <= 150; ++seed) {
            core::RandomEngine random(seed);
            std::string damaged = text;
            for (unsigned i = 0; i <= random() % 4; ++i) {
                std::size_t position = random() % damaged.size();
                if (random() % 3 == 0)
                    damaged.erase(position, 1 + random() % 20);
                else if (random() % 2 == 0)
                    damaged[position] = static_cast<char>(random() % 256);
                else
                    damaged.insert(position, damaged.substr(random() % damaged.size(), 30));
            }
            checkText(damaged);
        }
    }
    CHECK(checkText(std::string(100'000, '[')) == 1);
    CHECK(checkText("") == 1);
}

// Guards against a value of a wrong type that the schema accepts, and against declarations that are checked differently
// when they are read from a file and when they are loaded from the store.
TEST_CASE("a value of a wrong type is refused", "[declare]")
{
    core::RandomEngine random(7);
    for (const core::Object& object : declare::readFiles({ SOURCE_DIR "/examples/foundry" }).objects) {
        Kind kind = *core::parseName<Kind>(object.kind);
        json::object content = json::parse(object.content).as_object();
        for (const auto& member : content) {
            for (int i = 0; i < 30; ++i) {
                json::object changed = content;
                changed[member.key()] = randomValue(random);
                std::vector<declare::Problem> contentProblems = declare::checkContent(kind, object.name, changed, UnknownKeys::Refuse);
                std::vector<declare::Problem> loadProblems;
                core::Object stored { .kind = object.kind, .name = object.name, .version = {}, .deleted = false, .content = json::serialize(changed) };
                declare::parseDeclarations(std::vector<core::Object> { stored }, &loadProblems);
                CHECK(contentProblems.size() == loadProblems.size());
                if (changed[member.key()].kind() != member.value().kind() && !(changed[member.key()].is_number() && member.value().is_number()))
                    CHECK_FALSE(contentProblems.empty());
            }
        }
    }
}

// Guards against malformed times, prefixes and addresses that are accepted or parsed as other values.
TEST_CASE("times, prefixes and addresses are parsed exactly or refused", "[declare]")
{
    CHECK(declare::formatTime(*declare::parseTime("2028-02-29T23:59:59Z")) == "2028-02-29T23:59:59Z");
    for (const char* text : { "2027-02-29T00:00:00Z", "2027-13-01T00:00:00Z", "2027-01-01T24:00:00Z", "2027-01-01T00:00:00", "2027-01-01", "", "2027-01-01t00:00:00Z" })
        CHECK_FALSE(declare::parseTime(text));
    core::RandomEngine random(3);
    for (int i = 0; i < 500; ++i) {
        auto length = static_cast<std::uint8_t>(random() % 33);
        std::uint32_t mask = length == 0 ? 0 : ~0U << (32U - length);
        declare::Prefix prefix { .firstAddress = static_cast<std::uint32_t>(random()) & mask, .length = length };
        std::optional<declare::Prefix> again = declare::parsePrefix(declare::formatPrefix(prefix));
        REQUIRE(again);
        CHECK((again->firstAddress == prefix.firstAddress && again->length == prefix.length));
    }
    for (const char* text : { "10.0.0.0", "10.0.0.0/33", "10.0.0.1/24", "10.0.0/8", "256.0.0.0/8", "10.0.0.0/8x", "1000.0.0.0/8", "-1.0.0.0/8", "/8", "a.b.c.d/8" })
        CHECK_FALSE(declare::parsePrefix(text));
    CHECK(declare::isEndpoint("127.0.0.1:8080"));
    CHECK_FALSE(declare::isEndpoint("127.0.0.1:0"));
    CHECK_FALSE(declare::isEndpoint("localhost:80"));
}

// Guards against a status object that `status` can't read, or reads with other values.
TEST_CASE("a status object is parsed as it was written", "[declare]")
{
    declare::FleetStatus status { .writtenAt = now, .members = 9, .classes = { { .className = "clone", .latency = std::chrono::microseconds(1500), .headroom = 0.25, .requestsPerSecond = 120, .rejectedPerSecond = 0.5 } }, .drains = { { .batch = "repo-core-2025", .remainingShare = 0.5, .expectedEnd = now, .endsInTime = false } } };
    std::optional<declare::FleetStatus> again = declare::parseFleetStatus(declare::fleetStatusObject(status).content);
    REQUIRE(again);
    CHECK(again->classes.at(0).latency == std::chrono::microseconds(1500));
    CHECK(again->drains.at(0).expectedEnd == now);
    CHECK_FALSE(again->drains.at(0).endsInTime);
    CHECK_FALSE(declare::parseFleetStatus("{}"));
}

// Guards against example declarations with problems, and against values that are lost when declarations are converted
// to objects and back.
TEST_CASE("the examples of both users load completely", "[declare]")
{
    for (std::string user : { "foundry", "schools" }) {
        declare::FileObjects files = declare::readFiles({ std::string(SOURCE_DIR) + "/examples/" + user });
        CHECK(files.problems.empty());
        std::vector<declare::Problem> problems;
        core::Declarations loaded = declare::parseDeclarations(files.objects, &problems);
        for (const declare::Problem& problem : problems)
            FAIL_CHECK(problem.path << ": " << problem.text);
        CHECK(loaded.domains.size() == 6);
        CHECK(loaded.targets.size() == loaded.classes.size());
        core::Declarations again = declare::parseDeclarations(declare::declarationObjects(loaded));
        CHECK(again.classes.size() == loaded.classes.size());
        CHECK(again.blocks.size() == loaded.blocks.size());
        CHECK(again.batches.at(0).contractEnd == loaded.batches.at(0).contractEnd);
    }
}
