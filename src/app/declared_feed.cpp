#include "app/declared_feed.h"

#include "core/hash.h"
#include "declare/kinds.h"
#include "declare/parse.h"
#include "declare/server_list_object.h"

namespace cranberryshed::app {

namespace {

    // Whether the address block table is built from objects of this kind: it maps blocks of caller addresses to sites.
    bool affectsAddressBlocks(std::string_view kind)
    {
        return kind == core::nameOf(declare::Kind::Site) || kind == core::nameOf(declare::Kind::Blocks);
    }

}

DeclaredFeed::DeclaredFeed(wire::asio::io_context& context, wire::PeerNode& peerNode, const ControlState& controlState, Options options)
    : peer(peerNode)
    , state(controlState)
    , storeSync(
          context, options.store,
          [this](core::Object object) { this->peer.publish(std::move(object)); },
          [this](const core::ServerList& list) { this->peer.publish(declare::serverListObject(list)); })
    , healthPoller(context, options.health, [this](control::HealthReport report) { this->pendingReports.push_back(std::move(report)); })
    , statusWriter(context, this->storeSync.client(), { .holder = options.store.writer }, [this] { return this->computeCurrentStatus(); })
{
}

void DeclaredFeed::stop()
{
    this->statusWriter.setCompeting(false);
    this->storeSync.stop();
    this->healthPoller.setServers({});
}

void DeclaredFeed::updateInputs(const fleet::Snapshot& snapshot, bool objectsChanged, control::ControlInputs& inputs, core::TimePoint)
{
    if (objectsChanged)
        this->readObjects(snapshot, inputs);
    inputs.healthReports = std::exchange(this->pendingReports, {});
    this->storeSync.setWatching(snapshot.isStoreWatcher);
    this->statusWriter.setCompeting(snapshot.isStoreWatcher);
}

void DeclaredFeed::onPublished()
{
    this->publishLeavingServers();
    this->pollHomeServers();
}

StoreState DeclaredFeed::storeState(core::TimePoint now) const
{
    return { .isUp = this->storeSync.storeIsUp(), .isWatching = this->storeSync.isWatching(), .holdsStatusLease = this->statusWriter.holdsLease(now) };
}

void DeclaredFeed::readObjects(const fleet::Snapshot& snapshot, control::ControlInputs& inputs)
{
    std::vector<core::Object> declared;
    std::uint64_t newDeclarationsHash = 0;
    std::uint64_t newAddressBlocksHash = 0;
    for (const std::shared_ptr<const core::Object>& object : snapshot.objects) {
        const std::optional<core::ServerList> list = declare::serverListFromObject(*object, wire::steadyNow());
        if (list && list->version > inputs.serverList.version)
            inputs.serverList = *list;
        if (list)
            continue;
        const std::uint64_t version = core::hashCombine(object->version.revision, object->version.version);
        const std::uint64_t objectHash = core::hashCombine(core::hashBytes(object->kind + '/' + object->name), version);
        newDeclarationsHash = core::hashCombine(newDeclarationsHash, objectHash);
        if (affectsAddressBlocks(object->kind))
            newAddressBlocksHash = core::hashCombine(newAddressBlocksHash, objectHash);
        declared.push_back(*object);
    }
    // Unchanged declarations keep their pointer; the pipeline compares it and rebuilds nothing.
    if (newDeclarationsHash == std::exchange(this->declarationsHash, newDeclarationsHash))
        return;
    // Building the table of millions of address blocks takes a second, so changes of other kinds reuse the old table.
    const bool keepBlocks = newAddressBlocksHash == std::exchange(this->addressBlocksHash, newAddressBlocksHash) && this->state.published.table;
    inputs.blocks = keepBlocks ? this->state.published.table->addressBlocks : nullptr;
    std::vector<declare::Problem> problems;
    auto declarations = std::make_shared<const core::Declarations>(declare::parseDeclarations(declared, &problems));
    for (const declare::Problem& problem : problems)
        wire::log(core::LogComponent::Control, spdlog::level::warn, "declaration ignored: {}: {}", problem.path, problem.text);
    if (!declarations->classes.empty() || inputs.declarations)
        inputs.declarations = std::move(declarations);
}

void DeclaredFeed::publishLeavingServers()
{
    const std::set<std::string> leaving(this->state.published.leavingServers.begin(), this->state.published.leavingServers.end());
    for (const std::string& server : leaving) {
        if (!this->publishedLeavingServers.contains(server))
            this->peer.publish(fleet::Item { .kind = fleet::ItemKind::Leaving, .key = server, .remaining = fleet::itemLifetime });
    }
    this->publishedLeavingServers = leaving;
}

void DeclaredFeed::pollHomeServers()
{
    std::map<std::string, std::string> servers;
    for (const core::ServerEntry& server : this->state.published.table->servers) {
        if (server.isHome)
            servers.emplace(server.name, server.address);
    }
    this->healthPoller.setServers(servers);
}

std::optional<declare::FleetStatus> DeclaredFeed::computeCurrentStatus() const
{
    if (!this->state.published.table)
        return std::nullopt;
    return computeStatus(this->state.inputs, this->state.published, wire::wallNow());
}

}
