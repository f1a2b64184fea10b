#include "capacity/report.h"

#include <algorithm>
#include <iostream>

namespace cranberryshed::bench {

namespace json = boost::json;

void Report::row(std::string_view section, json::object fields)
{
    if (!this->json) {
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

void Report::costs(std::string_view section, json::object fields, const Simulation& simulation, core::Duration duration)
{
    const double time = std::chrono::duration<double>(duration).count();
    const double count = simulation.members();
    double messages = 0;
    double bytes = 0;
    double cpu = 0;
    double mostBytes = 0;
    double mostCpu = 0;
    for (const MemberCost& cost : simulation.costs()) {
        const auto both = static_cast<double>(cost.bytesIn + cost.bytesOut);
        const double micros = static_cast<double>(cost.cpu.count()) / 1000;
        messages += static_cast<double>(cost.messagesIn + cost.messagesOut);
        bytes += both;
        cpu += micros;
        mostBytes = std::max(mostBytes, both);
        mostCpu = std::max(mostCpu, micros);
    }
    fields["messagesPerSecond"] = round1(messages / count / time);
    fields["bytesPerSecond"] = round1(bytes / count / time);
    fields["mostBytesPerSecond"] = round1(mostBytes / time);
    fields["cpuMicrosPerSecond"] = round1(cpu / count / time);
    fields["mostCpuMicrosPerSecond"] = round1(mostCpu / time);
    this->row(section, std::move(fields));
}

void Report::finish() const
{
    if (this->json)
        std::cout << json::serialize(this->rows) << '\n';
}

}
