#include "app/control_loop.h"

#include "core/hash.h"
#include "declare/kinds.h"
#include "declare/load.h"
#include "declare/servers.h"
#include "wire/clock.h"
#include "wire/log.h"

#include <charconv>

namespace cranberryshed::app {

namespace asio = wire::asio;
using wire::Task;
using wire::useResult;

namespace {

    // How long a quarantine, a suspicion or a leaving mark is known to the fleet without being renewed.
    constexpr core::Duration itemLifetime = std::chrono::minutes(10);

    std::string formatFingerprint(core::Fingerprint fingerprint)
    {
        return fmt::format("{:016x}", static_cast<std::uint64_t>(fingerprint));
    }

    // Whether objects of this kind decide which site a caller block belongs to.
    bool isPlace(std::string_view kind)
    {
        return kind == core::nameOf(declare::Kind::Site) || kind == core::nameOf(declare::Kind::Blocks);
    }

    std::optional<core::Fingerprint> parseFingerprint(std::string_view text)
    {
        std::uint64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return core::Fingerprint { value };
    }

}

ControlLoop::ControlLoop(asio::io_context& owner, Options loopOptions, TakeTable tableTaker)
    : context(owner)
    , options(std::move(loopOptions))
    , takeTable(std::move(tableTaker))
    , peerNode(owner, this->options.node)
    , store(
          owner, this->options.store,
          [this](core::Object object) { this->peerNode.publish(std::move(object)); },
          [this](const core::ServerList& list) { this->peerNode.publish(declare::serversObject(list)); })
    , health(owner, this->options.health, [this](control::HealthReport report) { this->sources.health.push_back(std::move(report)); })
    , status(owner, this->store.client(), { .holder = this->options.store.writer }, [this] { return this->measuredStatus(); })
    , timer(owner.get_executor())
{
    this->sources.self = this->options.node.name;
    this->sources.selfDomain = this->options.node.domain;
}

void ControlLoop::start()
{
    this->peerNode.start([this] { this->scheduleRun(); });
    asio::co_spawn(this->context, this->tickLoop(), asio::detached);
}

void ControlLoop::leave()
{
    this->peerNode.leave();
    this->sources.leaving = true;
    this->run();
}

void ControlLoop::stop()
{
    this->stopped = true;
    this->timer.cancel();
    this->status.setCompeting(false);
    this->store.stop();
    this->health.setServers({});
    this->peerNode.stop();
}

Task<void> ControlLoop::tickLoop()
{
    while (!this->stopped) {
        this->run();
        this->timer.expires_after(this->options.interval);
        co_await this->timer.async_wait(useResult);
    }
}

// Several changes at once lead to one run.
void ControlLoop::scheduleRun()
{
    if (std::exchange(this->runScheduled, true))
        return;
    asio::post(this->context, [this] {
        this->runScheduled = false;
        if (!this->stopped)
            this->run();
    });
}

void ControlLoop::run()
{
    const core::TimePoint now = wire::steadyNow();
    const fleet::Snapshot snapshot = this->peerNode.node().snapshot(now);
    const fleet::Changes changes = this->peerNode.node().changes();
    if (!std::exchange(this->objectsRead, true) || changes.objects != this->seen.objects)
        this->readObjects(snapshot);
    this->readMembers(snapshot);
    this->readItems(snapshot);
    this->seen = changes;
    this->sources.demand = this->demand.demand(now);
    this->store.setWatching(snapshot.watcher);
    this->status.setCompeting(snapshot.watcher);
    this->sources.digests = snapshot.digests;
    this->sources.wall = wire::wallNow();
    core::Outcome outcome = this->pipe(this->sources, now);
    this->sources.health.clear();
    this->sources.traffic.clear();
    if (outcome.ended()) {
        wire::log(core::LogPart::Control, spdlog::level::debug, "no new steering table: {}", core::nameOf(outcome.answer()));
        return;
    }
    this->published = std::move(outcome.output());
    this->takeTable(this->published.table);
    this->peerNode.setLoad(this->demand.load(*this->published.table, now));
    this->shareLeavingServers();
    this->pollHomeServers();
}

void ControlLoop::readObjects(const fleet::Snapshot& snapshot)
{
    std::vector<core::Object> declared;
    std::uint64_t hash = 0;
    std::uint64_t places = 0;
    for (const std::shared_ptr<const core::Object>& object : snapshot.objects) {
        const std::optional<core::ServerList> list = declare::serversOf(*object, wire::steadyNow());
        if (list && list->version > this->sources.list.version)
            this->sources.list = *list;
        if (list)
            continue;
        const std::uint64_t version = core::hashCombine(object->version.revision, object->version.version);
        const std::uint64_t state = core::hashCombine(core::hashBytes(object->kind + '/' + object->name), version);
        hash = core::hashCombine(hash, state);
        if (isPlace(object->kind))
            places = core::hashCombine(places, state);
        declared.push_back(*object);
    }
    // Unchanged declarations keep their pointer, which tells the pipeline that nothing has to be rebuilt.
    if (hash == std::exchange(this->declaredHash, hash))
        return;
    // Building the block table of millions of blocks takes a second, so a change of a target does not repeat it.
    const bool keepBlocks = places == std::exchange(this->placesHash, places) && this->published.table;
    this->sources.blocks = keepBlocks ? this->published.table->blocks : nullptr;
    std::vector<declare::Problem> problems;
    auto declarations = std::make_shared<const core::Declarations>(declare::load(declared, &problems));
    for (const declare::Problem& problem : problems)
        wire::log(core::LogPart::Control, spdlog::level::warn, "a declaration is left out: {}: {}", problem.path, problem.text);
    if (!declarations->classes.empty() || this->sources.declarations)
        this->sources.declarations = std::move(declarations);
}

void ControlLoop::readMembers(const fleet::Snapshot& snapshot)
{
    this->sources.members.clear();
    for (const fleet::MemberRecord& member : snapshot.members) {
        if (member.fact.state == core::MemberState::Left)
            continue;
        this->sources.members.push_back({ .name = member.name, .address = member.callerAddress, .domain = member.domain, .state = member.fact.state, .incarnation = member.fact.incarnation });
    }
}

// Quarantines, suspects and leaving servers that any entry VM found out.
void ControlLoop::readItems(const fleet::Snapshot& snapshot)
{
    this->sources.quarantined.clear();
    this->sources.suspects.clear();
    this->sources.leavingServers.clear();
    for (const fleet::Item& item : snapshot.items) {
        if (item.kind == fleet::ItemKind::Leaving) {
            this->sources.leavingServers.push_back(item.key);
            continue;
        }
        const std::optional<core::Fingerprint> fingerprint = parseFingerprint(item.key);
        if (item.kind == fleet::ItemKind::Quarantine && fingerprint)
            this->sources.quarantined.push_back(*fingerprint);
        if (item.kind == fleet::ItemKind::Suspect && fingerprint)
            this->sources.suspects.push_back(*fingerprint);
    }
}

void ControlLoop::shareLeavingServers()
{
    const std::set<std::string> leaving(this->published.leavingServers.begin(), this->published.leavingServers.end());
    for (const std::string& server : leaving) {
        if (!this->sharedLeaving.contains(server))
            this->peerNode.publish(fleet::Item { .kind = fleet::ItemKind::Leaving, .key = server, .remaining = itemLifetime });
    }
    this->sharedLeaving = leaving;
}

void ControlLoop::pollHomeServers()
{
    std::map<std::string, std::string> servers;
    for (const core::ServerEntry& server : this->published.table->servers) {
        if (server.home)
            servers.emplace(server.name, server.address);
    }
    this->health.setServers(servers);
}

std::optional<declare::Status> ControlLoop::measuredStatus() const
{
    if (!this->published.table)
        return std::nullopt;
    return measureStatus(this->sources, this->published, wire::wallNow());
}

void ControlLoop::observe(request::Observations observations)
{
    for (const request::Observation& observation : observations)
        std::visit([this](const auto& typed) { this->take(typed); }, observation);
}

void ControlLoop::take(const request::ServerObserved& observed)
{
    this->sources.traffic.push_back({ .server = observed.server, .at = wire::steadyNow(), .result = observed.result, .elapsed = observed.elapsed, .length = observed.length });
    if (observed.result == core::AttemptResult::Answered)
        this->demand.addAttempt(observed.className, observed.held);
}

// A crash while the request ran alone convicts it for the whole fleet; otherwise it becomes a suspect.
void ControlLoop::take(const request::CrashObserved& crash)
{
    const fleet::ItemKind kind = crash.isolated ? fleet::ItemKind::Quarantine : fleet::ItemKind::Suspect;
    for (const core::Fingerprint fingerprint : crash.inFlight) {
        wire::log(core::LogPart::Control, spdlog::level::warn, "server {} broke while it ran request {}: {}", crash.server, formatFingerprint(fingerprint), core::nameOf(kind));
        this->peerNode.publish(fleet::Item { .kind = kind, .key = formatFingerprint(fingerprint), .remaining = itemLifetime });
    }
}

void ControlLoop::take(const request::SuspectCleared& cleared)
{
    this->peerNode.publish(fleet::Item { .kind = fleet::ItemKind::Suspect, .key = formatFingerprint(cleared.fingerprint), .withdrawn = true, .remaining = itemLifetime });
}

void ControlLoop::take(const request::DemandObserved& observed)
{
    this->demand.addArrivals(observed.className, observed.arrived, observed.rejected, wire::steadyNow());
}

}
