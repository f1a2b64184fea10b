#include "app/metrics.h"

#include "core/errors.h"

#include <sstream>

namespace cranberryshed::app {

namespace {

    void writeMetricHeader(std::ostream& out, std::string_view name, std::string_view type, std::string_view help)
    {
        out << "# HELP cranberryshed_" << name << ' ' << help << "\n# TYPE cranberryshed_" << name << ' ' << type << '\n';
    }

    // Upper bounds of the buckets that are exposed to Prometheus. The internal histogram has finer bins.
    constexpr std::array<double, 14> bucketBoundsSeconds = { 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10, 60 };

    void writeLatency(std::ostream& out, const std::string& className, const wire::LatencyHistogram& histogram)
    {
        std::size_t nextBound = 0;
        std::uint64_t cumulativeCount = 0;
        for (auto&& bin : boost::histogram::indexed(histogram, boost::histogram::coverage::all)) {
            while (nextBound < bucketBoundsSeconds.size() && bin.bin().upper() > bucketBoundsSeconds[nextBound])
                out << "cranberryshed_answer_seconds_bucket{class=\"" << className << "\",le=\"" << bucketBoundsSeconds[nextBound++] << "\"} " << cumulativeCount << '\n';
            cumulativeCount += *bin;
        }
        out << "cranberryshed_answer_seconds_bucket{class=\"" << className << "\",le=\"+Inf\"} " << cumulativeCount << '\n';
        out << "cranberryshed_answer_seconds_count{class=\"" << className << "\"} " << cumulativeCount << '\n';
    }

    void writeTraffic(std::ostream& out, const wire::TrafficMetrics& traffic)
    {
        writeMetricHeader(out, "answers_total", "counter", "Answers of backend servers that were passed on whole, by class and status.");
        for (const auto& [name, counts] : traffic.classes) {
            for (const auto& [status, count] : counts.answers)
                out << "cranberryshed_answers_total{class=\"" << name << "\",status=\"" << status << "\"} " << count << '\n';
        }
        writeMetricHeader(out, "errors_total", "counter", "Answers of the system's own, by class and error kind.");
        for (const auto& [name, counts] : traffic.classes) {
            for (const auto& [kind, count] : counts.errors)
                out << "cranberryshed_errors_total{class=\"" << name << "\",kind=\"" << core::errorInfo(kind).name << "\"} " << count << '\n';
        }
        writeMetricHeader(out, "broken_answers_total", "counter", "Answers that broke off half way, by class.");
        for (const auto& [name, counts] : traffic.classes)
            out << "cranberryshed_broken_answers_total{class=\"" << name << "\"} " << counts.broken << '\n';
        writeMetricHeader(out, "answer_seconds", "histogram", "Time from a request's header to the end of its answer.");
        for (const auto& [name, counts] : traffic.classes)
            writeLatency(out, name, counts.latency);
        writeMetricHeader(out, "lookups_total", "counter", "Look-ups answered.");
        out << "cranberryshed_lookups_total " << traffic.lookups << '\n';
        writeMetricHeader(out, "connections_total", "counter", "Connections accepted from callers.");
        out << "cranberryshed_connections_total " << traffic.connections << '\n';
        writeMetricHeader(out, "bytes_to_callers_total", "counter", "Bytes of answers written to callers.");
        out << "cranberryshed_bytes_to_callers_total " << traffic.bytesToCallers << '\n';
    }

    void writePeer(std::ostream& out, const wire::PeerCounters& counters)
    {
        writeMetricHeader(out, "peer_bytes_total", "counter", "Bytes exchanged with other entry VMs.");
        out << "cranberryshed_peer_bytes_total{direction=\"in\"} " << counters.bytesIn << '\n';
        out << "cranberryshed_peer_bytes_total{direction=\"out\"} " << counters.bytesOut << '\n';
        writeMetricHeader(out, "peer_malformed_total", "counter", "Messages of other entry VMs that could not be verified.");
        out << "cranberryshed_peer_malformed_total " << counters.malformed << '\n';
    }

    void writeWatches(std::ostream& out, const std::vector<app::WatchState>& watches)
    {
        writeMetricHeader(out, "store_knowledge_age_seconds", "gauge", "Time since the store last confirmed what is known of a kind of objects, by kind.");
        for (const app::WatchState& watch : watches) {
            if (watch.confirmedAgo)
                out << "cranberryshed_store_knowledge_age_seconds{kind=\"" << watch.kind << "\"} " << std::chrono::duration<double>(*watch.confirmedAgo).count() << '\n';
        }
    }

    void writeTable(std::ostream& out, const core::SteeringTable& table)
    {
        std::array<std::uint64_t, core::enumeratorCount<core::ServerState>()> servers {};
        std::array<std::uint64_t, core::enumeratorCount<core::MemberState>()> members {};
        std::uint64_t inFlight = 0;
        for (const core::ServerEntry& server : table.servers) {
            ++servers[static_cast<std::size_t>(server.state)];
            inFlight += server.slotCounter ? server.slotCounter->inFlight() : 0;
        }
        for (const core::MemberEntry& member : table.members)
            ++members[static_cast<std::size_t>(member.state)];
        writeMetricHeader(out, "servers", "gauge", "Backend servers by state, as this entry VM sees them.");
        for (std::size_t i = 0; i < servers.size(); ++i)
            out << "cranberryshed_servers{state=\"" << core::Names<core::ServerState>::values[i] << "\"} " << servers[i] << '\n';
        writeMetricHeader(out, "members", "gauge", "Entry VMs by state, as this one sees them.");
        for (std::size_t i = 0; i < members.size(); ++i)
            out << "cranberryshed_members{state=\"" << core::Names<core::MemberState>::values[i] << "\"} " << members[i] << '\n';
        writeMetricHeader(out, "in_flight", "gauge", "Requests of this entry VM at backend servers.");
        out << "cranberryshed_in_flight " << inFlight << '\n';
        writeMetricHeader(out, "configuration_revision", "gauge", "Highest revision of a declaration in force.");
        out << "cranberryshed_configuration_revision " << table.configurationRevision << '\n';
        writeMetricHeader(out, "quarantined", "gauge", "Requests quarantined because they crash backend servers.");
        out << "cranberryshed_quarantined " << table.quarantinedFingerprints.size() << '\n';
        writeMetricHeader(out, "crash_records", "gauge", "Requests that have crashed backend servers, as far as the entry VMs remember them.");
        out << "cranberryshed_crash_records " << table.crashRecords.size() << '\n';
    }

}

std::string metricsText(const ControlView& control, const wire::TrafficMetrics& traffic)
{
    std::ostringstream out;
    writeTraffic(out, traffic);
    writePeer(out, control.peer.counters());
    writeMetricHeader(out, "store_up", "gauge", "1 while the platform's store answers; only meaningful on a watcher.");
    out << "cranberryshed_store_up " << (control.store.isUp ? 1 : 0) << '\n';
    writeMetricHeader(out, "store_era", "gauge", "How often the platform's store has come back from a copy, as its answers state it; 0 if they don't.");
    out << "cranberryshed_store_era " << control.store.era << '\n';
    writeWatches(out, control.store.watches);
    if (control.state.published.table)
        writeTable(out, *control.state.published.table);
    return out.str();
}

}
