#include "declare/fleet_status.h"

#include "declare/schema.h"
#include "declare/text_formats.h"

#include <boost/json.hpp>
#include <cmath>

namespace cranberryshed::declare {

namespace json = boost::json;

namespace {

    double numberAt(const json::object& object, std::string_view key)
    {
        return object.at(key).to_number<double>();
    }

    core::WallTime timeAt(const json::object& object, std::string_view key)
    {
        return *parseTime(std::string_view(object.at(key).as_string()));
    }

}

core::Object fleetStatusObject(const FleetStatus& status)
{
    json::array classes;
    for (const ClassStatus& entry : status.classes) {
        classes.emplace_back(json::object {
            { "class", entry.className },
            { "latencyMs", static_cast<double>(entry.latency.count()) / 1000 },
            { "headroomPercent", entry.headroom * 100 },
            { "requestsPerSecond", entry.requestsPerSecond },
            { "rejectedPerSecond", entry.rejectedPerSecond },
        });
    }
    json::array drains;
    for (const DrainStatus& drain : status.drains) {
        drains.emplace_back(json::object {
            { "batch", drain.batch },
            { "remainingPercent", drain.remainingShare * 100 },
            { "expectedEnd", formatTime(drain.expectedEnd) },
            { "inTime", drain.endsInTime },
        });
    }
    json::object content { { "writtenAt", formatTime(status.writtenAt) }, { "members", status.members }, { "classes", std::move(classes) }, { "drains", std::move(drains) } };
    return { .kind = std::string(core::nameOf(Kind::Status)), .name = fleetStatusName, .version = {}, .deleted = false, .content = json::serialize(content) };
}

std::optional<FleetStatus> parseFleetStatus(const std::string& content)
{
    boost::system::error_code error;
    json::value value = json::parse(content, error);
    if (error || !checkContent(Kind::Status, fleetStatusName, value, UnknownKeys::Ignore).empty())
        return std::nullopt;
    const json::object& object = value.as_object();
    FleetStatus status { .writtenAt = timeAt(object, "writtenAt"), .members = static_cast<std::uint32_t>(numberAt(object, "members")), .classes = {}, .drains = {} };
    for (const json::value& entry : object.at("classes").as_array()) {
        const json::object& row = entry.as_object();
        status.classes.push_back({
            .className = std::string(row.at("class").as_string()),
            .latency = core::Duration(std::llround(numberAt(row, "latencyMs") * 1000)),
            .headroom = numberAt(row, "headroomPercent") / 100,
            .requestsPerSecond = numberAt(row, "requestsPerSecond"),
            .rejectedPerSecond = numberAt(row, "rejectedPerSecond"),
        });
    }
    for (const json::value& entry : object.at("drains").as_array()) {
        const json::object& row = entry.as_object();
        status.drains.push_back({ .batch = std::string(row.at("batch").as_string()), .remainingShare = numberAt(row, "remainingPercent") / 100, .expectedEnd = timeAt(row, "expectedEnd"), .endsInTime = row.at("inTime").as_bool() });
    }
    return status;
}

}
