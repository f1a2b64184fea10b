#include "app/dump.h"

#include "core/errors.h"
#include "request/fingerprint.h"

namespace cranberryshed::app {

namespace json = boost::json;

namespace {

    std::int64_t milliseconds(core::Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    json::array dumpServers(const core::SteeringTable& table, core::TimePoint now)
    {
        json::array rows;
        for (const core::ServerEntry& server : table.servers) {
            json::object row {
                { "name", server.name },
                { "address", server.address },
                { "service", server.service },
                { "batch", server.batch },
                { "failureDomain", table.at(server.domain).name },
                { "state", core::nameOf(server.state) },
                { "slots", server.slots },
                { "inFlight", server.slotCounter ? server.slotCounter->inFlight() : 0 },
                { "warmth", server.warmth },
                { "home", server.isHome },
                { "usableCold", server.isUsableCold },
            };
            if (server.report) {
                row["reportedInFlight"] = server.report->inFlight;
                row["reportAgeMs"] = milliseconds(now - server.report->receivedAt);
            }
            rows.push_back(std::move(row));
        }
        return rows;
    }

    json::array dumpClasses(const core::SteeringTable& table)
    {
        json::array rows;
        for (const core::ClassEntry& entry : table.classes) {
            json::object shares;
            for (std::size_t i = 0; i < entry.regionShares.size(); ++i)
                shares[table.regions[i].name] = entry.regionShares[i];
            rows.push_back(json::object {
                { "name", entry.name },
                { "service", entry.service },
                { "repeat", core::nameOf(entry.idempotency) },
                { "length", core::nameOf(entry.length) },
                { "deadlineMs", milliseconds(entry.deadline) },
                { "targetLatencyMs", milliseconds(entry.targetLatency) },
                { "headroom", entry.headroom },
                { "servers", entry.servers.size() },
                { "regionShares", std::move(shares) },
            });
        }
        return rows;
    }

    json::array dumpCrashRecords(const core::SteeringTable& table, core::TimePoint now)
    {
        json::array rows;
        for (const auto& [fingerprint, record] : table.crashRecords) {
            rows.push_back(json::object {
                { "fingerprint", request::formatFingerprint(core::Fingerprint { fingerprint }) },
                { "crashes", record.count },
                { "ageMs", milliseconds(now - record.lastAt) },
            });
        }
        return rows;
    }

    json::array dumpMembers(const core::SteeringTable& table)
    {
        json::array rows;
        for (const core::MemberEntry& member : table.members) {
            rows.push_back(json::object {
                { "name", member.name },
                { "address", member.address },
                { "failureDomain", table.at(member.domain).name },
                { "state", core::nameOf(member.state) },
                { "incarnation", static_cast<std::uint64_t>(member.incarnation) },
            });
        }
        return rows;
    }

    json::array dumpDrains(const std::vector<control::DrainReport>& drains)
    {
        json::array rows;
        for (const control::DrainReport& drain : drains) {
            rows.push_back(json::object {
                { "batch", drain.batch },
                { "state", core::nameOf(drain.state) },
                { "share", drain.share },
                { "finishUnixMs", drain.expectedFinish.time_since_epoch().count() },
                { "contractEndUnixMs", drain.contractEnd.time_since_epoch().count() },
            });
        }
        return rows;
    }

    json::object dumpTraffic(const wire::TrafficMetrics& traffic)
    {
        json::object classes;
        for (const auto& [name, counts] : traffic.classes) {
            json::object answers;
            for (const auto& [status, count] : counts.answers)
                answers[std::to_string(status)] = count;
            json::object errors;
            for (const auto& [kind, count] : counts.errors)
                errors[core::errorInfo(kind).name] = count;
            classes[name.empty() ? "none" : name] = json::object {
                { "answers", std::move(answers) },
                { "errors", std::move(errors) },
                { "broken", counts.broken },
                { "p50Ms", wire::quantile(counts.latency, 0.5) * 1e3 },
                { "p99Ms", wire::quantile(counts.latency, 0.99) * 1e3 },
            };
        }
        return { { "classes", std::move(classes) }, { "lookups", traffic.lookups }, { "connections", traffic.connections } };
    }

    json::array dumpWatches(const std::vector<WatchState>& watches)
    {
        json::array rows;
        for (const WatchState& watch : watches) {
            json::object row { { "kind", watch.kind }, { "up", watch.isUp } };
            if (watch.confirmedAgo)
                row["confirmedAgoMs"] = milliseconds(*watch.confirmedAgo);
            rows.push_back(std::move(row));
        }
        return rows;
    }

    json::object dumpOrigin(const core::ConfigurationOrigin& origin, core::TimePoint now)
    {
        json::object row { { "source", core::nameOf(origin.source) }, { "peer", origin.peer }, { "era", origin.position.era }, { "revision", origin.position.revision } };
        if (origin.confirmedAt)
            row["confirmedAgoMs"] = milliseconds(now - *origin.confirmedAt);
        return row;
    }

    json::object dumpPeer(const wire::PeerCounters& counters)
    {
        return {
            { "messagesIn", counters.messagesIn },
            { "messagesOut", counters.messagesOut },
            { "bytesIn", counters.bytesIn },
            { "bytesOut", counters.bytesOut },
            { "malformed", counters.malformed },
            { "dropped", counters.dropped },
        };
    }

}

json::object dumpState(const ControlView& control, const wire::TrafficMetrics& traffic, core::TimePoint now)
{
    json::object result;
    const core::SteeringTablePointer& table = control.state.published.table;
    result["ready"] = static_cast<bool>(table);
    result["storeUp"] = control.store.isUp;
    result["watchesStore"] = control.store.isWatching;
    result["storeEra"] = control.store.era;
    result["holdsStatusLease"] = control.store.holdsStatusLease;
    result["configurationRevision"] = table ? table->configurationRevision : 0;
    result["watches"] = dumpWatches(control.store.watches);
    if (table && table->configurationOrigin)
        result["configurationOrigin"] = dumpOrigin(*table->configurationOrigin, now);
    result["peer"] = dumpPeer(control.peer.counters());
    result["traffic"] = dumpTraffic(traffic);
    if (!table)
        return result;
    result["generation"] = table->generation;
    result["leaving"] = table->leaving;
    result["classes"] = dumpClasses(*table);
    result["servers"] = dumpServers(*table, now);
    result["members"] = dumpMembers(*table);
    result["fleetSize"] = table->fleetSize;
    result["drains"] = dumpDrains(control.state.published.drains);
    json::array warnings;
    for (const std::string& warning : control.state.published.warnings)
        warnings.emplace_back(warning);
    result["warnings"] = std::move(warnings);
    result["quarantined"] = table->quarantinedFingerprints.size();
    result["suspects"] = table->suspectFingerprints.size();
    result["crashRecords"] = dumpCrashRecords(*table, now);
    return result;
}

}
