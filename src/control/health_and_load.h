#pragma once

#include "control/pipeline_types.h"

namespace cranberryshed::control {

// How far a figure may be trusted: 1 up to 6 s of age, then falling in a line to 0 at 30 s.
double confidenceAfter(core::Duration age);

// The share of a service's capacity that is kept free: the largest of its classes' targets.
double headroomOf(const core::Declarations&, const std::string& service);

// The largest share of a service's traffic that planned shifts may move in a minute: the least of its classes' caps.
double shiftCapOf(const core::Declarations&, const std::string& service);

// Filter: ejects failing servers and works out the load of each region with the age of its figures.
//
// An ejection is temporary and doubles with each repetition. It ends with a probe: the server gets a part of its
// traffic until it answers. At most a third of the servers of a service in one region are ejected for bad answers
// or a bad health report, because the cause may be the requests. Servers that refuse connections are ejected
// without that limit, unless none of the service were left.
class EvaluateHealthAndLoad {
public:
    Step operator()(Context, core::TimePoint now);

private:
    struct Record {
        unsigned failures = 0; // weighted, in a row
        unsigned ejections = 0; // in a row
        bool refusesConnections = false;
        bool probing = false; // no answer since the last ejection
        std::optional<core::TimePoint> ejectedUntil;
        std::optional<core::TimePoint> answeredAt;
    };

    void readTraffic(const Context&, core::TimePoint now);
    void readHealth(const Context&, core::TimePoint now);
    void keepDigests(Context&, core::TimePoint now);
    void holdAges(Context&, core::TimePoint now);
    void eject(Record&, core::TimePoint now);
    void applyEjections(Context&, core::TimePoint now);

    std::map<std::string, Record> records;
    std::map<std::string, core::DomainDigest> digests; // the newest of each failure domain
    std::map<std::string, double> ages; // by region, in seconds
    core::TimePoint heldAt {};
};

// Fills Context::demand from the digests, one of each failure domain, or from this VM's own demand where the own region has no fresh ones.
void computeClassDemand(Context&, core::TimePoint now);

// Fills Context::services from the servers and the demand.
void computeServiceLoads(Context&);

}
