#include "admin/status.h"

#include "declare/parse.h"
#include "declare/text_formats.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>

namespace cranberryshed::admin {

namespace json = boost::json;

namespace {

    // An older status is marked as stale: a member writes a new one every 10 s.
    constexpr auto maxStatusAge = std::chrono::seconds(60);

    template <typename List, typename Matches>
    auto find(const List& list, const Matches& matches) -> const typename List::value_type*
    {
        auto position = std::find_if(list.begin(), list.end(), matches);
        return position == list.end() ? nullptr : &*position;
    }

    const declare::ClassStatus* measuredClass(const StatusView& view, const std::string& name)
    {
        return view.measured ? find(view.measured->classes, [&](const declare::ClassStatus& entry) { return entry.className == name; }) : nullptr;
    }

    const declare::DrainStatus* measuredDrain(const StatusView& view, const std::string& name)
    {
        return view.measured ? find(view.measured->drains, [&](const declare::DrainStatus& entry) { return entry.batch == name; }) : nullptr;
    }

    bool isMet(const core::TargetDeclaration& target, const declare::ClassStatus& measured)
    {
        return measured.latency <= target.latency && measured.headroom >= target.headroom && measured.rejectedPerSecond == 0;
    }

    double toMilliseconds(core::Duration duration)
    {
        return static_cast<double>(duration.count()) / 1000;
    }

    std::string formatNumber(double value)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.1f", value);
        return text.data();
    }

    void printClass(const core::TargetDeclaration& target, const declare::ClassStatus* measured, std::ostream& output)
    {
        output << "class/" << target.className << ": ";
        if (!measured) {
            output << "not measured; target latency " << formatNumber(toMilliseconds(target.latency)) << " ms, headroom " << formatNumber(target.headroom * 100) << " %\n";
            return;
        }
        output << (isMet(target, *measured) ? "met" : "NOT MET") << "; latency " << formatNumber(toMilliseconds(measured->latency)) << " ms of "
               << formatNumber(toMilliseconds(target.latency)) << " ms, headroom " << formatNumber(measured->headroom * 100) << " % of " << formatNumber(target.headroom * 100)
               << " %, " << formatNumber(measured->requestsPerSecond) << " requests/s, " << formatNumber(measured->rejectedPerSecond) << " rejected/s\n";
    }

    void printBatch(const core::BatchDeclaration& batch, const declare::DrainStatus* drain, std::ostream& output)
    {
        output << "batch/" << batch.name << ": contract ends " << declare::formatTime(batch.contractEnd);
        if (drain)
            output << "; draining, " << formatNumber(drain->remainingShare * 100) << " % left, done by " << declare::formatTime(drain->expectedEnd) << (drain->endsInTime ? "" : ", TOO LATE");
        output << '\n';
    }

    void printText(const StatusView& view, core::WallTime now, std::ostream& output)
    {
        if (!view.measured)
            output << "no status was written yet\n";
        else {
            output << "measured at " << declare::formatTime(view.measured->writtenAt) << " by " << view.measured->members << " members"
                   << (now - view.measured->writtenAt > maxStatusAge ? ", STALE" : "") << '\n';
        }
        for (const core::TargetDeclaration& target : view.declarations.targets)
            printClass(target, measuredClass(view, target.className), output);
        for (const core::BatchDeclaration& batch : view.declarations.batches)
            printBatch(batch, measuredDrain(view, batch.name), output);
    }

    json::object classRow(const core::TargetDeclaration& target, const declare::ClassStatus* measured)
    {
        json::object row { { "class", target.className }, { "targetLatencyMs", toMilliseconds(target.latency) }, { "targetHeadroomPercent", target.headroom * 100 } };
        if (measured) {
            row["met"] = isMet(target, *measured);
            row["latencyMs"] = toMilliseconds(measured->latency);
            row["headroomPercent"] = measured->headroom * 100;
            row["requestsPerSecond"] = measured->requestsPerSecond;
            row["rejectedPerSecond"] = measured->rejectedPerSecond;
        }
        return row;
    }

    json::object batchRow(const core::BatchDeclaration& batch, const declare::DrainStatus* drain)
    {
        json::object row { { "batch", batch.name }, { "contractEnd", declare::formatTime(batch.contractEnd) }, { "draining", drain != nullptr } };
        if (drain) {
            row["remainingPercent"] = drain->remainingShare * 100;
            row["expectedEnd"] = declare::formatTime(drain->expectedEnd);
            row["inTime"] = drain->endsInTime;
        }
        return row;
    }

    void printJson(const StatusView& view, core::WallTime now, std::ostream& output)
    {
        json::array classes;
        for (const core::TargetDeclaration& target : view.declarations.targets)
            classes.emplace_back(classRow(target, measuredClass(view, target.className)));
        json::array batches;
        for (const core::BatchDeclaration& batch : view.declarations.batches)
            batches.emplace_back(batchRow(batch, measuredDrain(view, batch.name)));
        json::object all { { "classes", std::move(classes) }, { "batches", std::move(batches) } };
        if (view.measured) {
            all["writtenAt"] = declare::formatTime(view.measured->writtenAt);
            all["members"] = view.measured->members;
            all["stale"] = now - view.measured->writtenAt > maxStatusAge;
        }
        output << json::serialize(all) << '\n';
    }

}

StatusView fetchStatus(BlockingAdminClient& client)
{
    std::vector<core::Object> objects;
    for (declare::Kind kind : { declare::Kind::Target, declare::Kind::Batch }) {
        for (store::StoredObject& stored : client.list(std::string(core::nameOf(kind))).objects)
            objects.push_back(std::move(stored.object));
    }
    store::StoredObject status = client.get(std::string(core::nameOf(declare::Kind::Status)), declare::fleetStatusName);
    StatusView view { .declarations = declare::parseDeclarations(objects), .measured = {} };
    if (!status.object.deleted)
        view.measured = declare::parseFleetStatus(status.object.content);
    return view;
}

int printStatus(const StatusView& view, const Options& options, std::ostream& output)
{
    if (options.output == OutputFormat::Json)
        printJson(view, options.now, output);
    else
        printText(view, options.now, output);
    return 0;
}

}
