#include "capacity/report.h"

#include <algorithm>
#include <iostream>

namespace cranberryshed::bench {

namespace json = boost::json;

void CapacityReport::row(std::string_view section, json::object fields)
{
    if (!this->printsJson) {
        std::cout << section << ':';
        for (const auto& field : fields) {
            std::cout << ' ' << std::string_view(field.key().data(), field.key().size()) << '=';
            if (field.value().is_double())
                std::cout << field.value().as_double();
            else
                std::cout << json::serialize(field.value());
        }
        std::cout << '\n'
                  << std::flush;
    }
    fields["section"] = section;
    this->rows.push_back(std::move(fields));
}

void CapacityReport::costs(std::string_view section, json::object fields, const GossipSimulation& simulation, core::Duration duration)
{
    const double durationSeconds = std::chrono::duration<double>(duration).count();
    const double memberCount = simulation.memberCount();
    double messages = 0;
    double bytes = 0;
    double cpuMicros = 0;
    double maxBytes = 0;
    double maxCpuMicros = 0;
    for (const MemberCost& cost : simulation.costs()) {
        const auto totalBytes = static_cast<double>(cost.bytesIn + cost.bytesOut);
        const double micros = static_cast<double>(cost.cpuTime.count()) / 1000;
        messages += static_cast<double>(cost.messagesIn + cost.messagesOut);
        bytes += totalBytes;
        cpuMicros += micros;
        maxBytes = std::max(maxBytes, totalBytes);
        maxCpuMicros = std::max(maxCpuMicros, micros);
    }
    fields["messagesPerSecond"] = roundToTenths(messages / memberCount / durationSeconds);
    fields["bytesPerSecond"] = roundToTenths(bytes / memberCount / durationSeconds);
    fields["mostBytesPerSecond"] = roundToTenths(maxBytes / durationSeconds);
    fields["cpuMicrosPerSecond"] = roundToTenths(cpuMicros / memberCount / durationSeconds);
    fields["mostCpuMicrosPerSecond"] = roundToTenths(maxCpuMicros / durationSeconds);
    this->row(section, std::move(fields));
}

void CapacityReport::finish() const
{
    if (this->printsJson)
        std::cout << json::serialize(this->rows) << '\n';
}

}
